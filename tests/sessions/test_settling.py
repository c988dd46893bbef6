"""The end of takeovers: leases settled, late orders refused, replicas resumed."""

import asyncio
from dataclasses import replace

from gypsum_sessions.interfaces import PromoteOutcome, PromotionLease
from gypsum_sessions.takeover.outstanding import OutstandingOrders
from tests.sessions.rig import Rig
from tests.sessions.test_lease_view import Clock
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, start_writers, write_for


def test_replicas_paused_by_a_late_order_are_resumed():
    """Guards against writes stalling forever although all members are healthy.

    A command to pause replication gets no answer, its sender continues without it, and
    it is carried out seconds later. Some daemon has to look for paused replicas.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writer = asyncio.create_task(write_for(rig, rig.proxy, 8.0, results))
        await asyncio.sleep(1.0)
        for replica in rig.group.replicas():
            replica.paused = 2
        await writer
        assert results[-1][1] is None
        check_nothing_lost(rig, results)

    run(main())


def test_replicas_that_another_daemon_has_paused_are_not_resumed():
    """Guards against losing acknowledged commits with a promotion.

    A primary is cut off from its replicas. One daemon pauses them and orders a
    promotion. Another daemon, which still reaches the primary, sees writes stall and
    finds the replicas paused. If it treated the pause as an abandoned one and resumed
    them, the primary could acknowledge commits once its connections are restored, and
    the promotion would discard them.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writers = start_writers(rig, 8.0, results)
        await asyncio.sleep(1.0)
        rig.group["u1"].cut_from.update({"u2", "u3"})
        rig.promoter.delayed_orders = [2.0]
        await asyncio.sleep(1.6)
        rig.group["u1"].cut_from.clear()
        await asyncio.gather(*writers)
        assert all(lost == [] for _, lost in rig.group.promotions)
        check_nothing_lost(rig, results)

    run(main())


def test_a_late_order_is_refused_once_the_primary_was_confirmed():
    """Guards against deposing a healthy primary and losing commits.

    A promotion order gets no answer, the primary returns and the replicas are resumed,
    then the order is carried out five seconds later. Confirming the primary must raise
    the fencing token above that of the order.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.promoter.delayed_orders = [6.0]
        results = []
        writer = asyncio.create_task(write_for(rig, rig.proxy, 12.0, results))
        await asyncio.sleep(0.5)
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(1.5)
        rig.group["u1"].unresponsive = False
        await writer
        check_nothing_lost(rig, results)
        assert all(lost == [] for _, lost in rig.group.promotions)
        assert results[-1][1] is None

    run(main())


def test_a_lease_found_at_the_start_delays_commits_only_briefly():
    """Guards against commits in doubt for seconds after a restart of all daemons.

    A takeover was settled an hour ago, or was abandoned, and a daemon that starts reads
    its lease. A lease that is new to the daemon must not look like one that was taken
    just now.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        group = rig.proxy.groups["db"]
        left = PromotionLease(holder="dead", token=3, revision=2)
        rig.proxy.lease_view.record_initial("db", replace(left, settled=True))
        assert not group.takeover_in_progress()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.leases.lease = left
        rig.proxy.lease_view.record_initial("db", left)
        assert group.takeover_in_progress()
        await asyncio.sleep(1.1 + rig.proxy.tuning.promotion_effect_time)
        assert not group.takeover_in_progress()
        await asyncio.sleep(0.3)
        assert rig.leases.lease.settled and rig.leases.lease.token == 4
        assert (await rig.caller("own").send("WRITE a 2")).ok
        assert rig.group.promotions == []

    run(main())


def test_a_takeover_is_settled_once_its_order_is_answered():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(4.0)
        assert len(rig.group.promotions) == 1
        assert rig.leases.lease.settled

    run(main())


def test_a_takeover_with_an_unanswered_order_is_not_settled_when_it_ends():
    """Guards against losing an acknowledged commit with a promotion.

    An order gets no answer, the primary returns, the attempt is abandoned, and the
    order is carried out seconds later. The end of the attempt must not settle the lease
    while one of its orders can still take effect.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.promoter.delayed_orders = [6.0, 6.0, 6.0, 6.0]
        rig.group["u1"].unresponsive = True
        while not rig.promoter.orders:
            await asyncio.sleep(0.05)
        rig.group["u1"].unresponsive = False
        takeover = rig.proxy.takeovers["db"]
        await asyncio.sleep(2.0)
        assert takeover.unanswered_orders
        assert not rig.leases.lease.settled
        await asyncio.sleep(20.0)
        assert rig.leases.lease.settled
        assert all(lost == [] for _, lost in rig.group.promotions)

    run(main())


def test_an_unfinished_takeover_is_finished_by_another_daemon():
    """Guards against minutes of slow reads and new replicas that confirm no commit.

    A daemon that cannot reach a healthy primary takes the lease, pauses the replicas
    and dies. Another daemon has to finish its takeover.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        left = await rig.leases.acquire("db", "dead", rig.leases.lease)
        for name in ("u2", "u3"):
            rig.group[name].paused = 2
        tuning = rig.proxy.tuning
        await asyncio.sleep(tuning.takeover_max_duration + tuning.promotion_effect_time)
        await asyncio.sleep(0.3)
        assert rig.leases.lease.token == left.token + 1
        assert rig.leases.lease.settled
        assert [rig.group[name].paused for name in ("u2", "u3")] == [0, 0]
        assert rig.group.promotions == []

    run(main())


def test_a_takeover_without_an_order_does_not_settle_what_a_dead_holder_ordered():
    """Guards against losing all commits since a dead daemon's order.

    A daemon dies after an order that gets no answer. The next holder of the lease finds
    the primary back and orders nothing; the platform has not seen its token.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        primary, crashing, _ = rig.group.members
        primary.unresponsive = True
        rig.promoter.delayed_orders = [10.0]
        while not rig.promoter.orders:
            await asyncio.sleep(0.01)
        holder = rig.promoter.orders[0][1]
        survivor = next(proxy for proxy in rig.proxies if proxy.name != holder)
        rig.links.proxies[holder].stop()
        crashing.crash()
        while rig.leases.lease.token < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        primary.unresponsive = False
        await asyncio.sleep(0.4)
        crashing.restart()
        await write_for(rig, survivor, 12.0, results)
        assert all(lost == [] for _, lost in rig.group.promotions)
        check_nothing_lost(rig, results)
        assert results[-1][1] is None
        assert rig.leases.lease.settled
        assert [item.paused for item in rig.group.replicas()] == [0, 0]

    run(main())


def test_orders_of_an_earlier_attempt_are_outstanding_in_the_next_one():
    """Guards against a lease that is settled while an older order may be carried out.

    An attempt whose order got no answer is aborted, as the store is down. The next one
    must not take the orders of its own time for all that there are.
    """
    orders = OutstandingOrders(clock=lambda: 0.0, effect_time=2.0)
    first = PromotionLease(holder="d0", token=1, revision=1)
    second = PromotionLease(holder="d0", token=2, revision=2, chain_start=1)
    orders.lease_taken(PromotionLease(holder="", token=0, revision=0), first)
    orders.order_unanswered("u2")
    orders.lease_taken(first, second)
    assert orders.may_take_effect("u1")
    assert not orders.may_take_effect("u2")
    orders.lease_taken(replace(second, settled=True), replace(second, token=3))
    assert not orders.may_take_effect("u1")


def test_a_restarted_daemon_does_not_know_the_orders_of_its_earlier_process():
    orders = OutstandingOrders(clock=lambda: 0.0, effect_time=2.0)
    left = PromotionLease(holder="d0", token=4, revision=8)
    orders.lease_taken(left, replace(left, token=5))
    assert orders.may_be_carried_out("u1")
    orders.order_accepted("u1")
    assert not orders.may_be_carried_out("u1")


def test_an_accepted_order_may_take_effect_for_a_time():
    clock = Clock()
    orders = OutstandingOrders(clock=clock, effect_time=2.0)
    orders.order_unanswered("u2")
    orders.order_accepted("u1")
    clock.now += 1.9
    assert orders.may_take_effect("u1")
    assert not orders.may_be_carried_out("u1")
    clock.now += 0.2
    assert not orders.may_take_effect("u1")


def test_replicas_stay_paused_until_an_accepted_order_has_taken_effect():
    """Guards against losing what is committed between an order and its effect.

    The platform accepts a daemon's order. Before it takes effect another daemon, which
    finishes the takeover, confirms the primary; that does not revoke the order.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writers = start_writers(rig, 12.0, results)
        left = await rig.leases.acquire("db", "dead", rig.leases.lease)
        for name in ("u2", "u3"):
            rig.group[name].paused = 2
        rig.group["u3"].lose_resumes = 2
        await asyncio.sleep(rig.proxy.tuning.takeover_max_duration - 0.2)
        await rig.promoter.promote("db", "u3", "dead", left.token)
        await asyncio.gather(*writers)
        assert rig.group.promotions == [("u3", [])]
        check_nothing_lost(rig, results)
        assert results[-1][1] is None
        assert rig.leases.lease.settled

    run(main())


def test_a_takeover_that_has_waited_renews_its_lease_before_it_orders():
    """Guards against a takeover that another daemon finishes as it promotes a member.

    A primary leaves while a replica is down for some seconds. Its handover orders a
    promotion once the replica is back, under a lease that others would take for
    abandoned before the promotion takes effect.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writers = start_writers(rig, 10.0, results)
        rig.group["u3"].crash()
        await asyncio.sleep(0.3)
        rig.group["u1"].leaving = True
        for proxy in rig.proxies:
            proxy.update_members(rig.group.listing())
        while not rig.leases.lease.token:
            await asyncio.sleep(0.01)
        first = rig.leases.lease
        await asyncio.sleep(2.5)
        rig.group["u3"].restart()
        while not rig.promoter.orders:
            await asyncio.sleep(0.01)
        _, holder, token = rig.promoter.orders[0]
        assert (holder, token) == (first.holder, first.token + 1)
        await asyncio.gather(*writers)
        assert [lost for _, lost in rig.group.promotions] == [[]]
        check_nothing_lost(rig, results)

    run(main())


def test_only_an_accepted_order_invalidates_earlier_ones():
    async def main():
        takeover = Rig().proxy.takeovers["db"]
        takeover.record_outcome("u2", PromoteOutcome.UNANSWERED)
        takeover.record_outcome("u3", PromoteOutcome.REFUSED)
        takeover.record_outcome("u3", PromoteOutcome.NOT_DONE)
        assert takeover.unanswered_orders == {"u2"}
        takeover.record_outcome("u3", PromoteOutcome.ACCEPTED)
        assert takeover.unanswered_orders == set()

    run(main())
