"""Which upstreams of a group get only single probing reads, by the results of reads.

Load pattern: an upstream that is several times slower than the others of its group, or
that fails or leaves unanswered part of its requests, while its health probe is good.
Every read sent there costs its caller a second attempt or its latency target, and the
others could have served it. An upstream without reads shows no recovery, so single
reads still go there.

Only upstreams of one group are compared. Work that is slow or fails everywhere is no
reason to leave one of them out.
"""

from gypsum_policy.latency import is_slower

# Weight of the newest result: two failures in a row are enough evidence.
RESULT_WEIGHT = 0.2
# An upstream with a greater share of failures is suspected. Below this a read is better
# off with it than with the queues of the others.
SUSPECT_SHARE = 0.25
# It is no longer suspected below this: six answers in a row.
RECOVERED_SHARE = 0.1
# The others have to fail this many times less, or the statements may be the cause.
FAILURE_FACTOR = 2.0
# Weight of the newest answer in the mean time: three are enough evidence.
LATENCY_WEIGHT = 0.3
# An upstream whose answers take this many times as long as another's is ranked behind
# it for most reads, so only probes show when it has recovered.
NEEDS_PROBES_FACTOR = 2.0
# Interval of probes in seconds. It doubles with each bad result; after a recovery, six
# good ones in a row take about a second.
PROBE_INTERVAL_MIN = 0.1
PROBE_INTERVAL_MAX = 0.8


class UpstreamResults:
    """Results of this daemon's reads at one upstream; times in seconds.

    `latency` is the mean time of answers, None before the first. `failure_share` is the
    recent share of attempts that failed or were not answered in time. `pending` holds
    the start of each attempt under way, `overdue` those that count as failed already.
    `best_latency` is the least of the others' mean times, None if unknown.
    """

    def __init__(self):
        self.latency = None
        self.failure_share = 0.0
        self.pending = {}
        self.overdue = set()
        self.suspected = False
        self.best_latency = None
        self.probe_interval = PROBE_INTERVAL_MIN
        self.probe_at = float("-inf")
        self.probes = 0

    def start(self, attempt, now):
        """Record that an attempt was sent."""
        self.pending[attempt] = now

    def finish(self, attempt, now, *, failed):
        """Record the result of an attempt; `failed` None says that it has none."""
        started = self.pending.pop(attempt, now)
        counted = attempt in self.overdue
        self.overdue.discard(attempt)
        if failed is None:
            return
        if not counted:
            self.count(failed)
        if not failed:
            self.record_latency(now - started)
        good = not failed and not self.is_slow(now - started)
        self.set_probe_interval(good, now)

    def count(self, failed):
        """Update the share of failures."""
        self.failure_share += RESULT_WEIGHT * (failed - self.failure_share)

    def set_probe_interval(self, good, now):
        """Set when the next probe is due, after a result."""
        if good:
            self.probe_interval = PROBE_INTERVAL_MIN
        else:
            self.probe_interval = min(2 * self.probe_interval, PROBE_INTERVAL_MAX)
        self.probe_at = now + self.probe_interval

    def is_slow(self, seconds):
        """Whether a time is much longer than what another upstream takes."""
        best = self.best_latency
        return best is not None and seconds > NEEDS_PROBES_FACTOR * best

    @property
    def needs_probes(self):
        """Whether it gets too few reads to show that it has recovered."""
        slow = self.latency is not None and self.is_slow(self.latency)
        return self.suspected or slow

    def record_latency(self, seconds):
        """Update the mean time of an answer."""
        if self.latency is None:
            self.latency = seconds
        self.latency += LATENCY_WEIGHT * (seconds - self.latency)

    def count_overdue(self, now, limit):
        """Count attempts without an answer after `limit` seconds as failed.

        By then their reads have been sent to another upstream too; their own end may be
        a second away.
        """
        for attempt, started in self.pending.items():
            if now - started >= limit and attempt not in self.overdue:
                self.overdue.add(attempt)
                self.count(True)

    def expected_latency(self, now):
        """Mean time of an answer; attempts under way count if they take longer.

        The second oldest is taken, since a single statement may itself be slow.
        """
        waiting = sorted(now - started for started in self.pending.values())
        under_way = waiting[-2] if len(waiting) > 1 else None
        if self.latency is None or under_way is None:
            return self.latency if under_way is None else under_way
        return max(self.latency, under_way)

    def judge(self, others, now):
        """Decide whether to suspect this upstream, compared with others of its group.

        `others` are the results of those that can serve the same reads.
        """
        known = [other.latency for other in others if other.latency is not None]
        self.best_latency = min(known, default=None)
        self.suspected = any(self.is_worse_than(other, now) for other in others)
        return self.suspected

    def is_worse_than(self, other, now):
        """Whether reads are better sent to another upstream."""
        limit = RECOVERED_SHARE if self.suspected else SUSPECT_SHARE
        failing = (
            self.failure_share > limit
            and self.failure_share > FAILURE_FACTOR * other.failure_share
        )
        own = self.expected_latency(now)
        slow = own is not None and is_slower(own, other.expected_latency(now))
        return failing or slow

    def probe_due(self, now):
        """Whether a read may try this upstream although others are better.

        One read at a time: none while another is under way.
        """
        return not self.pending and now >= self.probe_at

    def start_probe(self, now):
        """Record that a read tries this upstream."""
        self.probes += 1
        self.probe_at = now + self.probe_interval
