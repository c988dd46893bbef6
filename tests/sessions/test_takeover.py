"""Replacing a primary that is out of service without losing acknowledged writes."""

import asyncio
from dataclasses import replace

from gypsum_core.records import Position
from gypsum_policy.promotion import choose_promotion_target
from gypsum_sessions.daemons.registry import DaemonEntry, DaemonRegistry
from gypsum_sessions.replies import Refusal, UpstreamStatus
from gypsum_sessions.takeover.replication import PausedReplica
from tests.sessions.fakegroup import PROMOTE_TIME
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import (
    check_nothing_lost,
    start_writers,
    write_for,
    writes_resumed_after,
)


def paused(name, index, *, leaving=False, term=1):
    """A paused member whose log ends at `index` of `term`."""
    status = UpstreamStatus(
        leads=False,
        term=1,
        received=Position(term=term, index=index),
        paused_term=2,
        lag_ms=0.0,
    )
    return PausedReplica(upstream=name, leaving=leaving, status=status)


def test_the_longest_log_is_chosen_even_if_it_leaves():
    assert (
        choose_promotion_target([paused("a", 5), paused("b", 6, leaving=True)]) == "b"
    )


def test_of_equal_logs_the_one_that_stays_is_chosen():
    assert (
        choose_promotion_target([paused("z", 5, leaving=True), paused("a", 5)]) == "a"
    )


def test_a_later_term_is_longer_than_any_index():
    assert (
        choose_promotion_target([paused("a", 9, term=1), paused("b", 3, term=2)]) == "b"
    )


def test_groups_are_spread_over_the_daemons():
    entries = [DaemonEntry(id=f"d{number}", domain="a") for number in range(9)]
    daemons = DaemonRegistry(own=entries[0])
    daemons.take_all(entries)
    first = {daemons.order(f"g{group}", 1)[0] for group in range(40)}
    assert len(first) >= 6


def test_an_unresponsive_primary_is_replaced_and_no_acknowledged_write_is_lost():
    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        results = []
        writers = start_writers(rig, 6.0, results)
        await asyncio.sleep(1.0)
        rig.group["u1"].unresponsive = True
        await asyncio.gather(*writers)
        assert rig.group.promotions and rig.group.leader is not rig.group["u1"]
        check_nothing_lost(rig, results)
        assert writes_resumed_after(results, 1.1) < 2.2 + PROMOTE_TIME

    run(main())


def test_a_crashed_primary_is_replaced_and_comes_back_as_a_replica():
    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        results = []
        writer = asyncio.create_task(write_for(rig, rig.proxy, 6.0, results))
        await asyncio.sleep(1.0)
        rig.group["u1"].crash()
        await asyncio.sleep(3.0)
        rig.group["u1"].restart()
        await writer
        check_nothing_lost(rig, results)
        assert len(rig.group.promotions) == 1

    run(main())


def test_nothing_is_promoted_while_a_replica_cannot_be_paused():
    """Guards against losing an acknowledged commit with a promotion.

    The primary and one replica are unreachable and the other replica lags. Promoting
    the lagging one would lose a commit that was acknowledged through the unreachable
    replica.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        rig.group["u2"].not_receiving = True
        assert (await rig.caller("own").send("WRITE a 1")).ok
        rig.group["u3"].unresponsive = True
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(8.0)
        assert rig.group.promotions == []
        refused = await rig.caller("own").send("WRITE b 2")
        assert refused.refusal is Refusal.BUSY and refused.retry_after_ms
        rig.group["u3"].unresponsive = False
        await asyncio.sleep(14.0)
        assert rig.group.promotions and rig.group.promotions[0][1] == []

    run(main())


def test_a_daemon_that_alone_is_cut_off_causes_no_data_loss():
    """Guards against losing acknowledged writes when a healthy primary is replaced.

    One daemon loses its path to the primary only, considers the primary dead and
    replaces it while the other daemons continue to write.
    """

    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        results = []
        cut = rig.proxies[0]
        writers = [
            asyncio.create_task(write_for(rig, proxy, 8.0, results))
            for proxy in rig.proxies[1:]
        ]
        await asyncio.sleep(0.5)
        cut.context.dialer.dialer.cut.add("u1")
        for conn in list(rig.group["u1"].conns):
            conn.silent = conn.silent or conn.dialer is cut.context.dialer.dialer
        await asyncio.gather(*writers)
        check_nothing_lost(rig, results)

    run(main())


def test_a_primary_that_takes_no_further_connection_is_not_replaced():
    """Guards against a takeover right after a power loss of all daemons.

    All daemons restart at once. For three seconds the upstreams still count the old
    connections and refuse new ones. A primary that no daemon could ask would count as
    dead although it answered the dials.
    """

    async def main():
        rig = Rig(daemons=2)
        for member in rig.group.members:
            member.limit = 0
        await asyncio.sleep(3.0)
        assert rig.leases.calls == 0
        for member in rig.group.members:
            member.limit = 100
        await rig.settle(0.6)
        rig.group["u1"].crash()
        await asyncio.sleep(5.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_a_leaving_primary_hands_over():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writer = asyncio.create_task(write_for(rig, rig.proxy, 5.0, results))
        await asyncio.sleep(1.0)
        leaving = [
            replace_leaving(member) if member.id == "u1" else member
            for member in rig.group.listing()
        ]
        for proxy in rig.proxies:
            proxy.update_members(leaving)
        await writer
        assert rig.group.leader is not rig.group["u1"]
        check_nothing_lost(rig, results)
        assert writes_resumed_after(results, 1.2) < 1.2 + PROMOTE_TIME

    run(main())


def replace_leaving(member):
    """The member as listed while it is leaving."""
    return replace(member, leaving=True)


def test_a_primary_cut_from_its_replicas_is_replaced():
    """Guards against stalled writes at a primary that looks healthy.

    The primary is cut off from its replicas but not from the daemons. It answers
    probes while its commits wait for a replica, so a missing answer to a probe cannot
    be the only sign of failure.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writers = start_writers(rig, 8.0, results)
        await asyncio.sleep(1.0)
        rig.group["u1"].cut_from.update({"u2", "u3"})
        await asyncio.gather(*writers)
        assert rig.group.leader is not rig.group["u1"]
        check_nothing_lost(rig, results)

    run(main())


def test_an_order_carried_out_late_is_not_followed_by_a_loss():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        rig.promoter.delayed_orders = [4.0, 2.5]
        results = []
        writers = start_writers(rig, 15.0, results)
        await asyncio.sleep(1.0)
        rig.group["u1"].unresponsive = True
        await asyncio.gather(*writers)
        assert all(lost == [] for _, lost in rig.group.promotions)
        check_nothing_lost(rig, results)
        assert results[-1][1] is None

    run(main())


def test_a_refused_token_is_never_used_again():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        rig.promoter.highest_token = 3
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(12.0)
        tokens = [token for _, _, token in rig.promoter.orders]
        assert len(tokens) == len(set(tokens))
        assert rig.group.promotions

    run(main())


def test_a_primary_with_a_full_queue_is_not_replaced():
    """Guards against replacing a healthy primary during a burst of load.

    The primary's queue is full for a second and it refuses proofs as busy. Such a
    refusal must not count as a missing answer.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        rig.group["u1"].full = True
        await asyncio.sleep(1.0)
        rig.group["u1"].full = False
        await asyncio.sleep(3.0)
        assert rig.group.promotions == []

    run(main())


def test_a_start_before_all_members_are_listed_replaces_no_primary():
    """Guards against a takeover while a group starts.

    The replicas are listed seconds before the primary. A group whose primary is not
    listed yet must not look like one that lost its primary.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        proxy = rig.make_proxy("late", ["late", "d0"], rig.proxy.tuning, 1)
        group = proxy.groups["db"]
        group.update_members([])
        await asyncio.sleep(2.0)
        proxy.update_members([m for m in rig.group.listing() if m.id != "u1"])
        await asyncio.sleep(1.5)
        proxy.update_members(rig.group.listing())
        await asyncio.sleep(1.0)
        assert rig.promoter.orders == []
        assert all(member.paused == 0 for member in rig.group.members)

    run(main())


def test_a_lease_that_just_changed_hands_is_left_to_its_holder():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        first, second = (proxy.takeovers["db"] for proxy in rig.proxies)
        assert await first.acquire_lease("test")
        await asyncio.sleep(0.1)
        assert not await second.acquire_lease("test")
        await asyncio.sleep(4.0)
        assert await second.acquire_lease("test")
        await asyncio.sleep(0.01)
        assert first.superseded()

    run(main())


def test_a_member_whose_address_another_has_taken_is_not_waited_for():
    """Guards against a delay of seconds before a dead primary is replaced.

    A replica crashes, another upstream starts at its address, and the primary dies
    while the list still names the old replica. The takeover would wait for it.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.group["u3"].replaced = True
        for conn in list(rig.group["u3"].conns):
            conn.close()
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(4.0)
        assert rig.group.leader is rig.group["u2"]
        assert rig.proxy.groups["db"].member("u3") is None

    run(main())


def test_an_upstream_that_takes_no_more_connections_still_leads():
    """Guards against refused writes while the primary is healthy.

    The primary is at its connection limit and statements hold all connections of a
    daemon, so another connection for a proof is refused. This must not count as a lost
    leader.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).ok
        rig.group["u1"].limit = 0
        held = [
            await proxy.groups["db"].upstreams["u1"].pool.acquire(values={}, timeout=1)
            for proxy in rig.proxies
        ]
        await asyncio.sleep(1.5)
        for proxy, pooled in zip(rig.proxies, held, strict=True):
            proxy.groups["db"].upstreams["u1"].pool.release(pooled)
        await asyncio.sleep(1.5)
        assert (await caller.send("WRITE a 2")).ok
        assert rig.group.promotions == []
        assert rig.leases.calls == 0
        lost = [line for line in rig.lines if line[1:3] == ("leader", "lost")]
        assert lost == []

    run(main())


def test_a_leaving_primary_that_cannot_be_replaced_gets_no_late_work():
    """Guards against sending work to an upstream long after it announced its departure.

    The primary is leaving while the store is unavailable, so no member can be promoted
    and the leaving member is still the leader.
    """

    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.leases.down = True
        listing = rig.group.listing()
        rig.proxy.update_members(
            [replace_leaving(item) if item.id == "u1" else item for item in listing]
        )
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).ok
        await asyncio.sleep(6.5)
        runs = rig.group["u1"].runs
        reply = await caller.send("WRITE a 2")
        assert reply.refusal is Refusal.BUSY and reply.retry_after_ms
        await rig.caller("bounded").send("READ a")
        assert rig.group["u1"].runs == runs

    run(main())


def test_a_daemon_with_an_outdated_list_starts_no_takeover():
    """Guards against losing acknowledged commits of a healthy new primary.

    While a daemon is cut off, a member that joined meanwhile replaces the primary. The
    daemon returns, finds no leader among the members on its outdated list and would
    promote one of them.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        old_view = rig.group.listing()
        rig.group.add(1)
        rig.group["u4"].log = list(rig.group["u1"].log)
        rig.group.promote("u4")
        rig.group["u1"].crash()
        await asyncio.sleep(5.0)
        late = rig.make_proxy("late", ["late"], rig.proxy.tuning, 1)
        late.update_members([item for item in old_view if item.id != "u4"])
        await asyncio.sleep(4.0)
        assert rig.promoter.orders == []
        assert late.groups["db"].watch.leader == "u4"

    run(main())
