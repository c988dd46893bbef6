"""Takeovers end in words: leases settled, late orders refused, pauses lifted."""

import asyncio
from dataclasses import replace

from gypsum_sessions.interfaces import PromoteOutcome, PromotionLease
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, start_writers, write_for


def test_replicas_paused_by_a_late_order_are_resumed():
    """Symptom: writes stand still for ever though all members are well.

    Sequence: an order to pause got no answer, its sender went on without it, and it
    is carried out seconds later. Cause: nobody looked for paused replicas.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        writer = asyncio.create_task(write_for(rig, rig.proxy, 8.0, told))
        await asyncio.sleep(1.0)
        for replica in rig.group.replicas():
            replica.paused = 2
        await writer
        assert told[-1][1] is None
        check_nothing_lost(rig, told)

    run(main())


def test_replicas_that_a_rival_has_paused_are_not_resumed():
    """Symptom: acknowledged commits are missing after a promotion.

    Sequence: a primary is cut from its replicas; one daemon pauses them and orders a
    promotion; another, which still hears the primary, sees writes stand still, finds
    the replicas paused and resumes them; the cut heals, commits are acknowledged, the
    promotion takes effect. Cause: the pause was taken for a forgotten one.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        writers = start_writers(rig, 8.0, told)
        await asyncio.sleep(1.0)
        rig.group["u1"].cut_from.update({"u2", "u3"})
        rig.promoter.delayed_orders = [2.0]
        await asyncio.sleep(1.6)
        rig.group["u1"].cut_from.clear()
        await asyncio.gather(*writers)
        assert all(lost == [] for _, lost in rig.group.promotions)
        check_nothing_lost(rig, told)

    run(main())


def test_a_late_order_is_refused_once_the_primary_was_confirmed():
    """Symptom: a healthy primary is deposed and commits are lost.

    Sequence: a promotion is ordered and not answered, the primary comes back, the
    replicas are resumed, the order is carried out five seconds later. Cause: nothing
    had raised the fence above the order's token.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.promoter.delayed_orders = [6.0]
        told = []
        writer = asyncio.create_task(write_for(rig, rig.proxy, 12.0, told))
        await asyncio.sleep(0.5)
        rig.group["u1"].dark = True
        await asyncio.sleep(1.5)
        rig.group["u1"].dark = False
        await writer
        check_nothing_lost(rig, told)
        assert all(lost == [] for _, lost in rig.group.promotions)
        assert told[-1][1] is None

    run(main())


def test_a_lease_found_at_the_start_does_not_hold_commits_back_for_long():
    """Symptom: after a restart of all daemons commits are in doubt for seconds.

    Sequence: a takeover took place an hour ago, or ended without a word, a daemon
    starts and reads the lease. Cause: a lease that is new to the daemon looked like a
    takeover under way.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        group = rig.proxy.groups["db"]
        left = PromotionLease(holder="dead", token=3, revision=2)
        rig.proxy.lease_view.note_first("db", replace(left, settled=True))
        assert not group.takeover_under_way()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.leases.lease = left
        rig.proxy.lease_view.note_first("db", left)
        assert group.takeover_under_way()
        await asyncio.sleep(1.1)
        assert not group.takeover_under_way()
        await asyncio.sleep(0.3)
        assert rig.leases.lease.settled and rig.leases.lease.token == 4
        assert (await rig.caller("own").send("WRITE a 2")).ok
        assert rig.group.promotions == []

    run(main())


def test_a_takeover_is_settled_once_its_order_is_answered():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        rig.group["u1"].dark = True
        await asyncio.sleep(4.0)
        assert len(rig.group.promotions) == 1
        assert rig.leases.lease.settled

    run(main())


def test_a_takeover_with_an_order_on_its_way_is_not_settled_by_its_end():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: an order gets no answer, the primary is back, the takeover gives up, and
    the order is carried out seconds later. Cause: its end was taken for the end of all
    that it had set going.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.promoter.delayed_orders = [6.0, 6.0, 6.0, 6.0]
        rig.group["u1"].dark = True
        while not rig.promoter.orders:
            await asyncio.sleep(0.05)
        rig.group["u1"].dark = False
        takeover = rig.proxy.takeovers["db"]
        await asyncio.sleep(2.0)
        assert takeover.unanswered
        assert not rig.leases.lease.settled
        await asyncio.sleep(20.0)
        assert rig.leases.lease.settled
        assert all(lost == [] for _, lost in rig.group.promotions)

    run(main())


def test_an_unfinished_takeover_is_finished_by_another_daemon():
    """Symptom: reads are slow for minutes, and new replicas confirm no commit.

    Sequence: a daemon pauses the replicas, takes the lease and dies; the primary had
    only been out of reach for it. Cause: nobody else looked after what it left.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        left = await rig.leases.acquire("db", "dead", rig.leases.lease)
        for name in ("u2", "u3"):
            rig.group[name].paused = 2
        await asyncio.sleep(rig.proxy.tuning.takeover_max_duration + 1.5)
        assert rig.leases.lease.token == left.token + 1
        assert rig.leases.lease.settled
        assert [rig.group[name].paused for name in ("u2", "u3")] == [0, 0]
        assert rig.group.promotions == []

    run(main())


def test_only_an_accepted_order_ends_those_before_it():
    async def main():
        takeover = Rig().proxy.takeovers["db"]
        takeover.note_outcome("u2", PromoteOutcome.UNANSWERED)
        takeover.note_outcome("u3", PromoteOutcome.REFUSED)
        takeover.note_outcome("u3", PromoteOutcome.NOT_DONE)
        assert takeover.unanswered == {"u2"}
        takeover.note_outcome("u3", PromoteOutcome.ACCEPTED)
        assert takeover.unanswered == set()

    run(main())
