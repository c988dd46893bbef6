"""An upstream that restarts under its name without its earlier data."""

import asyncio
from dataclasses import replace

from gypsum_policy.promotion import choose_promotion_target
from gypsum_sessions.execution.confirm import known_replicas
from gypsum_sessions.replies import Refusal
from gypsum_sessions.upstreams.roster import Member, Roster
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, write_for

FIRST = Member(
    id="u@1",
    name="u",
    born=1,
    group="g",
    address="x:1",
    domain="a",
    slots=5,
    joined=3,
    changed=3,
)
SECOND = replace(FIRST, id="u@2", born=2, changed=9)


def make_roster():
    """A roster with a fixed clock."""
    return Roster(clock=lambda: 100.0, missing_checks=10)


def test_a_new_start_replaces_the_earlier_one_at_once():
    """Guards against a takeover that waits for a member that no longer exists.

    A replica restarts under its name and its entry changes. The earlier incarnation
    must not stay a member until its grace period ends.
    """
    roster = make_roster()
    roster.update(FIRST)
    roster.update(SECOND)
    assert list(roster.members) == ["u@2"]


def test_a_new_start_under_an_old_entry_counts_as_joined_when_it_changed():
    """Guards against an acknowledged commit that is missing after a takeover.

    A takeover takes its lease and pauses a replica, which then restarts under its old
    entry, receives a commit and confirms it. The entry is older than the lease, but the
    new process must not count as known to the takeover.
    """
    roster = make_roster()
    roster.update(FIRST)
    assert roster.update(SECOND).joined == 9
    assert roster.update(replace(SECOND, changed=12)).joined == 9


def test_a_late_entry_of_an_earlier_start_is_ignored():
    roster = make_roster()
    roster.update(SECOND)
    assert roster.update(FIRST) is None
    assert list(roster.members) == ["u@2"]


def test_a_recorded_incarnation_that_was_replaced_is_not_added():
    roster = make_roster()
    roster.update(SECOND)
    roster.add_recorded([FIRST])
    assert list(roster.members) == ["u@2"]
    assert roster.members["u@2"].joined == 9


def test_an_entry_that_vanishes_is_missing_whatever_its_start():
    roster = make_roster()
    roster.update(SECOND)
    roster.mark_missing("u")
    assert roster.members["u@2"].missing_since == 100.0


def update_lists(rig):
    """Give all daemons the list as it is now."""
    for proxy in rig.proxies:
        proxy.update_members(rig.group.listing())
        rig.catch_up(proxy)


def test_state_kept_of_a_replica_does_not_outlive_its_incarnation():
    """Guards against a read that waits for a position an empty replica does not have.

    A replica restarts empty under its name. Its connections, last position and mean
    time must not be kept by name.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        assert (await rig.caller().send("WRITE a 1")).ok
        group = rig.proxy.groups["db"]
        before = group.upstreams["u2"]
        rig.group["u2"].restart_empty()
        update_lists(rig)
        assert "u2" not in group.upstreams
        assert group.upstreams["u2@2"].pool is not before.pool
        assert group.upstreams["u2@2"].progress.position is None

    run(main())


def test_a_replica_that_restarted_empty_confirms_nothing_during_a_takeover():
    async def main():
        rig = Rig()
        await rig.settle()
        lease = await rig.leases.acquire("db", "other", rig.leases.lease)
        rig.proxy.lease_view.record("db", lease)
        rig.group["u2"].restart_empty()
        update_lists(rig)
        known = known_replicas(rig.proxy.groups["db"], "u1")
        assert [item.id for item in known] == ["u3"]

    run(main())


def test_a_replica_that_restarted_empty_is_not_promoted_over_a_log():
    """Guards against commits lost by a promotion.

    A replica restarts empty and receives nothing, then the primary crashes. The empty
    log must not rank as high as others.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        outcomes = []
        await write_for(rig, rig.proxy, 1.0, outcomes)
        rig.group["u2"].restart_empty()
        rig.group["u2"].not_receiving = True
        update_lists(rig)
        rig.group["u1"].crash()
        await asyncio.sleep(4.0)
        assert [name for name, _ in rig.group.promotions] == ["u3"]
        check_nothing_lost(rig, outcomes)

    run(main())


def test_a_primary_that_restarted_empty_is_replaced_by_a_complete_log():
    """Guards against losing all data when the primary restarts empty under its name.

    The new process must not count as the primary that it was.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        outcomes = []
        await write_for(rig, rig.proxy, 1.0, outcomes)
        rig.group["u1"].restart_empty()
        update_lists(rig)
        await asyncio.sleep(4.0)
        assert [name for name, _ in rig.group.promotions][0] in ("u2", "u3")
        check_nothing_lost(rig, outcomes)

    run(main())


def test_a_member_that_restarted_is_not_promoted_by_its_name():
    """Guards against an empty upstream that becomes the leader.

    A takeover chooses a member, which restarts before the order. The platform knows
    only its name, so the order would reach the new process.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        takeover = rig.proxy.takeovers["db"]
        rig.group["u2"].restart_empty()
        update_lists(rig)
        await takeover.order_promotion("u2")
        assert rig.promoter.orders == []

    run(main())


def test_a_paused_member_that_restarts_empty_does_not_count_as_paused():
    """Guards against promoting an empty upstream whose earlier process was paused.

    A takeover pauses both replicas and its order gets no answer. The ordered replica
    restarts empty and receives nothing. The earlier pause, found by name, must not make
    it the choice of the next round.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        outcomes = []
        await write_for(rig, rig.proxy, 1.0, outcomes)
        rig.group["u1"].unresponsive = True
        control = rig.proxy.takeovers["db"].replication
        paused = await control.pause_all("u1", step_down=False)
        assert {item.upstream for item in paused} == {"u2", "u3"}
        rig.group["u3"].restart_empty()
        rig.group["u3"].not_receiving = True
        update_lists(rig)
        again = await control.pause_all("u1", step_down=False)
        held = {item.upstream: item.already_paused for item in again}
        assert held == {"u2": True, "u3@2": False}
        assert choose_promotion_target(again, "u3") == "u2"

    run(main())


def test_an_empty_replica_confirms_nothing_while_the_list_lacks_its_restart():
    """Guards against an acknowledged commit that only the primary has.

    The store is down. One replica restarts empty and receives nothing, the other is cut
    off, and a commit waits. The restarted replica must not confirm it by what its
    earlier process had received.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        outcomes = []
        await write_for(rig, rig.proxy, 0.5, outcomes)
        rig.group["u2"].restart_empty()
        rig.group["u2"].not_receiving = rig.group["u3"].not_receiving = True
        rig.group.sync = 0
        reply = await rig.caller().send("WRITE late 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_an_incarnation_that_was_never_listed_is_skipped():
    """An incarnation that started and ended during an outage is skipped."""
    roster = make_roster()
    roster.update(FIRST)
    third = replace(FIRST, id="u@3", born=3, changed=20)
    roster.replace_all([third])
    assert list(roster.members) == ["u@3"]
    assert roster.members["u@3"].joined == 20
    roster.replace_all([SECOND])
    assert list(roster.members) == ["u@3"]
