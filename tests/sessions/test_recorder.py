"""The record of members: written once a change, used at a start with a broken list."""

import asyncio
from dataclasses import replace

from gypsum_sessions.replies import Refusal
from gypsum_sessions.takeover.attempt import LOOK_EVERY as TAKEOVER_LOOK
from gypsum_sessions.upstreams.recorder import (
    FIRST_RECORD_AFTER,
    LOOK_EVERY,
    RECORD_AFTER,
    RECORD_STEP,
    RETRY_AFTER,
)
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def start_recording(rig):
    """All daemons keep records, and there is none yet."""
    for proxy in rig.proxies:
        proxy.recorder.recorded.clear()
        proxy.keep_running(proxy.record_members)


async def looks(count):
    """Let that many looks pass, and a bit."""
    await asyncio.sleep((count + 2.5) * LOOK_EVERY)


def names(members):
    """The ids of members."""
    return {member.id for member in members}


def test_a_change_of_members_is_recorded_once():
    async def main():
        rig = Rig(daemons=3)
        start_recording(rig)
        await looks(FIRST_RECORD_AFTER)
        assert rig.records.saves == 1
        assert names(rig.records.saved["db"]) == {"u1", "u2", "u3"}
        for proxy in rig.proxies:
            proxy.recorder.note("db", rig.records.saved["db"])
        await looks(4 * RECORD_STEP)
        assert rig.records.saves == 1
        rig.group.add(1)
        for proxy in rig.proxies:
            proxy.update_members(rig.group.listing())
        await looks(RECORD_AFTER)
        assert rig.records.saves == 2

    run(main())


def test_the_next_daemon_records_if_the_first_does_not():
    async def main():
        rig = Rig(daemons=3)
        rig.group.add(1)
        first = min(rig.proxies, key=lambda proxy: proxy.takeovers["db"].place())
        for proxy in rig.proxies:
            proxy.update_members(rig.group.listing())
            if proxy is not first:
                proxy.keep_running(proxy.record_members)
        await looks(RECORD_AFTER + RECORD_STEP)
        assert rig.records.saves == 1

    run(main())


def test_a_record_that_could_not_be_written_is_tried_again():
    async def main():
        rig = Rig()
        rig.records.down = True
        start_recording(rig)
        await looks(FIRST_RECORD_AFTER)
        assert rig.records.saved == {}
        rig.records.down = False
        await looks(RETRY_AFTER)
        assert names(rig.records.saved["db"]) == {"u1", "u2", "u3"}

    run(main())


def test_suspended_time_does_not_make_a_list_whole():
    """Symptom: as below, and the record itself lacks members.

    Sequence: a group's first record is due in three seconds, the daemon is suspended
    that long and goes on with the list that it had. Cause: time was measured on the
    clock that counts suspended time.
    """

    async def main():
        rig = Rig()
        start_recording(rig)
        await looks(0)
        rig.loop.suspended += 60.0
        await looks(2)
        assert rig.records.saved == {}

    run(main())


def start_with_a_part(rig, listed):
    """A daemon that starts while the list has only some members."""
    proxy = rig.make_proxy("late", ["late"], rig.proxy.tuning, 1)
    for name in list(proxy.roster.members):
        del proxy.roster.members[name]
    record = rig.group.listing()
    rig.group.unlisted = names(record) - listed
    proxy.update_members(rig.group.listing())
    proxy.add_recorded_members("db", record)
    proxy.keep_running(proxy.run_maintenance)
    return proxy


def test_a_daemon_that_starts_with_a_part_of_the_list_promotes_nobody():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: the store was away, leases ran out, all daemons lost power; the store is
    back and lists one replica, which is behind; the primary and the other replica are
    listed a second later, but the first has been promoted. Cause: a daemon that knew of
    no other member took what was listed for the whole group.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        rig.group["u3"].deaf = True
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.proxy.stop()
        rig.group["u1"].dark = rig.group["u2"].dark = True
        late = start_with_a_part(rig, {"u3"})
        await asyncio.sleep(1.9)
        assert rig.group.promotions == []
        rig.group["u1"].dark = rig.group["u2"].dark = False
        rig.group.unlisted.clear()
        late.update_members(rig.group.listing())
        await asyncio.sleep(4.0)
        assert rig.group.promotions == []
        assert rig.group.leader is rig.group["u1"]

    run(main())


def test_members_that_are_only_on_record_run_reads_and_confirm_nothing():
    """The counterpart: what is on record is used; but a takeover that reads the list
    now does not see it, so that commits wait until the replicas are listed again.
    """

    async def main():
        rig = Rig()
        rig.proxy.stop()
        late = start_with_a_part(rig, set())
        caller = rig.caller("own", late)
        assert (await caller.send("READ a")).ok
        assert (await caller.send("WRITE a 1")).refusal is Refusal.BUSY
        rig.group.unlisted.clear()
        late.update_members(rig.group.listing())
        assert (await caller.send("WRITE a 1")).ok

    run(main())


def test_members_on_record_that_are_not_listed_again_are_forgotten():
    async def main():
        rig = Rig()
        gone = replace(rig.group.listing()[0], id="old", name="old", address="old:1")
        rig.proxy.add_recorded_members("db", [gone])
        rig.proxy.keep_running(rig.proxy.run_maintenance)
        assert rig.proxy.groups["db"].member("old") is not None
        await asyncio.sleep(rig.proxy.tuning.missing_grace + 0.5)
        assert rig.proxy.groups["db"].member("old") is None

    run(main())


def test_nothing_is_promoted_before_a_record_is_known():
    async def main():
        rig = Rig()
        await rig.settle()
        rig.proxy.recorder.recorded.clear()
        rig.group["u1"].dark = True
        await asyncio.sleep(3.0)
        assert rig.leases.calls == 0
        rig.proxy.add_recorded_members("db", rig.group.listing())
        await asyncio.sleep(TAKEOVER_LOOK + 2.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_a_record_that_the_store_lost_is_written_again():
    """Guards against a start that takes a part of a group for the whole of it."""

    async def main():
        rig = Rig(daemons=3)
        start_recording(rig)
        for proxy in rig.proxies:
            proxy.recorder.note("db", rig.group.listing())
            proxy.recorder.keep_listed(["db"])
        await looks(RECORD_AFTER + 2 * RECORD_STEP)
        assert rig.records.saves == 0
        for proxy in rig.proxies:
            proxy.recorder.keep_listed([])
            assert proxy.recorder.knows("db")
        await looks(RECORD_AFTER)
        assert rig.records.saves == 1

    run(main())
