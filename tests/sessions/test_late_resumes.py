"""Commands to resume replication that are carried out late, and later takeovers."""

import asyncio
from dataclasses import replace

from gypsum_policy.promotion import (
    choose_handover_target,
    choose_promotion_target,
    pauses_suffice,
)
from gypsum_sessions.takeover.lease_view import RESUME_LIFETIME
from tests.sessions.rig import Rig
from tests.sessions.test_lease_view import lease, make_view
from tests.sessions.test_takeover import paused
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, start_writers


async def make_rig_with_late_resumes(*names, daemons=2):
    """A group whose named replicas left a command to resume unanswered."""
    rig = Rig(daemons=daemons)
    await rig.settle()
    for replica in rig.group.replicas():
        replica.paused = rig.group.term + 1
        replica.lose_resumes = int(replica.id in names)
    caller = rig.caller()
    for number in range(40):
        await caller.send(f"WRITE before {number}")
        await asyncio.sleep(0.1)
    assert [item.paused for item in rig.group.replicas()] == [0, 0]
    assert set(rig.leases.lease.resumes) == set(names)
    return rig


async def carry_out_during_promotion(rig, *names):
    """Resume replicas between a promotion's order and its effect; reach the primary."""
    before = len(rig.promoter.orders)
    while len(rig.promoter.orders) == before:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    for name in names:
        rig.group[name].paused = 0
    rig.group["u1"].cut_from.clear()


def test_a_late_resume_does_not_undo_the_pause_of_a_later_takeover():
    """Guards against losing what the old primary commits after a late command.

    A replica leaves a command to resume unanswered and carries it out seconds later,
    while the next takeover promotes another member and relies on its pause.
    """

    async def main():
        rig = await make_rig_with_late_resumes("u2")
        results = []
        writers = start_writers(rig, 6.0, results)
        rig.group["u1"].cut_from.update({"u2", "u3"})
        await carry_out_during_promotion(rig, "u2")
        await asyncio.gather(*writers)
        assert [name for name, _ in rig.group.promotions] == ["u2"]
        assert rig.group.promotions[0][1] == []
        check_nothing_lost(rig, results)

    run(main())


def test_a_primary_steps_down_if_no_pause_can_be_relied_on():
    """Guards against losing commits, or waiting seconds, if all pauses may end.

    With two replicas that may both receive again, the primary could commit through
    either one.
    """

    async def main():
        rig = await make_rig_with_late_resumes("u2", "u3")
        results = []
        writers = start_writers(rig, 8.0, results)
        rig.group["u1"].cut_from.update({"u2", "u3"})
        await carry_out_during_promotion(rig, "u2")
        await asyncio.gather(*writers)
        assert all(lost == [] for _, lost in rig.group.promotions)
        check_nothing_lost(rig, results)
        assert results[-1][1] is None

    run(main())


def test_a_silent_primary_is_replaced_once_late_commands_have_expired():
    """Guards against a promotion while any replica may receive again unnoticed."""

    async def main():
        rig = await make_rig_with_late_resumes("u2", "u3")
        recorded_at = min(rig.proxy.lease_view.seen["db"].resumes_seen.values())
        rig.group["u1"].unresponsive = True
        while not rig.group.promotions:
            await asyncio.sleep(0.1)
        assert rig.loop.time() > recorded_at + RESUME_LIFETIME
        assert rig.group.promotions[0][1] == []

    run(main())


def test_a_restarted_daemon_knows_of_late_commands():
    """Guards against a takeover that forgets what an earlier process has sent."""

    async def main():
        rig = await make_rig_with_late_resumes("u2")
        view, _ = make_view()
        view.record_initial("db", rig.leases.lease)
        assert set(view.outstanding_resumes("db")) == {"u2"}

    run(main())


def test_late_commands_are_outstanding_for_a_time():
    view, clock = make_view()
    view.record("g", replace(lease(1, 20), resumes={"u2": 1}))
    clock.now += 10.0
    view.record("g", replace(lease(2, 30), resumes={"u2": 1, "u3": 2}))
    clock.now += RESUME_LIFETIME - 9.0
    assert view.outstanding_resumes("g") == {"u3": 2}
    assert view.newest("g", lease(2, 30)).resumes == {"u3": 2}
    clock.now += 10.0
    assert view.outstanding_resumes("g") == {}


def test_a_command_recorded_under_the_same_token_is_noticed():
    view, _ = make_view()
    view.record("g", lease(1, 20))
    view.record("g", replace(lease(1, 21), resumes={"u2": 1}))
    view.record("g", lease(1, 20))
    assert view.outstanding_resumes("g") == {"u2": 1}


def test_pauses_suffice_while_too_few_others_may_receive():
    assert pauses_suffice("a", {"a"}, 1)
    assert not pauses_suffice("a", {"b"}, 1)
    assert pauses_suffice("a", {"b"}, 2)
    assert not pauses_suffice("a", {"b", "c"}, 2)
    assert pauses_suffice("a", {"b", "c"}, 0)


def test_a_member_that_may_receive_again_is_promoted_if_its_log_is_as_long():
    members = [paused("a", 5), paused("b", 5)]
    assert choose_promotion_target(members, resumable={"a"}) == "a"
    assert choose_promotion_target(members, "b", resumable={"a"}) == "a"
    assert choose_promotion_target(members, resumable={"a", "b"}) == ""
    assert choose_promotion_target([paused("a", 4), paused("b", 5)], "", {"a"}) == ""
    assert choose_handover_target(members, {"a"}) == "a"
    assert choose_handover_target(members, {"a", "b"}) == ""
