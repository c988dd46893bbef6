"""Callers' keys: authentication, workspaces of statements, withdrawal of keys."""

import asyncio

import pytest

from gypsum_platform.codec import read_statement
from gypsum_sessions.callers.keys import digest_of
from gypsum_sessions.replies import Refusal, SessionState
from tests.sessions.connections import connect
from tests.sessions.owners import DAEMONS, MAX_CONNECTIONS
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

KEYS = {"north": ["n1", "n2"], "south": ["s1"]}
WITHOUT_N1 = {"north": ["n2"], "south": ["s1"]}


class WorkspaceRecorder:
    """Records the workspace in whose name each caller's statement ran."""

    def __init__(self):
        self.ran = []

    def statement_ran(self, conn, request):
        """Record a statement that an upstream ran."""
        self.ran.append((request, conn.workspace))

    def read_ran(self, member, request):
        """Ignore a read: `statement_ran` has recorded it."""


async def keyed_rig(**fleet):
    """Return daemons whose callers need keys, with a recorder of workspaces."""
    rig = Rig(keys=KEYS, **fleet)
    rig.group.observer = WorkspaceRecorder()
    await rig.settle()
    return rig


async def owners_rig():
    """Return such daemons, some of which forward statements to owners."""
    return await keyed_rig(daemons=DAEMONS, max_connections=MAX_CONNECTIONS)


def withdraw(rig, *proxies, version=2, keys=None):
    """Apply a configuration without a key on some daemons, by default on all."""
    for proxy in proxies or rig.proxies:
        proxy.offer_catalog(rig.configured(version, keys or WITHOUT_N1), "test")


@pytest.mark.parametrize("key", ["", "N1", "n1 ", "north", "n", "x" * 100_000, "\xff"])
def test_unknown_key_gets_no_session(key):
    async def main():
        rig = await keyed_rig()
        assert rig.proxy.open_session("own", digest_of(key.encode())) is None

    run(main())


def test_unknown_key_closes_the_connection_and_is_logged():
    async def main():
        rig = await keyed_rig()
        with pytest.raises(AssertionError):
            await connect(rig.proxy, key="n3")
        assert not rig.proxy.callers
        why = [event for _, part, event, _ in rig.lines if part == "request"]
        assert why == ["unknown key"]

    run(main())


def test_a_public_route_asks_for_no_key():
    async def main():
        rig = await keyed_rig()
        keys = {"own": {"public": True}}
        rig.proxy.offer_catalog(rig.configured(2, KEYS, **keys), "test")
        assert (await rig.caller("own").send("READ a")).ok
        assert rig.group.observer.ran[-1][1] == ""

    run(main())


def test_statements_run_in_the_name_of_their_callers_workspace():
    """Guards against a statement that runs in the name of another workspace.

    With idle connections of two workspaces, one chosen only by its session values may
    have been opened for the other workspace.
    """

    async def main():
        rig = await keyed_rig()
        north, south = rig.caller(key="n1"), rig.caller(key="s1")
        for _ in range(3):
            for caller, name in ((north, "north"), (south, "south")):
                for text in ("READ a", "WRITE a 1", "BEGIN", "WRITE a 2", "COMMIT"):
                    assert (await caller.send(text)).ok
                await asyncio.sleep(0.01)
                own = f"{caller.number}-"
                ran = {
                    who for req, who in rig.group.observer.ran if req.startswith(own)
                }
                assert ran == {name}

    run(main())


def test_forwarded_statements_run_in_the_name_of_their_callers_workspace():
    async def main():
        rig = await owners_rig()
        for key, name in (("n1", "north"), ("s1", "south"), ("n2", "north")):
            caller = rig.caller(proxy=rig.others()[0], key=key)
            for text in ("READ a", "WRITE a 1", "BEGIN READ", "READ a", "COMMIT"):
                assert (await caller.send(text)).ok
            own = f"{caller.number}-"
            ran = {who for req, who in rig.group.observer.ran if req.startswith(own)}
            assert ran == {name}

    run(main())


def test_an_idle_session_ends_with_its_key():
    async def main():
        rig = await keyed_rig()
        _, gone = await connect(rig.proxy, key="n1")
        _, kept = await connect(rig.proxy, key="n2")
        withdraw(rig)
        await asyncio.sleep(0.01)
        assert gone.closed_at is not None
        assert kept.closed_at is None

    run(main())


def test_an_open_transaction_is_rolled_back_with_its_key():
    """Guards against a caller that goes on writing after its key was withdrawn.

    It has a transaction open, pauses, then writes and commits. A key that is checked
    only when the session opens would allow that.
    """

    async def main():
        rig = await keyed_rig()
        caller, link = await connect(rig.proxy, key="n1")
        session = caller.session
        await session.run("1", read_statement("BEGIN"))
        assert (await session.run("2", read_statement("WRITE a 1"))).ok
        withdraw(rig)
        await asyncio.sleep(0.05)
        assert session.state is SessionState.FAILED
        reply = await session.run("3", read_statement("COMMIT"))
        assert reply.refusal is Refusal.ABORTED
        assert rig.group.leader.value("a") == ""

    run(main())


def test_a_statement_after_the_withdrawal_is_refused_and_the_session_ends():
    async def main():
        rig = await keyed_rig()
        caller, link = await connect(rig.proxy, key="n1")
        caller.on_statement("1", read_statement("READ a"))
        await asyncio.sleep(0.005)
        withdraw(rig)
        caller.on_statement("2", read_statement("READ a"))
        await asyncio.sleep(0.5)
        assert [reply.refusal for reply in link.replies] == [None, Refusal.UNKNOWN_KEY]
        assert link.closed_at is not None

    run(main())


def test_queued_statement_is_not_run_after_its_key_was_withdrawn():
    """Guards against a statement that runs seconds after its key was withdrawn.

    The key is withdrawn while the statement is queued, so it has to be checked again
    when the statement is sent.
    """

    async def main():
        rig = await keyed_rig()
        group = rig.proxy.groups["db"]
        for item in group.upstreams.values():
            item.admission.queue.running = item.admission.queue.limit
        caller = rig.caller(key="n1")
        waiting = asyncio.create_task(caller.send("READ a"))
        await asyncio.sleep(0.05)
        withdraw(rig)
        for item in group.upstreams.values():
            for _ in range(item.admission.queue.limit):
                item.admission.finished(None)
        reply = await waiting
        assert reply.refusal is Refusal.UNKNOWN_KEY
        assert rig.group.observer.ran == []

    run(main())


@pytest.mark.parametrize("text", ["READ a", "WRITE a 1"])
def test_owner_refuses_a_withdrawn_key_that_the_callers_daemon_still_accepts(text):
    """Guards against callers that keep access while the store refuses their daemon.

    The owners learn that a key was withdrawn, the caller's daemon does not; so owners
    have to check the key as well.
    """

    async def main():
        rig = await owners_rig()
        proxy = rig.others()[0]
        caller = rig.caller(proxy=proxy, key="n1")
        assert (await caller.send(text)).ok
        withdraw(rig, *rig.owners())
        ran = len(rig.group.observer.ran)
        assert (await caller.send(text)).refusal is Refusal.UNKNOWN_KEY
        assert len(rig.group.observer.ran) == ran
        assert caller.session.withdrawn

    run(main())


def test_owner_rolls_back_a_transaction_whose_key_was_withdrawn():
    async def main():
        rig = await owners_rig()
        caller = rig.caller(proxy=rig.others()[0], key="n1")
        await caller.send("BEGIN")
        assert (await caller.send("WRITE a 1")).ok
        withdraw(rig, *rig.owners())
        assert (await caller.send("COMMIT")).refusal is Refusal.ABORTED
        await asyncio.sleep(0.1)
        assert rig.group.leader.value("a") == ""

    run(main())


def test_owner_with_an_older_configuration_accepts_a_newer_credential():
    """Guards against random refusals of a key that was just added.

    The caller's daemon has the new configuration, the owner not yet; the owner must not
    decide by its older one.
    """

    async def main():
        rig = await owners_rig()
        proxy = rig.others()[0]
        added = {**KEYS, "east": ["e1"]}
        withdraw(rig, proxy, keys=added)
        caller = rig.caller(proxy=proxy, key="e1")
        assert (await caller.send("READ a")).ok
        assert rig.group.observer.ran[-1][1] == "east"

    run(main())


def test_restored_key_works_again():
    async def main():
        rig = await keyed_rig()
        withdraw(rig)
        assert rig.proxy.open_session("own", digest_of(b"n1")) is None
        withdraw(rig, version=3, keys=KEYS)
        assert (await rig.caller(key="n1").send("READ a")).ok

    run(main())


def test_key_moved_to_another_workspace_ends_the_sessions_of_the_old_one():
    async def main():
        rig = await keyed_rig()
        caller = rig.caller(key="n1")
        withdraw(rig, keys={"north": ["n2"], "south": ["s1", "n1"]})
        assert (await caller.send("READ a")).refusal is Refusal.UNKNOWN_KEY
        assert (await rig.caller(key="n1").send("READ a")).ok
        assert rig.group.observer.ran[-1][1] == "south"

    run(main())


def test_sessions_survive_a_configuration_that_keeps_their_key():
    async def main():
        rig = await keyed_rig()
        caller = rig.caller(key="n2")
        await caller.send("SET a 1")
        withdraw(rig)
        assert (await caller.send("READ a")).ok
        assert caller.session.values == {"a": "1"}

    run(main())


def test_workspace_reuses_its_connections():
    async def main():
        rig = await keyed_rig()
        dialer = rig.proxy.context.dialer.dialer
        caller = rig.caller("primary", key="n1")
        await caller.send("READ a")
        dials = dialer.dials
        for _ in range(5):
            assert (await caller.send("READ a")).ok
        assert dialer.dials == dials

    run(main())


def test_workspace_without_a_connection_displaces_an_idle_one():
    """Guards against workspaces without answers when they outnumber the connections.

    Each workspace calls once. At the connection limit all connections to the primary
    are idle and belong to other workspaces, so one of them has to be closed.
    """

    async def main():
        keys = {f"w{number}": [f"k{number}"] for number in range(30)}
        rig = Rig(keys=keys)
        await rig.settle()
        for number in range(30):
            caller = rig.caller("primary", key=f"k{number}")
            assert (await caller.send("READ a")).ok
        pool = rig.proxy.groups["db"].upstreams["u1"].pool
        assert pool.displaced
        assert pool.open_count <= pool.limit + 1

    run(main())
