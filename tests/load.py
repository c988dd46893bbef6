"""Writer threads that load a cluster and record the answers."""

import threading
import time
import urllib.error

INSERT = "INSERT INTO requests (applicant, status) VALUES (%s, 'filed')"
COUNT = "SELECT COUNT(*) FROM requests WHERE applicant = %s"
PAUSE = 0.01
RETRY_PAUSE = 0.1


class Writers:
    """Writes until stopped; `acked` and `refused` record the answers."""

    def __init__(self, cluster, *, count=3, skip=()):
        self.cluster = cluster
        self.skip = set(skip)
        self.acked = []
        self.refused = []
        self.unknown = []
        self.resets = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(number,)) for number in range(count)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)

    def run(self, number):
        """Write one name after another, through alternating daemons."""
        turn = number
        while not self.stopping.is_set():
            turn += 1
            self.write(f"w{number}-{turn}", turn)
            time.sleep(PAUSE)

    def write(self, name, turn):
        """Retry a write under one key until its outcome is known."""
        for attempt in range(100):
            names = [item for item in self.cluster.live_daemons() if self.usable(item)]
            daemon = names[(turn + attempt) % len(names)]
            try:
                answer = self.cluster.query(
                    daemon, "submit", INSERT, [name], Idempotency_Key=name
                )
            except (urllib.error.URLError, OSError) as exc:
                self.resets.append((daemon, str(exc)))
                time.sleep(RETRY_PAUSE)
                continue
            if answer.status == 200:
                self.acked.append((time.monotonic(), name, answer.body["served_by"]))
                return
            if answer.body["outcome"] == "not_run" and self.stopping.is_set():
                self.refused.append(name)
                return
            time.sleep(RETRY_PAUSE)
        self.unknown.append(name)

    def usable(self, daemon):
        """Return whether writes may be sent to a daemon."""
        return daemon not in self.skip

    def longest_gap(self, since):
        """Return the longest time in seconds without an acknowledged write."""
        times = [since, *(at for at, _, _ in self.acked if at > since)]
        return max(
            (later - earlier for earlier, later in zip(times, times[1:], strict=False)),
            default=float("inf"),
        )


def check_exactly_once(cluster, writers, daemon):
    """Check that acknowledged names exist exactly once and refused ones don't."""
    assert writers.acked
    assert not writers.unknown
    for expected, names in (
        (1, [name for _, name, _ in writers.acked]),
        (0, writers.refused),
    ):
        for name in names:
            answer = cluster.query(daemon, "review", COUNT, [name])
            assert answer.status == 200, answer.body
            assert answer.body["rows"] == [[expected]], name
