"""A primary that other daemons reach and this one does not."""

import asyncio

from gypsum_policy.reachability import (
    CONFIRMATION_VALID_FOR,
    confirming_daemons,
    confirms_primary,
)
from gypsum_sessions.replies import Refusal
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, write_for


def test_only_recent_proofs_confirm_the_primary():
    assert (
        confirms_primary(0.1)
        and not confirms_primary(CONFIRMATION_VALID_FOR)
        and not confirms_primary(None)
    )
    seen = {"a": 9.9, "b": 9.8, "old": 9.9 - CONFIRMATION_VALID_FOR}
    assert confirming_daemons(seen, 10.0) == ["a", "b"]


def test_callers_of_a_daemon_that_is_cut_off_are_served_through_another():
    """Guards against refusing all callers of some daemons for seconds.

    The path from one daemon to the primary is cut while all others reach it. The
    daemon must send statements through the others.
    """

    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        cut, results = rig.proxies[0], []
        rig.cut(cut, "u1")
        await asyncio.sleep(1.5)
        await write_for(rig, cut, 4.0, results)
        assert all(refusal is None for _, refusal, _ in results)
        assert (await rig.caller("primary", cut).send("READ a")).ok
        caller = rig.caller("own", cut)
        await caller.send("BEGIN")
        assert (await caller.send("WRITE tx 1")).ok
        assert (await caller.send("COMMIT")).ok
        check_nothing_lost(rig, results)

    run(main())


def test_a_primary_that_others_reach_is_not_replaced():
    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        ranks = [proxy.takeovers["db"].rank() for proxy in rig.proxies]
        first = rig.proxies[ranks.index(0)]
        rig.cut(first, "u1")
        await asyncio.sleep(8.0)
        assert rig.group.promotions == []

    run(main())


def test_a_primary_that_no_daemon_reaches_is_replaced_without_delay():
    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(3.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_a_daemon_uses_its_own_connections_again_once_they_work():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        cut = rig.proxies[0]
        rig.cut(cut, "u1")
        await asyncio.sleep(1.5)
        access = cut.access("db")
        assert access.remote_access() is not None
        cut.context.dialer.dialer.cut.clear()
        await asyncio.sleep(1.0)
        assert access.remote_access() is None
        assert (await rig.caller("own", cut).send("WRITE a 1")).ok

    run(main())


def test_a_daemon_in_the_minority_partition_refuses_at_once():
    """Guards against callers waiting for most of their time before a refusal.

    A daemon loses the connections to the other daemons and to most members, including
    the primary, which another daemon may have replaced. Waiting for a primary that it
    cannot reach would only delay callers that could go to another daemon.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        cut, other = rig.proxies
        rig.links.cut.add(frozenset({cut.name, other.name}))
        for upstream in ("u1", "u2"):
            rig.cut(cut, upstream)
        await asyncio.sleep(3.0)
        for text in ("WRITE a 1", "READ a"):
            began = rig.loop.time()
            reply = await rig.caller("primary", cut).send(text)
            assert reply.refusal is Refusal.BUSY and reply.retry_after_ms
            assert rig.loop.time() - began < 0.05

    run(main())


def test_callers_wait_for_the_successor_of_a_primary_that_died():
    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.group["u1"].crash()
        await asyncio.sleep(1.2)
        assert not rig.proxy.groups["db"].watch.is_partitioned()
        assert (await rig.caller("primary").send("WRITE a 1")).ok

    run(main())


def test_a_daemon_that_is_cut_off_takes_no_new_callers():
    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.proxy.lease_view.record_revision(0)
        assert rig.proxy.ready
        for upstream in ("u1", "u2"):
            rig.cut(rig.proxy, upstream)
        await asyncio.sleep(3.0)
        assert not rig.proxy.ready
        rig.proxy.context.dialer.dialer.cut.clear()
        await asyncio.sleep(2.0)
        assert rig.proxy.ready

    run(main())


def test_callers_wait_for_the_next_primary_when_helpers_have_lost_it_as_well():
    """Guards against callers using up their retries within milliseconds of a failure.

    A daemon loses the primary, and another daemon that had confirmed it loses it too.
    The fact that no helper took the statement must not be returned as a refusal.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        one, other = rig.proxies
        rig.cut(one, "u1")
        await asyncio.sleep(1.5)
        access = one.access("db")
        assert access.remote_access() is not None
        rig.group["u1"].crash()
        other.groups["db"].watch.mark_lost(rig.loop.clock())
        reply = await rig.caller("primary", one).send("WRITE a 1")
        assert reply.refusal is not Refusal.BUSY or "no owner" not in reply.detail

    run(main())
