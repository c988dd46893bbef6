"""Demo in one minute: writes, reads, a killed primary, a clean shutdown.

Exits 0 if every step succeeds, else 1 with the step that failed.
"""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.cluster import Cluster  # noqa: E402

FAILOVER_TIMEOUT = 30.0
EXIT_TIMEOUT = 30.0
INSERT = "INSERT INTO requests (applicant, status) VALUES (%s, 'filed')"
COUNT = "SELECT COUNT(*) FROM requests WHERE applicant = %s"


class StepFailed(Exception):
    """A step of the demo failed."""


def expect(condition, text):
    """Print that a step succeeded, or raise StepFailed."""
    if not condition:
        raise StepFailed(text)
    print(f"ok: {text}", flush=True)


def write_and_read(cluster):
    """Check that a write through one daemon is visible through others immediately."""
    written = cluster.query("d0", "submit", INSERT, ["anna"], Idempotency_Key="anna-1")
    expect(written.status == 200, f"write through d0: {written.body['served_by']}")
    read = cluster.query(
        "d1", "status", COUNT, ["anna"], Gypsum_Session=written.session
    )
    expect(read.body["rows"] == [[1]], "d1 shows the write to its session")
    read_without_token = cluster.query("d2", "status", COUNT, ["anna"])
    expect(
        read_without_token.body["rows"] == [[1]],
        "d2 shows it to a caller without a token",
    )
    again = cluster.query("d2", "submit", INSERT, ["anna"], Idempotency_Key="anna-1")
    expect(again.body["replayed"], "the same key again is answered, not run")
    return written.session


def read_replica(cluster, session):
    """Check that a read that accepts stale data is served by a replica."""
    time.sleep(0.5)
    read = cluster.query("d2", "status", COUNT, ["anna"], Gypsum_Session=session)
    home_status = cluster.home()[1]
    served_by = read.body["served_by"]
    expect(
        read.body["rows"] == [[1]] and served_by != home_status["primary"],
        f"aged read from replica {served_by}, age {read.body['age_ms']:.0f} ms",
    )


def fail_primary(cluster):
    """Check that writes resume without intervention after the primary is killed."""
    primary = cluster.home()[1]["primary"]
    cluster.upstreams[primary].signal(signal.SIGKILL)
    killed_at = time.monotonic()
    answer = None
    attempt = 0
    while time.monotonic() - killed_at < FAILOVER_TIMEOUT:
        attempt += 1
        answer = cluster.query(
            "d1", "submit", INSERT, ["bela"], Idempotency_Key=f"bela-{attempt}"
        )
        if answer.status == 200:
            break
        time.sleep(0.02)
    gap = time.monotonic() - killed_at
    expect(
        answer.status == 200 and answer.body["served_by"] != primary,
        f"{primary} killed, {answer.body.get('served_by')} leads, "
        f"writes stood still for {gap:.2f} s",
    )
    read = cluster.query("d0", "review", COUNT, ["anna"])
    expect(read.body["rows"] == [[1]], "no acknowledged write is lost")


def shut_down(cluster):
    """Check that every daemon drains and exits with 0 after SIGTERM."""
    for daemon in cluster.daemons.values():
        daemon.signal(signal.SIGTERM)
    codes = [item.popen.wait(EXIT_TIMEOUT) for item in cluster.daemons.values()]
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
