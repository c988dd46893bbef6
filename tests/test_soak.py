"""The soak's own checks: each notices a break, and a short run finds none."""

import asyncio
import time

import pytest

from gypsum_sessions.catalog import ReadRule
from soak.book import CALM_FOR, DRAIN_LIMIT, Book
from soak.configs import IN_FORCE, Configs
from soak.plan import PLANNED, RETURNS, draw
from soak.run import soak
from soak.troubles import Troubles
from soak.wire import Wire
from soak.workspaces import NAMES, workspace_of
from tests.guarantees import AckedWrite, SentRead
from tests.standins.platformworld import World

# CI plays these; `make soak` draws others.
SEED = 1
RETURNS_SEED = 6
SECONDS = 12.0


def ran(request, **changes):
    """What the stand-ins tell of a statement."""
    line = {
        "event": "ran",
        "at": time.monotonic(),
        "request": request,
        "member": "u1",
        "conn": 1,
        "values": {},
        "in_transaction": False,
        "workspace": workspace_of(request.rpartition("-")[0]),
    }
    return {**line, **changes}


def book(*requests):
    """A book in which some statements were sent."""
    made = Book()
    made.sent.update(requests)
    return made


def words(made):
    """The promises that were found broken."""
    return [text.split(" ")[0] for text in made.broken]


def test_what_runs_as_it_was_sent_breaks_nothing():
    made = book("a-1", "a-2")
    made.set("a", "x", "1", sent_at=0.0)
    made.heard(ran("a-1", values={"x": "1"}))
    made.transactions["a-2"] = "a"
    made.heard(ran("a-2", values={"x": "1"}, in_transaction=True))
    made.answered("a-1", "READ item", [""], "COMPLETE", "u1:a-1")
    assert made.broken == []


def test_statements_that_nobody_sent_are_noticed():
    made = book()
    made.heard(ran("a-1"))
    assert words(made) == ["UNASKED"]


def test_values_of_another_time_are_noticed():
    made = book("a-1", "a-2")
    made.set("a", "x", "1", sent_at=5.0)
    made.settings["a"][0] = made.settings["a"][0].__class__(
        sent_at=5.0, acked_at=6.0, values={"x": "1"}
    )
    made.heard(ran("a-1", at=4.0))
    made.heard(ran("a-1", at=5.5))
    assert made.broken == []
    made.heard(ran("a-2", at=7.0))
    assert words(made) == ["PINNED"]


def test_another_callers_transaction_is_noticed():
    made = book("a-1", "b-1")
    made.transactions.update({"a-1": "a", "b-1": "b"})
    made.heard(ran("a-1", in_transaction=True))
    made.heard(ran("b-1", in_transaction=True))
    assert words(made) == ["PINNED"]


def test_stale_reads_are_noticed():
    made = book("a-2")
    made.acked.append(AckedWrite(data=("a-1",), at=1.0, session="a"))
    made.reads["a-2"] = SentRead(at=2.0, session="a", rule=ReadRule.READ_YOUR_WRITES)
    made.heard({**ran("a-2"), "event": "read", "lacks": ["a-1"]})
    assert words(made) == ["STALE"]


@pytest.mark.parametrize(
    ("rows", "proof"), [([""], "u1:b-7"), ([], "u1:a-1"), (["x", "y"], "u1:a-1")]
)
def test_answers_to_others_are_noticed(rows, proof):
    made = book("a-1")
    made.answered("a-1", "READ item", rows, "COMPLETE", proof)
    assert words(made) == ["MIXED"]


def test_work_at_an_upstream_that_leaves_is_noticed():
    made = book("a-1", "a-2")
    made.leaving["u1"] = 10.0
    made.heard(ran("a-1", at=10.0 + DRAIN_LIMIT - 0.1))
    assert made.broken == []
    made.heard(ran("a-2", at=10.0 + DRAIN_LIMIT + 0.1))
    assert words(made) == ["DRAIN"]


def test_a_cut_by_a_drain_is_noticed_when_all_else_is_calm():
    class Daemon:
        """One that drains."""

        name = "d0"

    made = book("a-1", "a-2", "a-3")
    now = made.draining["d0"] = made.calm_since = time.monotonic()
    made.cut(Daemon(), "a-1", now - 1.0)
    assert made.broken == []
    made.calm_since -= CALM_FOR + 1.0
    made.cut(Daemon(), "a-1", now - 1.0)
    assert words(made) == ["LOST"]
    made.cut(Daemon(), "a-2", now)
    assert words(made) == ["LOST"]
    made.heard(ran("a-2"))
    made.heard(ran("a-3"))
    made.cut(Daemon(), "a-3", now)
    assert words(made) == ["LOST", "LOST", "LOST"]


def test_a_transaction_that_fails_while_all_is_calm_is_noticed():
    made = book("a-1")
    made.calm_since = time.monotonic()
    made.ended("a-1", "ABORTED")
    assert made.broken == []
    made.calm_since -= CALM_FOR + 1.0
    made.ended("a-1", "COMPLETE")
    assert made.broken == []
    made.ended("a-1", "ABORTED")
    assert words(made) == ["ENDED"]
    made.ended("a-1", "ABORTED", late=True)
    made.leaving["u1"] = time.monotonic()
    made.ended("a-1", "ABORTED")
    assert words(made) == ["ENDED"]


def test_the_end_shows_what_was_lost_doubled_kept_or_promoted_twice():
    made = book()
    made.acked.append(AckedWrite(data=("a",), at=1.0, session="s"))
    made.refused_writes.append("b")
    made.finish(["b", "c", "c"], [(1, "d0"), (1, "d1")])
    assert words(made) == ["TWICE", "LOST", "REFUSED", "ONE:"]


def test_a_statement_in_another_workspaces_name_is_noticed():
    made = book("a-1")
    other = next(name for name in NAMES if name != workspace_of("a"))
    made.heard(ran("a-1", workspace=other))
    assert words(made) == ["UNASKED"]


def test_routes_that_are_not_in_force_are_noticed():
    """A daemon in touch that refuses a route of long ago, or serves a dropped one."""

    class Daemon:
        """One that serves or refuses every name."""

        name = "d0"
        troubled_until = 0.0
        ended_by_us = False

        def __init__(self, callers):
            self.callers = callers

    async def main():
        async def serve(reader, writer):
            text = await reader.readline()
            known = b"gone" in text
            writer.write(b"READY I -\r\n" if known else b"ERROR UNKNOWNDB x\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        daemon = Daemon(server.sockets[0].getsockname()[1])
        made = book()
        configs = Configs(fleet=None, standins=None, book=made, rng=None)
        long_ago = time.monotonic() - IN_FORCE - 1.0
        configs.added["new"] = configs.dropped["gone"] = long_ago
        await configs.probe(daemon)
        assert words(made) == ["CONFIG", "CONFIG"]
        configs.added["new"] = configs.dropped["gone"] = time.monotonic()
        await configs.probe(daemon)
        assert len(made.broken) == 2
        configs.keys["fresh"] = configs.withdrawn["gone"] = long_ago
        await configs.probe(daemon)
        assert words(made) == ["CONFIG"] * 4
        server.close()

    asyncio.run(main())


def test_a_member_that_leaves_says_so_until_it_is_gone(tmp_path):
    """Symptom: DRAIN, reads at an upstream that has been leaving for 8 s.

    Sequence: the primary says that it leaves, another one is promoted, all entries are
    written anew. Cause: the stand-in wrote it as ready.
    """

    async def main():
        world = World(folder=tmp_path)
        world.addresses = {item.id: "10.0.0.1:1" for item in world.group.members}
        world.group["u1"].leaving = True
        world.promoted("u2")
        entries = world.store.kinds["servers"]
        states = {name: entry["spec"]["state"] for name, entry in entries.items()}
        assert states == {"u1": "draining", "u2": "ready", "u3": "ready"}

    asyncio.run(main())


def test_a_wire_carries_rewrites_silences_and_resets():
    async def main():
        async def serve(reader, writer):
            while data := await reader.readline():
                writer.write(b"10.0.0.1:1 " + data)
                await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        wire = Wire(target=f"127.0.0.1:{port}", rewrite={b"10.0.0.1:1": b"10.0.0.2:2"})
        await wire.open()
        host, _, port = wire.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"hello\n")
        assert await reader.readline() == b"10.0.0.2:2 hello\n"
        wire.silence()
        writer.write(b"again\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
        wire.reset()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        wire.close()
        server.close()

    asyncio.run(main())


def test_a_seed_draws_the_same_troubles_and_each_exists():
    assert draw(7, 60.0) == draw(7, 60.0) != draw(8, 60.0)
    assert all(hasattr(Troubles, name) for name in {**RETURNS, **PLANNED})
    assert {step.trouble for step in draw(7, 60.0, PLANNED)} <= set(PLANNED)


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_breaks_nothing(tmp_path):
    outcome = asyncio.run(soak(seed=SEED, seconds=SECONDS, daemons=3, folder=tmp_path))
    assert outcome.broken == [] and outcome.exits == []
    assert outcome.statements > 0


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_of_owners_that_are_restarted_breaks_nothing(tmp_path):
    """Three of five daemons own the group; restarts alone end no transaction."""
    outcome = asyncio.run(
        soak(
            seed=SEED,
            seconds=SECONDS,
            daemons=5,
            folder=tmp_path,
            connections=9,
            planned=True,
        )
    )
    assert outcome.broken == [] and outcome.exits == []
    assert outcome.statements > 0


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_with_a_store_that_returns_from_copies_breaks_nothing(tmp_path):
    outcome = asyncio.run(
        soak(
            seed=RETURNS_SEED,
            seconds=SECONDS,
            daemons=5,
            folder=tmp_path,
            returns=True,
        )
    )
    assert outcome.broken == [] and outcome.exits == []
    assert any(step.trouble == "store_return" for step in outcome.steps)
