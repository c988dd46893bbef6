"""Processor time of the whole path for each statement, against a bare handler.

Real processes on loopback: callers keep their connections, the entry is not the
home. Processor time is what the kernel counted for the daemons, so that a busy
machine does not show as a slow path.
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
TICK = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    """User and system time of a process so far, from the kernel's own count."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICK


def post_many(port, path, count, headers):
    """One caller with one connection."""
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


def load(port, path):
    """Several callers at once."""
    threads = [
        threading.Thread(target=post_many, args=(port, path, STATEMENTS // CALLERS, {}))
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def cost(processes, port, path):
    """Microseconds of processor time for each statement, by process."""
    load(port, path)
    before = [processor_seconds(item) for item in processes]
    load(port, path)
    after = [processor_seconds(item) for item in processes]
    return [
        (later - earlier) / STATEMENTS * 1e6
        for earlier, later in zip(before, after, strict=True)
    ]


def measure():
    """Yield the figures."""
    with Cluster() as cluster:
        bare = cluster.spawn("bare", [sys.executable, "-m", "bench.bare"]).wait_ready()
        (yardstick,) = cost([bare], int(bare.ready[0]), "/v1/grid/query")
        home = cluster.home()[0]
        entry = next(name for name in cluster.daemons if name != home)
        pair = [cluster.daemons[entry], cluster.daemons[home]]
        port = int(ports(cluster.daemons[entry])["callers"])
        at_entry, at_home = cost(pair, port, "/v1/grid/query")
        board = cluster.explain(home)["home"]
    yield Figure(name="path_bare_handler", value=yardstick, unit="microseconds")
    yield Figure(name="path_entry", value=at_entry, unit="microseconds")
    yield Figure(name="path_home", value=at_home, unit="microseconds")
    yield Figure(
        name="path_entry_and_home_against_bare",
        value=(at_entry + at_home) / yardstick,
        unit="ratio",
        bound=6.0,
    )
    yield Figure(
        name="path_reads_at_replicas",
        value=board["reads_replica"]
        / (board["reads_replica"] + board["reads_primary"]),
        unit="ratio",
        bound=0.95,
        lowest=True,
    )
