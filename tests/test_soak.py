"""Tests of the soak's checks, and short runs that must have no findings."""

import asyncio
import time

import pytest

from gypsum_sessions.catalog import ReadRule
from soak.checker import DRAIN_TIMEOUT, FAULT_FREE_PERIOD, StatementChecker
from soak.configchanges import CHANGE_TIMEOUT, ConfigChanges
from soak.faults import FaultInjector
from soak.run import soak
from soak.schedule import (
    ABSENT_WEIGHTS,
    LEAVING_WEIGHTS,
    PLANNED_WEIGHTS,
    SLOW_WEIGHTS,
    STORE_RETURN_WEIGHTS,
    draw_schedule,
)
from soak.tcpproxy import TcpProxy
from soak.workspaces import WORKSPACES, workspace_of
from tests.guarantees import AckedWrite, SentRead
from tests.standins.platformworld import World

# Seeds of the CI runs; `make soak` draws random ones.
SEED = 1
RETURNS_SEED = 6
LEAVING_SEED = 1
SLOW_SEED = 20
ABSENT_SEED = 9101
SECONDS = 12.0
# Two upstreams that crash are down for seconds.
ABSENT_SECONDS = 24.0


def ran(request, **changes):
    """Return the stand-ins' event of a statement that ran."""
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


def make_checker(*requests):
    """Return a checker to which some statements are known as sent."""
    checker = StatementChecker()
    checker.sent.update(requests)
    return checker


def violations(checker):
    """Return the names of the findings."""
    return [text.split(" ")[0] for text in checker.broken]


def test_statements_that_run_as_sent_give_no_findings():
    checker = make_checker("a-1", "a-2")
    checker.record_set("a", "x", "1", sent_at=0.0)
    checker.handle_event(ran("a-1", values={"x": "1"}))
    checker.transactions["a-2"] = "a"
    checker.handle_event(ran("a-2", values={"x": "1"}, in_transaction=True))
    checker.check_answer("a-1", "READ item", [""], "COMPLETE", "u1:a-1")
    assert checker.broken == []


def test_statements_that_were_never_sent_are_noticed():
    checker = make_checker()
    checker.handle_event(ran("a-1"))
    assert violations(checker) == ["UNASKED"]


def test_values_of_another_time_are_noticed():
    checker = make_checker("a-1", "a-2")
    checker.record_set("a", "x", "1", sent_at=5.0)
    checker.session_values["a"][0] = checker.session_values["a"][0].__class__(
        sent_at=5.0, acked_at=6.0, values={"x": "1"}
    )
    checker.handle_event(ran("a-1", at=4.0))
    checker.handle_event(ran("a-1", at=5.5))
    assert checker.broken == []
    checker.handle_event(ran("a-2", at=7.0))
    assert violations(checker) == ["PINNED"]


def test_another_callers_transaction_is_noticed():
    checker = make_checker("a-1", "b-1")
    checker.transactions.update({"a-1": "a", "b-1": "b"})
    checker.handle_event(ran("a-1", in_transaction=True))
    checker.handle_event(ran("b-1", in_transaction=True))
    assert violations(checker) == ["PINNED"]


def test_stale_reads_are_noticed():
    checker = make_checker("a-2")
    checker.acked.append(AckedWrite(data=("a-1",), at=1.0, session="a"))
    checker.reads["a-2"] = SentRead(at=2.0, session="a", rule=ReadRule.READ_YOUR_WRITES)
    checker.handle_event({**ran("a-2"), "event": "read", "lacks": ["a-1"]})
    assert violations(checker) == ["STALE"]


@pytest.mark.parametrize(
    ("rows", "proof"), [([""], "u1:b-7"), ([], "u1:a-1"), (["x", "y"], "u1:a-1")]
)
def test_answers_to_others_are_noticed(rows, proof):
    checker = make_checker("a-1")
    checker.check_answer("a-1", "READ item", rows, "COMPLETE", proof)
    assert violations(checker) == ["MIXED"]


def test_work_at_an_upstream_that_leaves_is_noticed():
    checker = make_checker("a-1", "a-2")
    checker.leaving_since["u1"] = 10.0
    checker.handle_event(ran("a-1", at=10.0 + DRAIN_TIMEOUT - 0.1))
    assert checker.broken == []
    checker.handle_event(ran("a-2", at=10.0 + DRAIN_TIMEOUT + 0.1))
    assert violations(checker) == ["DRAIN"]


def test_late_work_at_an_upstream_that_leaves_is_noticed_after_a_fault():
    """Guards against a fault that gives a leaving upstream its whole time again."""
    checker = make_checker("a-1", "a-2")
    checker.leaving_since["u1"], checker.fault_free_since = 10.0, 16.0
    checker.handle_event(ran("a-1", at=16.0 + FAULT_FREE_PERIOD - 0.1))
    assert checker.broken == []
    checker.handle_event(ran("a-2", at=16.0 + FAULT_FREE_PERIOD + 0.1))
    assert violations(checker) == ["DRAIN"]


def test_a_cut_by_a_drain_is_noticed_without_other_faults():
    class Daemon:
        """A daemon that drains."""

        name = "d0"

    checker = make_checker("a-1", "a-2", "a-3")
    now = checker.draining_since["d0"] = checker.fault_free_since = time.monotonic()
    checker.check_disconnect(Daemon(), "a-1", now - 1.0)
    assert checker.broken == []
    checker.fault_free_since -= FAULT_FREE_PERIOD + 1.0
    checker.check_disconnect(Daemon(), "a-1", now - 1.0)
    assert violations(checker) == ["LOST"]
    checker.check_disconnect(Daemon(), "a-2", now)
    assert violations(checker) == ["LOST"]
    checker.handle_event(ran("a-2"))
    checker.handle_event(ran("a-3"))
    checker.check_disconnect(Daemon(), "a-3", now)
    assert violations(checker) == ["LOST", "LOST", "LOST"]


def test_a_transaction_that_fails_without_a_fault_is_noticed():
    checker = make_checker("a-1")
    checker.fault_free_since = time.monotonic()
    checker.check_transaction_end("a-1", "ABORTED")
    assert checker.broken == []
    checker.fault_free_since -= FAULT_FREE_PERIOD + 1.0
    checker.check_transaction_end("a-1", "COMPLETE")
    assert checker.broken == []
    checker.check_transaction_end("a-1", "ABORTED")
    assert violations(checker) == ["ENDED"]
    checker.check_transaction_end("a-1", "ABORTED", late=True)
    checker.leaving_since["u1"] = time.monotonic()
    checker.check_transaction_end("a-1", "ABORTED")
    assert violations(checker) == ["ENDED"]


def test_the_final_check_reports_wrong_logs_and_concurrent_promotions():
    checker = make_checker()
    checker.acked.append(AckedWrite(data=("a",), at=1.0, session="s"))
    checker.refused_writes.append("b")
    checker.finish(["b", "c", "c"], [(1, "d0"), (1, "d1")])
    assert violations(checker) == ["TWICE", "LOST", "REFUSED", "ONE:"]


def test_a_statement_in_another_workspaces_name_is_noticed():
    checker = make_checker("a-1")
    other = next(name for name in WORKSPACES if name != workspace_of("a"))
    checker.handle_event(ran("a-1", workspace=other))
    assert violations(checker) == ["UNASKED"]


def test_routes_that_are_not_in_force_are_noticed():
    """Guards against a daemon that refuses an old route or serves a removed one."""

    class Daemon:
        """A daemon that serves or refuses by the name of the route or key."""

        name = "d0"
        affected_until = 0.0
        stopped_by_soak = False

        def __init__(self, caller_port):
            self.caller_port = caller_port

    async def main():
        async def serve(reader, writer):
            text = await reader.readline()
            known = b"gone" in text
            writer.write(b"READY I -\r\n" if known else b"ERROR UNKNOWNDB x\r\n")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        daemon = Daemon(server.sockets[0].getsockname()[1])
        checker = make_checker()
        configs = ConfigChanges(fleet=None, standins=None, checker=checker, rng=None)
        long_ago = time.monotonic() - CHANGE_TIMEOUT - 1.0
        configs.added["new"] = configs.removed["gone"] = long_ago
        await configs.probe(daemon)
        assert violations(checker) == ["CONFIG", "CONFIG"]
        configs.added["new"] = configs.removed["gone"] = time.monotonic()
        await configs.probe(daemon)
        assert len(checker.broken) == 2
        configs.keys["fresh"] = configs.withdrawn["gone"] = long_ago
        await configs.probe(daemon)
        assert violations(checker) == ["CONFIG"] * 4
        server.close()

    asyncio.run(main())


def test_a_leaving_member_is_listed_as_leaving_until_its_end(tmp_path):
    """Guards against DRAIN findings caused by the stand-in itself.

    When the primary is leaving and another member is promoted, all entries are
    rewritten. If the leaving member were written as ready, reads would run at an
    upstream that has been leaving for 8 s.
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


def test_a_proxy_forwards_rewrites_silences_and_resets():
    async def main():
        async def serve(reader, writer):
            while data := await reader.readline():
                writer.write(b"10.0.0.1:1 " + data)
                await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        proxy = TcpProxy(
            target=f"127.0.0.1:{port}", rewrite={b"10.0.0.1:1": b"10.0.0.2:2"}
        )
        await proxy.open()
        host, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"hello\n")
        assert await reader.readline() == b"10.0.0.2:2 hello\n"
        proxy.silence()
        writer.write(b"again\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
        proxy.reset()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        proxy.close()
        server.close()

    asyncio.run(main())


def test_a_seed_draws_the_same_faults_and_each_exists():
    assert draw_schedule(7, 60.0) == draw_schedule(7, 60.0) != draw_schedule(8, 60.0)
    assert all(
        hasattr(FaultInjector, name)
        for name in {
            **STORE_RETURN_WEIGHTS,
            **PLANNED_WEIGHTS,
            **SLOW_WEIGHTS,
            **LEAVING_WEIGHTS,
            **ABSENT_WEIGHTS,
        }
    )
    assert {step.trouble for step in draw_schedule(7, 60.0, PLANNED_WEIGHTS)} <= set(
        PLANNED_WEIGHTS
    )


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_has_no_findings(tmp_path):
    outcome = asyncio.run(soak(seed=SEED, seconds=SECONDS, daemons=3, folder=tmp_path))
    assert outcome.broken == [] and outcome.exits == []
    assert outcome.statements > 0


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_with_restarted_owners_has_no_findings(tmp_path):
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
def test_a_short_run_with_slow_upstreams_has_no_findings(tmp_path):
    """Three of five daemons own the group; statements run on after their replies."""
    outcome = asyncio.run(
        soak(
            seed=SLOW_SEED,
            seconds=SECONDS,
            daemons=5,
            folder=tmp_path,
            connections=9,
            slow=True,
        )
    )
    assert outcome.broken == [] and outcome.exits == []
    assert any(step.trouble == "upstream_slow" for step in outcome.steps)


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_with_a_restored_store_has_no_findings(tmp_path):
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


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_with_leaving_upstreams_has_no_findings(tmp_path):
    """Upstreams leave while daemons restart, and learn of it late or by older lists."""
    outcome = asyncio.run(
        soak(
            seed=LEAVING_SEED,
            seconds=SECONDS,
            daemons=5,
            folder=tmp_path,
            leaving=True,
        )
    )
    assert outcome.broken == [] and outcome.exits == []
    assert any(step.trouble == "member_leaves" for step in outcome.steps)


@pytest.mark.xdist_group("platform processes")
def test_a_short_run_with_absent_members_has_no_findings(tmp_path):
    """Upstreams are down together while daemons restart, stand still or are cut off."""
    outcome = asyncio.run(
        soak(
            seed=ABSENT_SEED,
            seconds=ABSENT_SECONDS,
            daemons=4,
            folder=tmp_path,
            absent=True,
        )
    )
    assert outcome.broken == [] and outcome.exits == []
    assert any(step.trouble.startswith("two_crash") for step in outcome.steps)
