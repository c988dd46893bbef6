"""Statements sent to an owner of their group, and owners that fail meanwhile."""

import asyncio

import pytest

from gypsum_sessions.daemons.peermessages import (
    MessageError,
    StatementRequest,
    decode,
    encode,
)
from gypsum_sessions.replies import Refusal, SessionState
from gypsum_sessions.statements import Statement, StatementKind
from tests.sessions.owners import (
    first_owner,
    open_transaction,
    owner_of,
    owners_rig,
)
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


async def make_rig():
    """Three owners and two other daemons; the owners have proven the leader."""
    rig = await owners_rig()
    assert (len(rig.owners()), len(rig.others())) == (3, 2)
    return rig


def test_others_read_and_write_without_connections_of_their_own():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("WRITE a 1")).ok
        reply = await caller.send("READ a")
        assert reply.rows == ("1",) and reply.proof
        assert rig.others()[0].groups == {}

    run(main())


def test_transactions_are_open_at_an_owner_until_their_end():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("BEGIN")).ok
        assert (await caller.send("WRITE a 1")).state is SessionState.IN_TRANSACTION
        assert (await caller.send("READ a")).ok
        assert (await caller.send("COMMIT")).state is SessionState.IDLE
        assert len(rig.group.acknowledged) == 1
        assert (await caller.send("BEGIN")).ok
        assert (await caller.send("WRITE a 2")).ok
        assert (await caller.send("ROLLBACK")).ok
        await asyncio.sleep(0.1)
        assert len(rig.group.acknowledged) == 1
        assert all(
            not desk.busy for proxy in rig.owners() for desk in proxy.peer_handlers
        )

    run(main())


def test_session_values_and_prepared_names_go_with_the_statement():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("SET zone north")).ok
        assert (await caller.send("PREPARE s1 WRITE q2c")).ok
        assert (await caller.send("EXECUTE s1 a 1")).ok
        used = [
            conn
            for member in rig.group.members
            for conn in member.conns
            if ("q2c", True) in conn.prepared.values()
        ]
        assert [conn.values for conn in used] == [{"zone": "north"}]

    run(main())


def test_a_read_is_retried_elsewhere_when_its_owner_becomes_silent():
    """Guards against reads of a healthy group that take until their deadline.

    An owner freezes while a read is on its way, and the daemon that sent it waited for
    an answer that does not come.
    """

    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("READ a")).ok
        rig.links.freeze(first_owner(rig))
        began = rig.loop.time()
        assert (await caller.send("READ a")).ok
        assert rig.loop.time() - began < 0.9

    run(main())


def test_a_write_at_a_silent_owner_is_in_doubt_and_not_repeated():
    """Guards against a write that takes effect twice.

    An owner freezes while a write is on its way, and resumes. The write was also sent
    to the next owner, or the first one runs it from its queue.
    """

    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("READ a")).ok
        owner = first_owner(rig)
        rig.links.freeze(owner)
        reply = await caller.send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT
        rig.links.thaw(owner)
        await asyncio.sleep(1.0)
        assert rig.group.acknowledged == []

    run(main())


def test_a_write_that_was_never_sent_goes_to_the_next_owner():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("READ a")).ok
        rig.links.freeze(first_owner(rig))
        await asyncio.sleep(0.5)
        assert (await caller.send("WRITE a 1")).ok

    run(main())


def test_a_transaction_whose_owner_is_lost_is_rolled_back_permanently():
    """Guards against committing a transaction that was reported as rolled back.

    A transaction writes at an owner, the owner freezes, the caller gets the refusal,
    and the owner resumes and reads a queued COMMIT. The COMMIT reached it over a link
    that the peer had closed.
    """

    async def main():
        rig = await make_rig()
        caller, owner = await open_transaction(rig)
        rig.links.freeze(owner)
        assert (await caller.send("READ a")).refusal is Refusal.ABORTED
        rig.links.thaw(owner)
        await asyncio.sleep(0.5)
        assert rig.group.acknowledged == []
        desks = [desk for proxy in rig.owners() for desk in proxy.peer_handlers]
        assert all(not desk.transactions for desk in desks)
        assert (await caller.send("ROLLBACK")).ok
        assert (await caller.send("WRITE a 2")).ok

    run(main())


def test_a_commit_at_an_owner_that_is_killed_is_in_doubt():
    async def main():
        rig = await make_rig()
        caller, owner = await open_transaction(rig)
        committing = asyncio.create_task(caller.send("COMMIT"))
        await asyncio.sleep(0.005)
        rig.links.kill(owner)
        assert (await committing).refusal is Refusal.IN_DOUBT

    run(main())


def test_a_transaction_that_only_read_is_not_in_doubt():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        await caller.send("BEGIN READ")
        assert (await caller.send("READ a")).ok
        owner = owner_of(caller)
        committing = asyncio.create_task(caller.send("COMMIT"))
        await asyncio.sleep(0.005)
        rig.links.kill(owner)
        assert (await committing).refusal is Refusal.ABORTED

    run(main())


def test_a_draining_owner_gets_no_new_work_and_finishes_its_transactions():
    async def main():
        rig = await make_rig()
        other = rig.others()[0]
        caller, second = rig.caller("own", other), rig.caller("own", other)
        await caller.send("BEGIN")
        assert (await caller.send("WRITE a 1")).ok
        name = owner_of(caller)
        owner = rig.links.proxies[name]
        for desk in owner.peer_handlers:
            desk.send_leaving()
        await asyncio.sleep(0.01)
        assert other.access("db").owners()[-1] == name
        await second.send("BEGIN")
        assert (await second.send("WRITE b 1")).ok
        assert owner_of(second) != name
        assert (await caller.send("COMMIT")).ok

    run(main())


def test_the_next_statement_of_an_ended_transaction_is_refused():
    async def main():
        rig = await make_rig()
        caller, owner = await open_transaction(rig)
        for desk in rig.links.proxies[owner].peer_handlers:
            desk.end_idle_transactions()
        await asyncio.sleep(0.05)
        assert (await caller.send("COMMIT")).refusal is Refusal.ABORTED
        assert rig.group.acknowledged == []

    run(main())


def test_a_closed_session_ends_its_transaction_at_the_owner():
    async def main():
        rig = await make_rig()
        caller, _ = await open_transaction(rig)
        await rig.others()[0].close_session(caller.session)
        await asyncio.sleep(0.1)
        assert all(
            not desk.transactions
            for proxy in rig.owners()
            for desk in proxy.peer_handlers
        )

    run(main())


def test_work_is_refused_with_a_retry_time_when_no_owner_answers():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        for proxy in rig.proxies:
            rig.links.kill(proxy.name)
        reply = await caller.send("WRITE a 1")
        assert reply.refusal is Refusal.BUSY and reply.retry_after_ms

    run(main())


def test_a_read_that_may_have_run_is_not_reported_as_not_run():
    async def main():
        rig = await make_rig()
        caller = rig.caller("own", rig.others()[0])
        assert (await caller.send("READ a")).ok
        for proxy in rig.proxies:
            rig.links.freeze(proxy.name)
        reply = await caller.send("READ a")
        assert reply.refusal is Refusal.BUSY
        assert "not run" not in reply.detail

    run(main())


def test_a_standby_serves_when_no_owner_is_reachable():
    """Guards against a group without service while half of the daemons live.

    All owners of a group are killed together, and no other daemon accepted its
    statements.
    """

    async def main():
        rig = await make_rig()
        owners = [proxy.name for proxy in rig.owners()]
        caller = rig.caller("own", rig.others()[0])
        for name in owners:
            rig.links.kill(name)
        assert (await caller.send("WRITE a 1")).ok

    run(main())


def test_messages_survive_encoding_and_decoding():
    statement = Statement(kind=StatementKind.READ, text="READ a")
    rig_route = None

    async def main():
        nonlocal rig_route
        rig = Rig()
        rig_route = rig.proxy.catalog.route("own")

    run(main())
    ask = StatementRequest(
        call=7,
        request="r",
        statement=statement,
        route=rig_route,
        left=0.5,
        values={"a": "b"},
        prepared=(("shape", True),),
    )
    assert decode(encode(ask)) == ask


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x80", b"\x83\x01\x02\x03"])
def test_bytes_that_are_no_message_are_refused(data):
    with pytest.raises(MessageError):
        decode(data)


def test_a_transaction_goes_to_an_owner_that_has_a_connection_free():
    """Guards against transactions that wait although connections are idle.

    Idle transactions hold all connections of one owner, and the next one is sent there.
    The owner waited for its own connections until the deadline, whatever others had.
    """

    async def main():
        rig = await make_rig()
        other = rig.others()[0]
        owner = first_owner(rig)
        pool = rig.links.proxies[owner].groups["db"].upstreams["u1"].pool
        paused = [rig.caller("own", other) for _ in range(pool.limit)]
        for caller in paused:
            await caller.send("BEGIN")
            assert (await caller.send(f"WRITE {caller.next_request} 1")).ok
        assert not pool.has_capacity()
        began = rig.loop.time()
        caller = rig.caller("own", other)
        await caller.send("BEGIN")
        assert (await caller.send("WRITE a 1")).ok
        assert owner_of(caller) != owner
        assert rig.loop.time() - began < 0.1

    run(main())
