"""Tests faults of processes: signals, silent sockets, lost responses, restarts."""

import signal
import time

import pytest

from tests.cluster import Cluster
from tests.load import COUNT, INSERT, Writers, check_exactly_once

MAX_GAP = 20.0
WORK_SECONDS = 1.0


@pytest.fixture
def cluster():
    """A separate cluster for each test."""
    with Cluster() as started:
        yield started


def primary_of(cluster):
    """Return the primary that the home knows."""
    return cluster.home()[1]["primary"]


def wait_for(condition, timeout=MAX_GAP):
    """Wait until a condition is met."""
    end = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.05)


def test_killed_primary_is_replaced_and_nothing_is_lost(cluster):
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        first = primary_of(cluster)
        killed = time.monotonic()
        cluster.upstreams[first].signal(signal.SIGKILL)
        wait_for(lambda: any(by != first for _, _, by in writers.acked))
        time.sleep(WORK_SECONDS)
    assert writers.longest_gap(killed) < MAX_GAP
    check_exactly_once(cluster, writers, "d0")


def test_frozen_primary_is_replaced_and_follows_when_it_resumes(cluster):
    """Guards against a frozen primary that still acts as primary when it resumes.

    It freezes, another upstream is promoted, and it resumes with its old connections.
    It must have been fenced, and must become a replica.
    """
    first = primary_of(cluster)
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        cluster.upstreams[first].signal(signal.SIGSTOP)
        wait_for(lambda: any(by != first for _, _, by in writers.acked))
        cluster.upstreams[first].signal(signal.SIGCONT)
        time.sleep(WORK_SECONDS)
    wait_for(lambda: follows_again(cluster, first))
    check_exactly_once(cluster, writers, "d1")


def follows_again(cluster, name):
    """Return whether an upstream is a replica in the current term."""
    _, board = cluster.home()
    item = next(item for item in board["upstreams"] if item["id"] == name)
    return item["promised"] == board["term"] and not item["primary"]


def test_short_freeze_causes_no_promotion(cluster):
    first = primary_of(cluster)
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        cluster.upstreams[first].signal(signal.SIGSTOP)
        time.sleep(0.15)
        cluster.upstreams[first].signal(signal.SIGCONT)
        time.sleep(2 * WORK_SECONDS)
    assert cluster.home()[1]["term"] == 1
    check_exactly_once(cluster, writers, "d2")


def test_silent_connections_cause_no_promotion(cluster):
    """Guards against a failover from a healthy primary.

    A middlebox drops the state of open connections: they stay open and silent, while
    new ones work. A silent connection doesn't mean that the primary is silent.
    """
    first = primary_of(cluster)
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        cluster.upstream_sql(first, "CALL test_mute()")
        muted = time.monotonic()
        wait_for(lambda: any(at > muted + 1.0 for at, _, _ in writers.acked))
    assert cluster.home()[1]["term"] == 1
    check_exactly_once(cluster, writers, "d0")


def test_write_with_a_lost_commit_response_runs_once(cluster):
    """Guards against a submission that is stored twice.

    The commit takes effect but its response is lost, and the proxy retries. The retry
    must look up the key in the ledger.
    """
    sql = INSERT + " /* lose */"
    answer = cluster.query("d0", "submit", sql, ["lost"], Idempotency_Key="lost")
    assert answer.status == 200, answer.body
    assert answer.body["replayed"]
    read = cluster.query("d1", "review", COUNT, ["lost"])
    assert read.body.get("rows") == [[1]], read.body


def test_killed_home_is_replaced(cluster):
    home = cluster.home()[0]
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        killed = time.monotonic()
        cluster.daemons[home].signal(signal.SIGKILL)
        wait_for(lambda: any(at > killed + WORK_SECONDS for at, _, _ in writers.acked))
    check_exactly_once(cluster, writers, cluster.live_daemons()[0])


def test_frozen_home_is_replaced_and_returns(cluster):
    home = cluster.home()[0]
    with Writers(cluster, skip=[home]) as writers:
        time.sleep(WORK_SECONDS)
        cluster.daemons[home].signal(signal.SIGSTOP)
        frozen = time.monotonic()
        wait_for(lambda: any(at > frozen + WORK_SECONDS for at, _, _ in writers.acked))
        cluster.daemons[home].signal(signal.SIGCONT)
        time.sleep(2 * WORK_SECONDS)
    check_exactly_once(cluster, writers, home)


def test_drain_cuts_off_no_request(cluster):
    """Guards against connection resets during a rolling restart.

    The home gets SIGTERM while requests run and wait. It must not close its sockets
    before the last response is written.
    """
    home = cluster.home()[0]
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        writers.skip.add(home)
        cluster.daemons[home].signal(signal.SIGTERM)
        assert cluster.daemons[home].popen.wait(MAX_GAP) == 0
        time.sleep(WORK_SECONDS)
    assert writers.resets == []
    check_exactly_once(cluster, writers, cluster.live_daemons()[0])


def test_draining_daemon_serves_until_the_balancer_has_noticed():
    """Guards against refused callers during a rolling restart of idle daemons.

    A daemon gets SIGTERM while no request is in flight. If it exited as soon as it was
    idle, the balancer's next health check would come too late.
    """
    with Cluster(tuning={"drain_notice": 6.0}) as cluster:
        daemon = cluster.daemons["d2"]
        daemon.signal(signal.SIGTERM)
        wait_for(lambda: cluster.health("d2").status == 503)
        time.sleep(WORK_SECONDS)
        wrote = cluster.query("d2", "submit", INSERT, ["late"], Idempotency_Key="l1")
        assert wrote.status == 200, wrote.body
        assert wrote.headers["Connection"] == "close"
        assert daemon.popen.wait(MAX_GAP) == 0


def begin(cluster, daemon):
    """Open a transaction."""
    body = {"kind": "plan", "member": "north"}
    return cluster.post(daemon, "transactions", body).body["transaction"]


def in_tx(cluster, daemon, tx, sql, params=()):
    """Run a statement in a transaction."""
    body = {"member": "north", "sql": sql, "params": list(params)}
    return cluster.post(daemon, f"transactions/{tx}/query", body)


def end_tx(cluster, daemon, tx, verb, **headers):
    """End a transaction."""
    return cluster.post(
        daemon, f"transactions/{tx}/{verb}", {"member": "north"}, **headers
    )


def test_transaction_is_reachable_through_any_daemon(cluster):
    tx = begin(cluster, "d0")
    assert in_tx(cluster, "d1", tx, INSERT, ["in-tx"]).status == 200
    seen = in_tx(cluster, "d2", tx, COUNT, ["in-tx"])
    assert seen.body["rows"] == [[1]]
    outside = cluster.query("d0", "review", COUNT, ["in-tx"])
    assert outside.body["rows"] == [[0]]
    done = end_tx(cluster, "d2", tx, "commit", Idempotency_Key="tx-1")
    assert done.status == 200, done.body
    again = end_tx(cluster, "d0", tx, "commit", Idempotency_Key="tx-1")
    assert again.status == 200, again.body
    after = cluster.query("d1", "status", COUNT, ["in-tx"])
    assert after.body["rows"] == [[1]]


def test_transaction_survives_a_change_of_home(cluster):
    """Guards against commits refused with "the snapshot is outdated" or "claim lost".

    A transaction opens at one home, another daemon becomes home and claims the group,
    and the transaction commits at the first. The commit must not fail because another
    daemon holds the claim.
    """
    home = cluster.home()[0]
    tx = begin(cluster, home)
    assert in_tx(cluster, home, tx, INSERT, ["moved"]).status == 200
    cluster.publish_instances(leaving=[home])
    wait_for(lambda: cluster.home()[0] != home)
    wrote = cluster.query(home, "submit", INSERT, ["other"], Idempotency_Key="o")
    assert wrote.status == 200, wrote.body
    done = end_tx(cluster, home, tx, "commit", Idempotency_Key="moved")
    assert done.status == 200, done.body
    read = cluster.query(home, "status", COUNT, ["moved"])
    assert read.body.get("rows") == [[1]], read.body


def test_rolled_back_transaction_leaves_nothing(cluster):
    tx = begin(cluster, "d1")
    in_tx(cluster, "d1", tx, INSERT, ["rolled"])
    assert end_tx(cluster, "d0", tx, "rollback").status == 200
    read = cluster.query("d1", "review", COUNT, ["rolled"])
    assert read.body["rows"] == [[0]]
    assert end_tx(cluster, "d0", tx, "rollback").status == 409


def test_transaction_of_another_member_is_not_found(cluster):
    tx = begin(cluster, "d0")
    body = {"member": "south", "sql": COUNT, "params": ["x"]}
    answer = cluster.post("d0", f"transactions/{tx}/query", body)
    assert answer.status == 409


def test_transaction_of_a_lost_caller_is_rolled_back():
    """Guards against locks and rows that a lost caller leaves behind permanently.

    A caller opens a transaction, writes, and sends nothing more. The daemon must end
    the transaction after the idle timeout.
    """
    with Cluster(tuning={"tx_idle": 0.5}) as cluster:
        tx = begin(cluster, "d0")
        in_tx(cluster, "d0", tx, INSERT, ["vanished"])
        owner = tx.partition(".")[0]
        wait_for(lambda: cluster.explain(owner)["home"]["transactions"] == 0)
        answer = in_tx(cluster, "d0", tx, COUNT, ["vanished"])
        assert answer.status == 409
        read = cluster.query("d0", "review", COUNT, ["vanished"])
        assert read.body["rows"] == [[0]]


def test_daemon_starts_while_the_platform_is_down(cluster):
    """Guards against a daemon that, restarted during an outage, serves nothing.

    Or it would serve an old manifest: the platform goes down and a new daemon starts
    with seeds only, so that it must get the manifests from other daemons.
    """
    cluster.set_faults(down=True)
    cluster.spawn_daemon(3).wait_ready()
    wait_for(lambda: cluster.query("d3", "status", COUNT, ["x"]).status == 200)
    wrote = cluster.query("d3", "submit", INSERT, ["outage"], Idempotency_Key="o1")
    assert wrote.status == 200, wrote.body


def test_failover_while_the_platform_is_down(cluster):
    cluster.set_faults(down=True)
    first = primary_of(cluster)
    with Writers(cluster) as writers:
        time.sleep(WORK_SECONDS)
        cluster.upstreams[first].signal(signal.SIGKILL)
        wait_for(lambda: any(by != first for _, _, by in writers.acked))
    check_exactly_once(cluster, writers, "d0")


def test_unreachable_group_is_reported_as_not_run(cluster):
    for process in cluster.upstreams.values():
        process.signal(signal.SIGKILL)
    wrote = cluster.query(
        "d0",
        "submit",
        INSERT,
        ["nowhere"],
        Idempotency_Key="n1",
        Gypsum_Deadline_Ms="1500",
    )
    assert wrote.status in (503, 504), wrote.body
    assert wrote.body["outcome"] == "not_run", wrote.body
    read = cluster.query("d1", "status", COUNT, ["x"], Gypsum_Deadline_Ms="1500")
    assert read.status in (503, 504), read.body
    asked = cluster.query("d2", "note", INSERT, ["nowhere"], Gypsum_Deadline_Ms="30000")
    assert asked.status == 503, asked.body
    assert int(asked.headers["Retry-After"]) >= 1
