"""The job in one minute: writes, reads, a failed primary, a clean shutdown.

Exits 0 when every step holds, else 1 and says which did not.
"""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.cluster import Cluster  # noqa: E402

FAILOVER_LIMIT = 30.0
EXIT_LIMIT = 30.0
INSERT = "INSERT INTO requests (applicant, status) VALUES (%s, 'filed')"
COUNT = "SELECT COUNT(*) FROM requests WHERE applicant = %s"


class StepFailed(Exception):
    """A step of the demo did not hold."""


def expect(holds, text):
    """Say that a step holds, or stop."""
    if not holds:
        raise StepFailed(text)
    print(f"ok: {text}", flush=True)


def write_and_read(cluster):
    """A write through one daemon shows at once through another."""
    wrote = cluster.query("d0", "submit", INSERT, ["anna"], Idempotency_Key="anna-1")
    expect(wrote.status == 200, f"write through d0: {wrote.body['served_by']}")
    read = cluster.query("d1", "status", COUNT, ["anna"], Gypsum_Session=wrote.session)
    expect(read.body["rows"] == [[1]], "d1 shows the write to its session")
    roamed = cluster.query("d2", "status", COUNT, ["anna"])
    expect(roamed.body["rows"] == [[1]], "d2 shows it to a caller without a token")
    again = cluster.query("d2", "submit", INSERT, ["anna"], Idempotency_Key="anna-1")
    expect(again.body["replayed"], "the same key again is answered, not run")
    return wrote.session


def read_replica(cluster, session):
    """A read that accepts some age is served by a replica."""
    time.sleep(0.5)
    read = cluster.query("d2", "status", COUNT, ["anna"], Gypsum_Session=session)
    board = cluster.home()[1]
    served_by = read.body["served_by"]
    expect(
        read.body["rows"] == [[1]] and served_by != board["primary"],
        f"aged read from replica {served_by}, age {read.body['age_ms']:.0f} ms",
    )


def fail_primary(cluster):
    """Writes go on by themselves after the primary is killed."""
    primary = cluster.home()[1]["primary"]
    cluster.upstreams[primary].signal(signal.SIGKILL)
    killed = time.monotonic()
    answer = None
    number = 0
    while time.monotonic() - killed < FAILOVER_LIMIT:
        number += 1
        answer = cluster.query(
            "d1", "submit", INSERT, ["bela"], Idempotency_Key=f"bela-{number}"
        )
        if answer.status == 200:
            break
        time.sleep(0.02)
    gap = time.monotonic() - killed
    expect(
        answer.status == 200 and answer.body["served_by"] != primary,
        f"{primary} killed, {answer.body.get('served_by')} leads, "
        f"writes stood still for {gap:.2f} s",
    )
    read = cluster.query("d0", "review", COUNT, ["anna"])
    expect(read.body["rows"] == [[1]], "no acknowledged write is lost")


def shut_down(cluster):
    """Every daemon drains and exits by itself."""
    for daemon in cluster.daemons.values():
        daemon.signal(signal.SIGTERM)
    codes = [item.popen.wait(EXIT_LIMIT) for item in cluster.daemons.values()]
    expect(codes == [0, 0, 0], "all daemons drained and exited with 0")


def main():
    """Run all steps."""
    try:
        with Cluster(lag_ms=60) as cluster:
            print("ok: platform, three upstreams, three daemons, manifest in force")
            session = write_and_read(cluster)
            read_replica(cluster, session)
            fail_primary(cluster)
            shut_down(cluster)
    except (StepFailed, RuntimeError) as exc:
        print(f"failed: {exc}", flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
