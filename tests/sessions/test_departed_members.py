"""Takeovers while members are off the list or a leader was never proven."""

import asyncio
from dataclasses import replace

from gypsum_sessions.metrics import SessionMetrics
from gypsum_sessions.replies import Refusal
from gypsum_sessions.takeover.attempt import DEPARTED_MEMBER_TIMEOUT
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from tests.sessions.chaos import DEPARTED_FAULTS, FaultInjector, sync_member_lists
from tests.sessions.fakegroup import PROMOTE_TIME
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def start_listing(rig):
    """Keep the member list and its grace periods up to date as in a daemon."""
    rig.records.saved["db"] = rig.group.listing()
    for proxy in rig.proxies:
        proxy.keep_running(proxy.run_maintenance)
        proxy.keep_running(proxy.record_members)
    # In a task of its own, as daemons may be restarted.
    asyncio.get_running_loop().create_task(sync_member_lists(rig))


async def settled_rig():
    """Two daemons that have found the leader, with lists kept up to date."""
    rig = Rig(daemons=2)
    start_listing(rig)
    await rig.settle()
    return rig


def restart_all(rig):
    """Restart all daemons; they know what the store has."""
    injector = FaultInjector(rig=rig, rng=None, faults=DEPARTED_FAULTS)
    for index in range(len(rig.proxies)):
        injector.restart_process(index)


async def lose_the_only_copy(rig):
    """Commit at u1 and u3 but not at u2, then crash u1 and u3."""
    rig.group["u2"].not_receiving = True
    assert (await rig.caller("own").send("WRITE a 1")).ok
    await asyncio.sleep(0.5)
    rig.group["u1"].crash()
    rig.group["u3"].crash()
    rig.group["u2"].not_receiving = False


def test_a_log_that_lacks_the_primarys_position_is_not_promoted():
    """Guards against losing an acknowledged commit with a promotion.

    One replica is behind. The other, through which the commit was acknowledged, crashes
    together with the primary, goes off the list and returns seconds later. The one that
    is behind is the only member left and must not be promoted meanwhile.
    """

    async def main():
        rig = await settled_rig()
        await lose_the_only_copy(rig)
        await asyncio.sleep(9.0)
        assert rig.group.promotions == []
        rig.group["u3"].restart()
        await asyncio.sleep(6.0)
        assert [name for name, _ in rig.group.promotions] == ["u3"]
        assert rig.group.promotions[0][1] == []

    run(main())


def test_a_log_with_the_primarys_position_is_promoted_without_the_others():
    """Departed members do not delay the promotion of a log that lacks no commit."""

    async def main():
        rig = await settled_rig()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        await asyncio.sleep(0.5)
        rig.group["u1"].crash()
        rig.group["u3"].crash()
        await asyncio.sleep(9.0)
        assert [name for name, _ in rig.group.promotions] == ["u2"]
        assert rig.group.promotions[0][1] == []

    run(main())


def test_a_departed_primary_with_an_unacknowledged_tail_is_not_waited_for():
    """Guards against writes stalling for fifteen seconds after a primary is gone.

    A commit waits at the primary that no replica receives. The primary crashes while a
    replica is unreachable, and is off the list when that replica returns. A commit
    that was never acknowledged must not be waited for.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        writing = asyncio.create_task(rig.caller("own").send("WRITE a 1"))
        await asyncio.sleep(0.5)
        rig.group["u3"].unresponsive = True
        rig.group["u1"].crash()
        assert not (await writing).ok
        await asyncio.sleep(7.0)
        assert rig.group.promotions == []
        rig.group["u3"].unresponsive = False
        await asyncio.sleep(3.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_members_that_never_return_are_waited_for_only_until_the_timeout():
    async def main():
        rig = await settled_rig()
        await lose_the_only_copy(rig)
        await asyncio.sleep(9.0)
        assert waits(rig) == {"members_waited_for": 2, "waits_given_up": 0}
        await asyncio.sleep(DEPARTED_MEMBER_TIMEOUT + 3.0)
        assert [name for name, _ in rig.group.promotions] == ["u2"]
        assert waits(rig) == {"members_waited_for": 0, "waits_given_up": 1}

    run(main())


def waits(rig):
    """The most that any daemon's metrics show of the waits for members."""
    shown = dict.fromkeys(("members_waited_for", "waits_given_up"), 0)
    for proxy in rig.proxies:
        metrics = SessionMetrics()
        metrics.collect(proxy, dropped_lines=0)
        for what in shown:
            value = metrics.takeover.get({"group": "db", "what": what})
            shown[what] = max(shown[what], value)
    return shown


def test_a_former_primary_that_follows_is_paused_like_the_others():
    """Guards against losing an acknowledged commit with a promotion.

    A daemon that is cut off from the new primary knows only the old one, which is a
    replica by now and the only one with a commit. The new primary crashes and goes off
    the list. Unless the daemon asks the old primary too, it promotes the other replica.
    """

    async def main():
        rig = await settled_rig()
        cut, other = rig.proxies
        other.takeovers["db"].backoff_until = float("inf")
        cut.context.dialer.dialer.cut.add("u2")
        for conn in list(rig.group["u2"].conns):
            conn.silent = conn.dialer is cut.context.dialer.dialer
        rig.group["u3"].not_receiving = True
        rig.group.promote("u2")
        await other.groups["db"].watch.wait_leader(1.0)
        await asyncio.sleep(0.5)
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        rig.group["u2"].crash()
        rig.group["u3"].not_receiving = False
        await asyncio.sleep(9.0)
        assert rig.group.promotions[1:] == [("u1", [])]

    run(main())


def test_after_a_restart_of_all_daemons_a_dead_primary_is_not_waited_for():
    """Guards against refusing writes for six seconds after a power loss.

    The primary dies and all daemons restart at the same time. They have no proof of any
    leader and would wait for all listed members, including the dead primary.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(0.7 + 1.0 + PROMOTE_TIME)
        assert rig.group.leader is not rig.group["u1"]

    run(main())


def test_a_restarted_daemon_waits_for_the_members_on_record():
    """Guards against losing an acknowledged commit with a promotion.

    All daemons restart while the primary and the only replica that has a commit are
    down, so none of them knows a position of the primary.
    """

    async def main():
        rig = await settled_rig()
        await lose_the_only_copy(rig)
        await asyncio.sleep(0.5)
        restart_all(rig)
        await asyncio.sleep(9.0)
        assert rig.group.promotions == []
        rig.group["u3"].restart()
        await asyncio.sleep(6.0)
        assert [name for name, _ in rig.group.promotions] == ["u3"]
        assert rig.group.promotions[0][1] == []

    run(main())


def test_a_daemon_that_was_cut_from_the_primary_asks_the_other_owners():
    """Guards against losing an acknowledged commit with a promotion.

    The daemon that takes over was cut off from the primary while another daemon had
    commits acknowledged: it knows an older position, which the lagging replica has.
    """

    async def main():
        rig = await settled_rig()
        cut, other = sorted(rig.proxies, key=lambda item: item.takeovers["db"].rank())
        assert (await rig.caller("own", other).send("WRITE a 0")).ok
        await asyncio.sleep(0.5)
        rig.cut(cut, "u1")
        rig.group["u2"].not_receiving = True
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        rig.group["u1"].crash()
        rig.group["u3"].crash()
        rig.group["u2"].not_receiving = False
        await asyncio.sleep(9.0)
        assert rig.group.promotions == []
        rig.group["u3"].restart()
        await asyncio.sleep(6.0)
        assert [name for name, _ in rig.group.promotions] == ["u3"]

    run(main())


def test_an_owner_that_does_not_answer_may_know_a_later_commit():
    """Guards against losing the last commits of an owner that is gone.

    It had them acknowledged after the others' last look at the primary.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u2"].not_receiving = True
        first, last = sorted(rig.proxies, key=lambda item: item.takeovers["db"].rank())
        first.groups["db"].watch.tuning = slow_proofs()
        assert (await rig.caller("own", last).send("WRITE a 1")).ok
        assert first.groups["db"].floors.highest < last.groups["db"].floors.highest
        rig.links.kill(last.name)
        last.stop()
        rig.group["u1"].crash()
        rig.group["u3"].crash()
        await asyncio.sleep(9.0)
        assert rig.group.promotions == []

    run(main())


def slow_proofs():
    """Timings of a daemon that asks for a proof every five seconds."""
    return replace(DEFAULT_SESSION_TUNING, ping_interval=5.0)


def test_a_replica_stays_on_record_until_another_has_its_commits():
    """Guards against losing an acknowledged commit with a promotion.

    The only replica that has a commit crashes, and the primary does so seconds later,
    when that replica's entry has long expired.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u2"].not_receiving = True
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.group["u3"].crash()
        await asyncio.sleep(6.0)
        assert on_record(rig) == {"u1", "u2", "u3"}
        restart_all(rig)
        await asyncio.sleep(1.0)
        rig.group["u1"].crash()
        rig.group["u2"].not_receiving = False
        await asyncio.sleep(9.0)
        assert rig.group.promotions == []
        rig.group["u3"].restart()
        await asyncio.sleep(6.0)
        assert rig.group.promotions == [("u3", [])]

    run(main())


def on_record(rig):
    """The ids of the members on record."""
    return {member.id for member in rig.records.saved["db"]}


def test_a_replica_that_is_gone_leaves_the_record_and_delays_no_takeover():
    """Guards against waiting for a replica whose commits others have."""

    async def main():
        rig = await settled_rig()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.group["u3"].crash()
        await asyncio.sleep(6.0)
        assert on_record(rig) == {"u1", "u2"}
        restart_all(rig)
        await asyncio.sleep(1.0)
        rig.group["u1"].crash()
        await asyncio.sleep(0.7 + 1.0 + PROMOTE_TIME)
        assert rig.group.promotions == [("u2", [])]

    run(main())


def test_a_replica_that_is_not_on_record_confirms_no_commit():
    """Guards against losing a commit with members that no takeover looks for.

    A replica joins while records can't be written and is the only one that receives a
    commit.
    """

    async def main():
        rig = await settled_rig()
        rig.records.down = True
        rig.group.add(1)
        await asyncio.sleep(1.0)
        rig.group["u2"].not_receiving = rig.group["u3"].not_receiving = True
        assert not (await rig.caller("own").send("WRITE a 1")).ok
        rig.records.down = False
        await asyncio.sleep(3.0)
        assert (await rig.caller("own").send("WRITE a 2")).ok

    run(main())


def test_a_leaving_primary_is_not_handed_over_to_a_replica_that_lacks_commits():
    """Guards against losing an acknowledged commit with a planned handover.

    The only replica that has a commit is down and off the list.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u2"].not_receiving = True
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.group["u3"].crash()
        await asyncio.sleep(6.0)
        rig.group["u1"].leaving = True
        await asyncio.sleep(2.0)
        assert rig.group.promotions == []
        rig.group["u2"].not_receiving = False
        await asyncio.sleep(3.0)
        assert rig.group.promotions == [("u2", [])]

    run(main())


def test_a_write_is_refused_at_once_while_the_group_waits_for_members():
    """Guards against writes that wait for a primary until the end of their time."""

    async def main():
        rig = await settled_rig()
        await lose_the_only_copy(rig)
        await asyncio.sleep(6.0)
        for text in ("WRITE a 2", "READ a"):
            began = rig.loop.time()
            reply = await rig.caller("primary").send(text)
            assert reply.refusal is Refusal.BUSY and reply.detail.startswith("not run")
            assert reply.retry_after_ms == 1000
            assert rig.loop.time() - began < 0.1
        rig.group["u3"].restart()
        await asyncio.sleep(0.3 + reply.retry_after_ms / 1000)
        assert rig.group.leader is rig.group["u3"]

    run(main())


def test_a_write_waits_for_the_next_primary_while_no_member_is_awaited():
    async def main():
        rig = await settled_rig()
        rig.group["u1"].crash()
        await asyncio.sleep(1.2)
        assert (await rig.caller("own").send("WRITE a 1")).ok

    run(main())
