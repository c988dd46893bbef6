"""Session metrics: reads, store calls, drained transactions and workspaces."""

import asyncio

from gypsum_policy.admission import RefusalCause
from gypsum_policy.ratelimit import Cap
from gypsum_sessions.metrics import (
    MAX_NAMED_WORKSPACES,
    MAX_PENDING,
    OTHER_WORKSPACES,
    DeferredMetrics,
    SessionMetrics,
)
from gypsum_sessions.replies import Refusal, Reply
from gypsum_sessions.statements import Statement, StatementKind
from tests.sessions.rig import Rig, catalog
from tests.sessions.vclock import run

READS = "gypsum_reads_total"


def test_the_queue_before_an_upstream_is_shown():
    async def main():
        rig = Rig()
        await rig.settle()
        queue = rig.proxy.groups["db"].upstreams["u1"].admission.queue
        queue.start_unqueued()
        queue.refusals[RefusalCause.QUEUE_TOO_LONG] = 3
        metrics = SessionMetrics()
        metrics.collect(rig.proxy, dropped_lines=0)
        return metrics, queue.limit

    metrics, limit = run(main())
    labels = {"group": "db", "upstream": "u1"}
    shown = {
        what: metrics.admission.get({**labels, "what": what})
        for what in ("limit", "outstanding", "waiting")
    }
    assert shown == {"limit": limit, "outstanding": 1, "waiting": 0}
    cause = {**labels, "cause": "queue_too_long"}
    assert metrics.not_admitted.get(cause) == 3


def counted(metrics, rule, by):
    """Return the reads counted for a rule and a role."""
    labels = {"database": rule, "rule": rule, "by": by}
    return metrics.reads.get(labels) if labels in all_labels(metrics) else 0


def all_labels(metrics):
    """Return all label sets of the counter of reads."""
    return [labels for labels, _ in metrics.reads.get_all()]


def test_bounded_reads_are_counted_at_replicas():
    async def main():
        rig = Rig()
        metrics = SessionMetrics()
        rig.proxy.observe = metrics.observe
        await rig.settle()
        caller = rig.caller("bounded")
        for _ in range(20):
            assert (await caller.send("READ a")).ok
            await asyncio.sleep(0.05)
        return metrics

    metrics = run(main())
    assert counted(metrics, "bounded", "replica") == 20
    assert counted(metrics, "bounded", "leader") == 0


def test_writes_and_refused_reads_are_not_counted_as_reads():
    async def main():
        rig = Rig()
        metrics = SessionMetrics()
        rig.proxy.observe = metrics.observe
        await rig.settle()
        caller = rig.caller("primary")
        await caller.send("WRITE a 1")
        await caller.send("PREPARE w WRITE q")
        await caller.send("EXECUTE w a 2")
        await caller.send("EXECUTE unknown a")
        await caller.send("READ a")
        return metrics

    metrics = run(main())
    assert counted(metrics, "primary", "leader") == 1
    assert len(all_labels(metrics)) == 1


def test_calls_to_the_store_are_counted_by_step_and_kind():
    metrics = SessionMetrics()
    metrics.set_store_calls({("watch", "servers"): 3, ("list", "config"): 1})
    metrics.set_store_calls({("watch", "servers"): 5})
    body, _ = metrics.render([])
    text = body.decode()
    assert 'gypsum_store_calls_total{kind="servers",step="watch"} 5' in text
    assert 'gypsum_store_calls_total{kind="config",step="list"} 1' in text


def test_transactions_that_a_drain_ended_are_counted():
    async def main():
        rig = Rig()
        rig.proxy.drain_rollbacks = 2
        metrics = SessionMetrics()
        metrics.collect(rig.proxy, 0)
        return metrics

    body, _ = run(main()).render([])
    assert "gypsum_drain_ended_transactions_total 2" in body.decode()


def test_operations_of_workspaces_are_counted_without_their_keys():
    async def main():
        cap = Cap(rate=1.0, burst=1.0, version=1)
        rig = Rig(keys={"north": ["n1key"]}, caps={"north": cap})
        metrics = SessionMetrics()
        rig.proxy.observe = metrics.observe
        await rig.settle()
        caller = rig.caller("bounded", key="n1key")
        replies = [await caller.send("READ a") for _ in range(5)]
        metrics.collect(rig.proxy, 0)
        return metrics, rig, sum(reply.ok for reply in replies)

    metrics, rig, ran = run(main())
    text = metrics.render([])[0].decode()
    assert f'gypsum_usage{{what="granted",workspace="north"}} {ran}' in text
    assert f'gypsum_usage{{what="refused",workspace="north"}} {5 - ran}' in text
    assert 'outcome="busy"' in text
    assert "n1key" not in text + repr(rig.lines)


def test_workspaces_beyond_the_limit_share_one_series():
    metrics = SessionMetrics()
    route = catalog().routes["own"]
    for number in range(MAX_NAMED_WORKSPACES + 50):
        metrics.observe_workspace(route, Reply(), 0.01, f"w{number}")
    names = {labels["workspace"] for labels, _ in metrics.by_workspace.get_all()}
    assert len(names) == MAX_NAMED_WORKSPACES + 1
    assert OTHER_WORKSPACES in names


def test_statements_before_the_library_is_loaded_are_counted():
    """Guards against metrics that lack the first seconds of a daemon."""
    metrics, route = DeferredMetrics(), catalog().routes["bounded"]
    read = Statement(kind=StatementKind.READ, text="READ a")
    metrics.observe(route, read, Reply(rows=("x" * 1000,)), 0.01, "replica", "w")
    metrics.observe(route, read, Reply(refusal=Refusal.BUSY), 0.01, "")
    assert "x" * 1000 not in repr(metrics.pending)
    loaded = metrics.load()
    metrics.observe(route, read, Reply(), 0.01, "replica")
    assert counted(loaded, "bounded", "replica") == 2
    assert metrics.load() is loaded
    assert "gypsum_refusals_total" in loaded.render([])[0].decode()


def test_the_metrics_are_loaded_once_many_statements_wait_for_them():
    """Guards against memory that grows with the load of a starting daemon."""
    metrics, route = DeferredMetrics(), catalog().routes["bounded"]
    read = Statement(kind=StatementKind.READ, text="READ a")
    for _ in range(MAX_PENDING + 10):
        metrics.observe(route, read, Reply(), 0.01, "replica")
    assert not metrics.pending
    assert counted(metrics.loaded, "bounded", "replica") == MAX_PENDING + 10


def test_an_operator_sees_which_reads_a_lagging_replica_did_not_get():
    async def main():
        rig = Rig()
        for member in rig.group.replicas():
            member.lag = 1.0
        await rig.settle()
        metrics, caller = SessionMetrics(), rig.caller("own")
        for number in range(3):
            await caller.send(f"WRITE a {number}")
            assert (await caller.send("READ a")).rows == (str(number),)
        metrics.collect(rig.proxy, 0)
        return metrics.render([])[0].decode(), rig.lines

    text, lines = run(main())
    withheld = 'gypsum_upstream{group="db",upstream="u2",what="reads_withheld"}'
    assert f"{withheld} 0" not in text
    assert withheld in text
    assert 'what="lag_seconds"' in text
    assert any(fields.get("left_out") for *_, fields in lines)
