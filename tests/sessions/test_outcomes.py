"""Replies to callers for statements that were lost on the way."""

import asyncio

from gypsum_sessions.replies import Refusal, SessionState
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def silence_pool(rig, upstream):
    """Make all open connections to an upstream silent, as a middlebox would."""
    for conn in list(rig.group[upstream].conns):
        conn.silent = True


def test_a_write_without_an_answer_is_in_doubt_and_not_sent_again():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        rig.group["u1"].lose_answers = 1
        reply = await caller.send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT
        assert rig.group.commits == 1

    run(main())


def test_a_read_without_an_answer_is_asked_elsewhere():
    async def main():
        rig = Rig()
        await rig.settle()
        for replica in rig.group.replicas():
            replica.lose_answers = 1
        reply = await rig.caller("bounded").send("READ a")
        assert reply.ok

    run(main())


def test_a_commit_without_an_answer_is_in_doubt_if_it_wrote():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        rig.group["u1"].lose_answers = 1
        reply = await caller.send("COMMIT")
        assert reply.refusal is Refusal.IN_DOUBT
        assert reply.state is SessionState.IDLE

    run(main())


def test_a_commit_without_an_answer_is_aborted_if_it_only_read():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN READ")
        first = await caller.send("READ a")
        assert first.ok
        upstream = rig.group.reads[-1][1]
        rig.group[upstream].lose_answers = 1
        reply = await caller.send("COMMIT")
        assert reply.refusal is Refusal.ABORTED

    run(main())


def test_a_statement_lost_in_a_transaction_aborts_it_truthfully():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        rig.group["u1"].lose_answers = 1
        reply = await caller.send("WRITE a 1")
        assert reply.refusal is Refusal.ABORTED
        assert rig.group.commits == 0

    run(main())


def test_a_write_over_a_connection_that_went_silent_is_sent_over_another():
    """Guards against writes in doubt although the primary is healthy.

    A middlebox drops the open connections. The loss must be detected before the next
    write is sent over one of them.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).ok
        await asyncio.sleep(2.0)
        silence_pool(rig, "u1")
        assert (await caller.send("WRITE a 2")).ok
        assert rig.group.commits == 2

    run(main())


def test_work_is_refused_with_a_retry_time_without_a_leader():
    async def main():
        rig = Rig()
        await rig.settle()
        for member in rig.group.members:
            member.unresponsive = True
        await asyncio.sleep(1.0)
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.BUSY and reply.retry_after_ms > 0
        assert rig.group.commits == 0

    run(main())


def test_a_caller_that_leaves_in_a_transaction_leaves_nothing_open():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        await rig.proxy.close_session(caller.session)
        assert rig.group.commits == 0
        group = rig.proxy.groups["db"]
        assert all(item.pool.in_use == 0 for item in group.upstreams.values())

    run(main())


def test_a_commit_that_never_left_is_aborted_not_in_doubt():
    """Guards against an unknown outcome for a COMMIT that was not sent.

    The upstream crashes while a transaction is idle, then COMMIT arrives. Only a
    failure after sending leaves the outcome in doubt.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        caller.session.tx.pooled.conn.close()
        reply = await caller.send("COMMIT")
        assert reply.refusal is Refusal.ABORTED
        assert rig.group.commits == 0

    run(main())
