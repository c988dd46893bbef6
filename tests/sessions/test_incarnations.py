"""An upstream starts again under its name, with nothing of what it held before."""

import asyncio
from dataclasses import replace

from gypsum_policy.succession import choose_successor
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
    """A roster whose clock stands still."""
    return Roster(clock=lambda: 100.0, missing_looks=10)


def test_a_new_start_replaces_the_earlier_one_at_once():
    """Symptom: a takeover waits for a member that no longer exists.

    Sequence: a replica starts again under its name, its entry changes. Cause: the
    earlier start stays a member of its own until its grace is over.
    """
    roster = make_roster()
    roster.seen(FIRST)
    roster.seen(SECOND)
    assert list(roster.members) == ["u@2"]


def test_a_new_start_under_an_old_entry_counts_as_joined_when_it_changed():
    """Symptom: an acknowledged commit is missing after a takeover.

    Sequence: a takeover takes its lease and pauses a replica, the replica starts
    again under its entry and receives, its word confirms a commit. Cause: the entry
    is older than the lease, so the new process counted as known to the takeover.
    """
    roster = make_roster()
    roster.seen(FIRST)
    assert roster.seen(SECOND).joined == 9
    assert roster.seen(replace(SECOND, changed=12)).joined == 9


def test_a_late_entry_of_an_earlier_start_is_ignored():
    roster = make_roster()
    roster.seen(SECOND)
    assert roster.seen(FIRST) is None
    assert list(roster.members) == ["u@2"]


def test_a_start_that_is_on_record_and_over_is_not_recalled():
    roster = make_roster()
    roster.seen(SECOND)
    roster.recall([FIRST])
    assert list(roster.members) == ["u@2"]
    assert roster.members["u@2"].joined == 9


def test_an_entry_that_vanishes_is_missing_whatever_its_start():
    roster = make_roster()
    roster.seen(SECOND)
    roster.gone("u")
    assert roster.members["u@2"].missing_since == 100.0


def refresh(rig):
    """All daemons see the list as it is now."""
    for proxy in rig.proxies:
        proxy.update_members(rig.group.listing())
        rig.catch_up(proxy)


def test_nothing_that_was_kept_of_a_replica_outlives_its_start():
    """Symptom: a read waits for a position that an empty replica is said to have.

    Sequence: a replica starts again, empty, under its name. Cause: its connections,
    its last position and its mean time were kept by name.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        assert (await rig.caller().send("WRITE a 1")).ok
        group = rig.proxy.groups["db"]
        before = group.upstreams["u2"]
        rig.group["u2"].restart_empty()
        refresh(rig)
        assert "u2" not in group.upstreams
        assert group.upstreams["u2@2"].pool is not before.pool
        assert group.upstreams["u2@2"].position is None

    run(main())


def test_a_replica_that_came_back_empty_confirms_nothing_during_a_takeover():
    async def main():
        rig = Rig()
        await rig.settle()
        lease = await rig.leases.acquire("db", "other", rig.leases.lease)
        rig.proxy.lease_view.note("db", lease)
        rig.group["u2"].restart_empty()
        refresh(rig)
        known = known_replicas(rig.proxy.groups["db"], "u1")
        assert [item.id for item in known] == ["u3"]

    run(main())


def test_a_replica_that_came_back_empty_is_not_promoted_over_a_log():
    """Symptom: commits are lost after a promotion.

    Sequence: a replica starts again, empty, and receives nothing; the primary
    crashes. Cause: the empty log counted as good as any.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        await write_for(rig, rig.proxy, 1.0, told)
        rig.group["u2"].restart_empty()
        rig.group["u2"].deaf = True
        refresh(rig)
        rig.group["u1"].crash()
        await asyncio.sleep(4.0)
        assert [name for name, _ in rig.group.promotions] == ["u3"]
        check_nothing_lost(rig, told)

    run(main())


def test_a_primary_that_came_back_empty_is_replaced_by_a_log_that_is_whole():
    """Symptom: all that was written is gone, and reads show nothing.

    Sequence: the primary starts again under its name and holds nothing. Cause: it was
    taken for the primary that it was.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        await write_for(rig, rig.proxy, 1.0, told)
        rig.group["u1"].restart_empty()
        refresh(rig)
        await asyncio.sleep(4.0)
        assert [name for name, _ in rig.group.promotions][0] in ("u2", "u3")
        check_nothing_lost(rig, told)

    run(main())


def test_a_member_that_started_again_is_not_promoted_by_its_name():
    """Symptom: an empty upstream leads.

    Sequence: a takeover chooses a member, which starts again before the order. Cause:
    the order names it, and the platform knows its name only.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        takeover = rig.proxy.takeovers["db"]
        rig.group["u2"].restart_empty()
        refresh(rig)
        await takeover.order("u2")
        assert rig.promoter.orders == []

    run(main())


def test_a_paused_member_that_starts_again_empty_is_not_taken_for_the_paused_one():
    """Symptom: an empty upstream is promoted, for its pause is remembered.

    Sequence: a takeover pauses both replicas and its order gets no answer; the ordered
    one starts again, empty, and receives nothing. Cause: that it was paused before
    made it the choice of the next round, by its name.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        await write_for(rig, rig.proxy, 1.0, told)
        rig.group["u1"].dark = True
        control = rig.proxy.takeovers["db"].control
        paused = await control.pause_all("u1", step_down=False)
        assert {item.upstream for item in paused} == {"u2", "u3"}
        rig.group["u3"].restart_empty()
        rig.group["u3"].deaf = True
        refresh(rig)
        again = await control.pause_all("u1", step_down=False)
        held = {item.upstream: item.held_before for item in again}
        assert held == {"u2": True, "u3@2": False}
        assert choose_successor(again, "u3") == "u2"

    run(main())


def test_an_empty_replica_confirms_nothing_while_the_list_does_not_tell_of_it():
    """Symptom: an acknowledged commit is nowhere but at the primary.

    Sequence: the store is away; a replica starts again, empty, and receives nothing;
    the other one is cut off; a commit waits. Cause: the word of the replica's earlier
    start counted for its new one.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        told = []
        await write_for(rig, rig.proxy, 0.5, told)
        rig.group["u2"].restart_empty()
        rig.group["u2"].deaf = rig.group["u3"].deaf = True
        rig.group.sync = 0
        reply = await rig.caller().send("WRITE late 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_only_the_end_of_several_starts_is_seen():
    """The list is read anew after an outage: one start is over that nobody saw."""
    roster = make_roster()
    roster.seen(FIRST)
    third = replace(FIRST, id="u@3", born=3, changed=20)
    roster.replace_all([third])
    assert list(roster.members) == ["u@3"]
    assert roster.members["u@3"].joined == 20
    roster.replace_all([SECOND])
    assert list(roster.members) == ["u@3"]
