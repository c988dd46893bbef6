"""Draining a daemon interrupts no caller."""

import asyncio

from gypsum_platform.codec import read_statement
from gypsum_policy.draining import make_drain_plan
from gypsum_sessions.callers.drain import drain
from gypsum_sessions.replies import Refusal, SessionState
from tests.sessions.connections import connect
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def test_idle_sessions_are_closed_in_turn_after_the_balancer_noticed():
    async def main():
        rig = Rig()
        await rig.settle()
        links = [(await connect(rig.proxy))[1] for _ in range(20)]
        plan = make_drain_plan(6.0)
        began = rig.loop.time()
        await drain(rig.proxy, plan, lambda: None)
        closed = sorted(link.closed_at - began for link in links)
        assert (
            plan.notice_end <= closed[0] and closed[-1] <= plan.close_sessions_by + 0.1
        )
        assert closed[-1] - closed[0] > 0.3

    run(main())


def test_new_callers_are_served_until_the_listener_is_closed():
    async def main():
        rig = Rig()
        await rig.settle()
        stopped = []
        task = asyncio.create_task(
            drain(
                rig.proxy, make_drain_plan(6.0), lambda: stopped.append(rig.loop.time())
            )
        )
        await asyncio.sleep(1.0)
        assert not rig.proxy.ready
        caller, link = await connect(rig.proxy)
        caller.on_statement("r1", read_statement("WRITE a 1"))
        await task
        assert link.replies[0].ok
        assert 3.0 < stopped[0] < 3.6

    run(main())


def test_an_open_transaction_has_half_of_the_grace_to_end():
    async def main():
        rig = Rig()
        await rig.settle()
        caller, link = await connect(rig.proxy)
        task = asyncio.create_task(drain(rig.proxy, make_drain_plan(6.0), lambda: None))
        caller.on_statement("r1", read_statement("BEGIN"))
        caller.on_statement("r2", read_statement("WRITE a 1"))
        await asyncio.sleep(2.9)
        caller.on_statement("r3", read_statement("COMMIT"))
        await task
        assert [reply.ok for reply in link.replies] == [True, True, True]
        assert rig.group.commits == 1

    run(main())


def test_a_transaction_that_takes_longer_is_aborted_and_its_connection_kept():
    """Guards against a statement that is read but never answered.

    The caller's statement arrives while the drain rolls its transaction back; the
    connection must not be closed once the rollback is done.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        caller, link = await connect(rig.proxy)
        caller.on_statement("r1", read_statement("BEGIN"))
        caller.on_statement("r2", read_statement("WRITE a 1"))
        await asyncio.sleep(0.1)
        task = asyncio.create_task(drain(rig.proxy, make_drain_plan(6.0), lambda: None))
        await asyncio.sleep(4.8)
        caller.on_statement("r3", read_statement("WRITE b 2"))
        caller.on_statement("r4", read_statement("ROLLBACK"))
        await task
        assert link.replies[2].refusal is Refusal.ABORTED
        assert link.replies[3].state is SessionState.IDLE
        assert rig.group.commits == 0

    run(main())


def test_a_statement_that_meets_the_end_of_its_transaction_opens_no_other():
    """Guards against a statement that runs outside its caller's transaction.

    It arrives during the round trip in which an idle transaction is rolled back. If the
    session still counted as in a transaction, it would find no connection and open a
    new transaction.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        runs = rig.group["u1"].runs
        ending = asyncio.create_task(caller.session.abort_transaction())
        await asyncio.sleep(0)
        reply = await caller.send("WRITE b 2")
        await ending
        assert not reply.ok
        assert rig.group["u1"].runs == runs
        assert (await caller.send("COMMIT")).refusal is Refusal.ABORTED

    run(main())
