"""Processor time per statement of the whole request path, against a bare handler.

Runs real processes on loopback. Callers keep their connections, and the entry daemon is
not the home. Processor time is taken from the kernel's accounting of the daemons, so
that load from other processes on the machine doesn't count.
"""

import http.client
import json
import os
import sys
import threading
from pathlib import Path

from bench.report import Figure
from tests.cluster import HOST, Cluster, ports

STATEMENTS = 1500
CALLERS = 4
SQL = "SELECT COUNT(*) FROM requests WHERE applicant = %s"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    """Return the user and system time of a process so far, from /proc."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def post_many(port, path, count, headers):
    """Send a caller's requests over one connection."""
    body = json.dumps(
        {"kind": "status", "member": "north", "sql": SQL, "params": ["x"]}
    )
    conn = http.client.HTTPConnection(HOST, port, timeout=60)
    for _ in range(count):
        conn.request("POST", path, body, headers)
        response = conn.getresponse()
        content = response.read()
        assert response.status == 200, content
        token = response.headers.get("Gypsum-Session")
        if token:
            headers = {"Gypsum-Session": token}
    conn.close()


def run_load(port, path):
    """Run STATEMENTS requests from concurrent callers."""
    threads = [
        threading.Thread(target=post_many, args=(port, path, STATEMENTS // CALLERS, {}))
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_cost(processes, port, path):
    """Return the microseconds of processor time per statement for each process.

    A first load, which is not measured, warms up the processes.
    """
    run_load(port, path)
    before = [processor_seconds(item) for item in processes]
    run_load(port, path)
    after = [processor_seconds(item) for item in processes]
    return [
        (later - earlier) / STATEMENTS * 1e6
        for earlier, later in zip(before, after, strict=True)
    ]


def measure():
    """Yield the figures."""
    with Cluster() as cluster:
        bare = cluster.spawn("bare", [sys.executable, "-m", "bench.bare"]).wait_ready()
        (baseline,) = measure_cost([bare], int(bare.ready[0]), "/v1/grid/query")
        home = cluster.home()[0]
        entry = next(name for name in cluster.daemons if name != home)
        processes = [cluster.daemons[entry], cluster.daemons[home]]
        port = int(ports(cluster.daemons[entry])["callers"])
        at_entry, at_home = measure_cost(processes, port, "/v1/grid/query")
        home_status = cluster.explain(home)["home"]
    yield Figure(name="path_bare_handler", value=baseline, unit="microseconds")
    yield Figure(name="path_entry", value=at_entry, unit="microseconds")
    yield Figure(name="path_home", value=at_home, unit="microseconds")
    yield Figure(
        name="path_entry_and_home_against_bare",
        value=(at_entry + at_home) / baseline,
        unit="ratio",
        bound=6.0,
    )
    yield Figure(
        name="path_reads_at_replicas",
        value=home_status["reads_replica"]
        / (home_status["reads_replica"] + home_status["reads_primary"]),
        unit="ratio",
        bound=0.95,
        lowest=True,
    )
