"""The record of members: written once per change, used when the list is partial."""

import asyncio
from dataclasses import replace

from gypsum_sessions.replies import Refusal
from gypsum_sessions.takeover.attempt import CHECK_INTERVAL as TAKEOVER_CHECK_INTERVAL
from gypsum_sessions.upstreams.recorder import (
    CHECK_INTERVAL,
    FIRST_RECORD_AFTER_CHECKS,
    RECORD_AFTER_CHECKS,
    RECORD_CHECKS_PER_RANK,
    RETRY_AFTER_CHECKS,
)
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def start_recording(rig):
    """Let all daemons keep records, starting with none."""
    for proxy in rig.proxies:
        proxy.recorder.recorded.clear()
        proxy.keep_running(proxy.record_members)


async def wait_checks(count):
    """Let that many checks pass, with a margin."""
    await asyncio.sleep((count + 2.5) * CHECK_INTERVAL)


def names(members):
    """The ids of members."""
    return {member.id for member in members}


def test_a_change_of_members_is_recorded_once():
    async def main():
        rig = Rig(daemons=3)
        start_recording(rig)
        await wait_checks(FIRST_RECORD_AFTER_CHECKS)
        assert rig.records.saves == 1
        assert names(rig.records.saved["db"]) == {"u1", "u2", "u3"}
        for proxy in rig.proxies:
            proxy.recorder.set_recorded("db", rig.records.saved["db"])
        await wait_checks(4 * RECORD_CHECKS_PER_RANK)
        assert rig.records.saves == 1
        rig.group.add(1)
        for proxy in rig.proxies:
            proxy.update_members(rig.group.listing())
        await wait_checks(RECORD_AFTER_CHECKS)
        assert rig.records.saves == 2

    run(main())


def test_the_next_daemon_records_if_the_first_does_not():
    async def main():
        rig = Rig(daemons=3)
        rig.group.add(1)
        first = min(rig.proxies, key=lambda proxy: proxy.takeovers["db"].rank())
        for proxy in rig.proxies:
            proxy.update_members(rig.group.listing())
            if proxy is not first:
                proxy.keep_running(proxy.record_members)
        await wait_checks(RECORD_AFTER_CHECKS + RECORD_CHECKS_PER_RANK)
        assert rig.records.saves == 1

    run(main())


def test_a_record_that_could_not_be_written_is_tried_again():
    async def main():
        rig = Rig()
        rig.records.down = True
        start_recording(rig)
        await wait_checks(FIRST_RECORD_AFTER_CHECKS)
        assert rig.records.saved == {}
        rig.records.down = False
        await wait_checks(RETRY_AFTER_CHECKS)
        assert names(rig.records.saved["db"]) == {"u1", "u2", "u3"}

    run(main())


def test_suspended_time_does_not_make_a_list_complete():
    """Guards against a first record that lacks members.

    It is due three seconds after the start. A daemon that is suspended for that long
    continues with an old list, so suspended time must not count.
    """

    async def main():
        rig = Rig()
        start_recording(rig)
        await wait_checks(0)
        rig.loop.suspended += 60.0
        await wait_checks(2)
        assert rig.records.saved == {}

    run(main())


def start_with_partial_list(rig, listed):
    """Start a daemon while only some members are listed."""
    proxy = rig.make_proxy("late", ["late"], rig.proxy.tuning, 1)
    for name in list(proxy.roster.members):
        del proxy.roster.members[name]
    record = rig.group.listing()
    rig.group.unlisted = names(record) - listed
    proxy.update_members(rig.group.listing())
    proxy.add_recorded_members("db", record)
    proxy.keep_running(proxy.run_maintenance)
    return proxy


def test_a_daemon_that_starts_with_a_partial_list_promotes_no_member():
    """Guards against an acknowledged commit lost by a promotion.

    Leases expire while the store is down and all daemons lose power. The store comes
    back with one replica listed, which lags; the primary and the other replica are
    listed a second later. A daemon without the record would treat that replica as the
    whole group.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        rig.group["u3"].not_receiving = True
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.proxy.stop()
        rig.group["u1"].unresponsive = rig.group["u2"].unresponsive = True
        late = start_with_partial_list(rig, {"u3"})
        await asyncio.sleep(1.9)
        assert rig.group.promotions == []
        rig.group["u1"].unresponsive = rig.group["u2"].unresponsive = False
        rig.group.unlisted.clear()
        late.update_members(rig.group.listing())
        await asyncio.sleep(4.0)
        assert rig.group.promotions == []
        assert rig.group.leader is rig.group["u1"]

    run(main())


def test_members_that_are_only_on_record_run_reads_and_confirm_nothing():
    """Members on record serve reads, but can't confirm commits.

    A takeover that reads the list now does not see them, so commits wait until the
    replicas are listed again.
    """

    async def main():
        rig = Rig()
        rig.proxy.stop()
        late = start_with_partial_list(rig, set())
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
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(3.0)
        assert rig.leases.calls == 0
        rig.proxy.add_recorded_members("db", rig.group.listing())
        await asyncio.sleep(TAKEOVER_CHECK_INTERVAL + 2.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_a_record_that_the_store_lost_is_written_again():
    """Guards against a starting daemon that treats some members as the whole group."""

    async def main():
        rig = Rig(daemons=3)
        start_recording(rig)
        for proxy in rig.proxies:
            proxy.recorder.set_recorded("db", rig.group.listing())
            proxy.recorder.invalidate_unlisted(["db"])
        await wait_checks(RECORD_AFTER_CHECKS + 2 * RECORD_CHECKS_PER_RANK)
        assert rig.records.saves == 0
        for proxy in rig.proxies:
            proxy.recorder.invalidate_unlisted([])
            assert proxy.recorder.has_record("db")
        await wait_checks(RECORD_AFTER_CHECKS)
        assert rig.records.saves == 1

    run(main())
