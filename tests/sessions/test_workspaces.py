"""Callers' keys: who is let in, in whose name statements run, when a key ends."""

import asyncio

import pytest

from gypsum_platform.codec import read_statement
from gypsum_sessions.callers.keys import digest_of
from gypsum_sessions.replies import Refusal, SessionState
from tests.sessions.connected import connect
from tests.sessions.owners import DAEMONS, MAX_CONNECTIONS
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

KEYS = {"north": ["n1", "n2"], "south": ["s1"]}
WITHOUT_N1 = {"north": ["n2"], "south": ["s1"]}


class Names:
    """Keeps in whose name each caller's statement ran."""

    def __init__(self):
        self.ran = []

    def statement_ran(self, conn, request):
        """An upstream ran a caller's statement."""
        self.ran.append((request, conn.workspace))

    def read_ran(self, member, request):
        """An upstream ran a read: that is in `ran` already."""


async def keyed_rig(**fleet):
    """Daemons whose callers show keys, and the names in which statements ran."""
    rig = Rig(keys=KEYS, **fleet)
    rig.group.watch = Names()
    await rig.settle()
    return rig


async def owners_rig():
    """The same with daemons that send statements to owners."""
    return await keyed_rig(daemons=DAEMONS, max_connections=MAX_CONNECTIONS)


def withdraw(rig, *proxies, version=2, keys=None):
    """Bring a configuration without a key into force at some daemons."""
    for proxy in proxies or rig.proxies:
        proxy.offer_catalog(rig.configured(version, keys or WITHOUT_N1), "test")


@pytest.mark.parametrize("key", ["", "N1", "n1 ", "north", "n", "x" * 100_000, "\xff"])
def test_who_shows_no_known_key_is_not_let_in(key):
    async def main():
        rig = await keyed_rig()
        assert rig.proxy.open_session("own", digest_of(key.encode())) is None

    run(main())


def test_the_refusal_ends_the_connection_and_says_why():
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
        assert rig.group.watch.ran[-1][1] == ""

    run(main())


def test_statements_run_in_the_name_of_their_callers_workspace():
    """Symptom: an upstream runs one workspace's statement in another one's name.

    Sequence: connections of two workspaces are idle, one calls. Cause: a connection
    was taken for its values, whoever it had been opened for.
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
                ran = {who for req, who in rig.group.watch.ran if req.startswith(own)}
                assert ran == {name}

    run(main())


def test_by_way_of_owners_they_do_so_too():
    async def main():
        rig = await owners_rig()
        for key, name in (("n1", "north"), ("s1", "south"), ("n2", "north")):
            caller = rig.caller(proxy=rig.others()[0], key=key)
            for text in ("READ a", "WRITE a 1", "BEGIN READ", "READ a", "COMMIT"):
                assert (await caller.send(text)).ok
            own = f"{caller.number}-"
            ran = {who for req, who in rig.group.watch.ran if req.startswith(own)}
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
    """Symptom: a caller whose key was withdrawn goes on writing for seconds.

    Sequence: it has a transaction open, its key is withdrawn, it pauses, then writes
    and commits. Cause: a key was looked at when the session opened, and never again.
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
        caller.statement("1", read_statement("READ a"))
        await asyncio.sleep(0.005)
        withdraw(rig)
        caller.statement("2", read_statement("READ a"))
        await asyncio.sleep(0.5)
        assert [reply.refusal for reply in link.replies] == [None, Refusal.UNKNOWN_KEY]
        assert link.closed_at is not None

    run(main())


def test_a_statement_that_waits_when_its_key_goes_is_not_run():
    """Symptom: an upstream runs a statement seconds after its key was withdrawn.

    Sequence: statements wait for their turns, the key goes meanwhile, their turns come.
    Cause: the key was looked at when the statement came, and not when it was sent.
    """

    async def main():
        rig = await keyed_rig()
        group = rig.proxy.groups["db"]
        for item in group.upstreams.values():
            item.turns.queue.running = item.turns.queue.limit
        caller = rig.caller(key="n1")
        waiting = asyncio.create_task(caller.send("READ a"))
        await asyncio.sleep(0.05)
        withdraw(rig)
        for item in group.upstreams.values():
            for _ in range(item.turns.queue.limit):
                item.turns.ended(None)
        reply = await waiting
        assert reply.refusal is Refusal.UNKNOWN_KEY
        assert rig.group.watch.ran == []

    run(main())


@pytest.mark.parametrize("text", ["READ a", "WRITE a 1"])
def test_an_owner_that_knows_of_the_withdrawal_refuses_for_a_daemon_that_does_not(text):
    """Symptom: callers go on for as long as the store turns their daemon away.

    Sequence: a key is withdrawn, the owners hear of it, the daemon that took the caller
    in does not. Cause: only that daemon judged.
    """

    async def main():
        rig = await owners_rig()
        proxy = rig.others()[0]
        caller = rig.caller(proxy=proxy, key="n1")
        assert (await caller.send(text)).ok
        withdraw(rig, *rig.owners())
        ran = len(rig.group.watch.ran)
        assert (await caller.send(text)).refusal is Refusal.UNKNOWN_KEY
        assert len(rig.group.watch.ran) == ran
        assert caller.session.withdrawn

    run(main())


def test_an_owner_rolls_back_a_transaction_whose_key_went():
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


def test_an_owner_that_is_behind_trusts_who_knows_a_newer_configuration():
    """Symptom: a caller whose key was just added is refused at random.

    Sequence: its daemon has the new configuration, the owner not yet. Cause: the owner
    judged by its own.
    """

    async def main():
        rig = await owners_rig()
        proxy = rig.others()[0]
        added = {**KEYS, "east": ["e1"]}
        withdraw(rig, proxy, keys=added)
        caller = rig.caller(proxy=proxy, key="e1")
        assert (await caller.send("READ a")).ok
        assert rig.group.watch.ran[-1][1] == "east"

    run(main())


def test_a_key_that_comes_back_works_again():
    async def main():
        rig = await keyed_rig()
        withdraw(rig)
        assert rig.proxy.open_session("own", digest_of(b"n1")) is None
        withdraw(rig, version=3, keys=KEYS)
        assert (await rig.caller(key="n1").send("READ a")).ok

    run(main())


def test_a_key_that_changes_hands_ends_the_sessions_of_its_old_workspace():
    async def main():
        rig = await keyed_rig()
        caller = rig.caller(key="n1")
        withdraw(rig, keys={"north": ["n2"], "south": ["s1", "n1"]})
        assert (await caller.send("READ a")).refusal is Refusal.UNKNOWN_KEY
        assert (await rig.caller(key="n1").send("READ a")).ok
        assert rig.group.watch.ran[-1][1] == "south"

    run(main())


def test_sessions_outlive_a_configuration_that_leaves_their_key():
    async def main():
        rig = await keyed_rig()
        caller = rig.caller(key="n2")
        await caller.send("SET a 1")
        withdraw(rig)
        assert (await caller.send("READ a")).ok
        assert caller.session.values == {"a": "1"}

    run(main())


def test_a_workspace_uses_its_connections_again():
    async def main():
        rig = await keyed_rig()
        dialer = rig.proxy.around.dialer.dialer
        caller = rig.caller("primary", key="n1")
        await caller.send("READ a")
        dials = dialer.dials
        for _ in range(5):
            assert (await caller.send("READ a")).ok
        assert dialer.dials == dials

    run(main())


def test_a_workspace_that_lacks_a_connection_displaces_an_idle_one():
    """Symptom: with more workspaces than connections the last ones get no answer.

    Sequence: each workspace calls once; connections to the primary are idle, all of
    others, and none may be opened beyond the limit. Cause: idle ones were kept.
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
        assert pool.opened <= pool.limit + 1

    run(main())
