"""A primary that this daemon does not reach and others do."""

import asyncio

from gypsum_policy.suspicion import VOUCHED_FOR, usable_helpers, vouches
from gypsum_sessions.replies import Refusal
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, write_for


def test_only_fresh_proofs_vouch():
    assert vouches(0.1) and not vouches(VOUCHED_FOR) and not vouches(None)
    seen = {"a": 9.9, "b": 9.8, "old": 9.9 - VOUCHED_FOR}
    assert usable_helpers(seen, 10.0) == ["a", "b"]


def test_callers_of_a_daemon_that_is_cut_off_are_served_by_way_of_another():
    """Symptom: for seconds all callers of some daemons are refused.

    Sequence: the path from a daemon to the primary is cut, all others reach it. Cause:
    a daemon only used its own connections.
    """

    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        cut, told = rig.proxies[0], []
        rig.cut(cut, "u1")
        await asyncio.sleep(1.5)
        await write_for(rig, cut, 4.0, told)
        assert all(refusal is None for _, refusal, _ in told)
        assert (await rig.caller("primary", cut).send("READ a")).ok
        caller = rig.caller("own", cut)
        await caller.send("BEGIN")
        assert (await caller.send("WRITE tx 1")).ok
        assert (await caller.send("COMMIT")).ok
        check_nothing_lost(rig, told)

    run(main())


def test_a_primary_that_others_reach_is_not_replaced():
    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        places = [proxy.takeovers["db"].place() for proxy in rig.proxies]
        first = rig.proxies[places.index(0)]
        rig.cut(first, "u1")
        await asyncio.sleep(8.0)
        assert rig.group.promotions == []

    run(main())


def test_a_primary_that_nobody_reaches_is_replaced_as_soon_as_ever():
    async def main():
        rig = Rig(daemons=3)
        await rig.settle()
        rig.group["u1"].dark = True
        await asyncio.sleep(3.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_a_daemon_uses_its_own_way_again_once_it_is_back():
    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        cut = rig.proxies[0]
        rig.cut(cut, "u1")
        await asyncio.sleep(1.5)
        access = cut.access("db")
        assert access.remote_access() is not None
        cut.around.dialer.dialer.cut.clear()
        await asyncio.sleep(1.0)
        assert access.remote_access() is None
        assert (await rig.caller("own", cut).send("WRITE a 1")).ok

    run(main())


def test_a_daemon_on_the_wrong_side_of_a_cut_refuses_at_once():
    """Symptom: callers wait for most of their time before they may go elsewhere.

    Sequence: a daemon loses a primary's replicas and then the primary, which another
    daemon has replaced, and the other daemons as well. Cause: it waits for a primary
    that it could not reach.
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
        assert not rig.proxy.groups["db"].watch.cut_off()
        assert (await rig.caller("primary").send("WRITE a 1")).ok

    run(main())


def test_a_daemon_that_is_cut_off_takes_no_new_callers():
    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        rig.proxy.lease_view.note_known(0)
        assert rig.proxy.ready
        for upstream in ("u1", "u2"):
            rig.cut(rig.proxy, upstream)
        await asyncio.sleep(3.0)
        assert not rig.proxy.ready
        rig.proxy.around.dialer.dialer.cut.clear()
        await asyncio.sleep(2.0)
        assert rig.proxy.ready

    run(main())


def test_callers_wait_for_the_next_primary_when_helpers_have_lost_it_as_well():
    """Symptom: callers spend their tries within milliseconds of a primary's death.

    Sequence: a daemon loses the primary, another one vouches for it and then loses it
    too. Cause: that no helper took the statement was passed on as a refusal.
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
        other.groups["db"].watch.lose(rig.loop.clock())
        reply = await rig.caller("primary", one).send("WRITE a 1")
        assert reply.refusal is not Refusal.BUSY or "no owner" not in reply.detail

    run(main())
