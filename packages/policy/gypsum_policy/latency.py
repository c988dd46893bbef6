"""How long an owner's answers take, as a daemon that asks it sees it.

Load pattern: the machine of an owner turns slow, and it still answers. Near owners are
asked first, so the callers of a whole failure domain queue at it: where two of 24
owners' machines were six times slower, 1,755 of 1,972 refusals for the queue were
theirs, and their answers took 370 ms at the median, the others' 40 to 80.

Only owners of one group are compared: a slow upstream or a lost primary slows them all,
and then nobody gains by asking another.
"""

from itertools import islice

# Weight of the newest answer: three slow ones in a row say enough.
NEWEST_WEIGHT = 0.3
# What is not asked any more may have become fast again: it is forgotten after this,
# seconds, and tried by a few statements. Machines are slow for six seconds and more.
FORGET_AFTER = 8.0
# An answer of an owner that we know nothing of, seconds: the workloads' mean and a hop.
DEFAULT_LATENCY = 0.06
# An owner lags when its answers take this many times as long as another one's, and this
# much more, seconds: slow upstreams and long statements spread them by a factor of two.
SLOW_FACTOR = 3.0
SLOW_MARGIN = 0.1


class LatencyTracker:
    """One owner's answers in one group; times on the caller's clock, seconds."""

    def __init__(self):
        self.mean = None
        self.recorded_at = float("-inf")
        self.pending = {}

    def start_request(self, request_id, now):
        """A question is on its way."""
        self.pending[request_id] = now

    def finish_request(self, request_id):
        """It is not waited for any more."""
        self.pending.pop(request_id, None)

    def record(self, seconds, now):
        """An answer took so long, or would have."""
        if self.mean is None or now - self.recorded_at > FORGET_AFTER:
            self.mean = seconds
        else:
            self.mean += NEWEST_WEIGHT * (seconds - self.mean)
        self.recorded_at = now

    def estimate(self, now):
        """Seconds that an answer takes; None if nothing is known of late.

        The second oldest question that waits counts too: an owner that is slow by
        seconds tells of it with no answer, and a single question may be slow by itself.
        """
        known = self.mean if now - self.recorded_at <= FORGET_AFTER else None
        second = next(islice(self.pending.values(), 1, None), None)
        if second is None:
            return known
        return max(known or 0.0, now - second)


def is_slower(own, other):
    """Tell whether an owner is so slow that the next one should be asked first.

    Both are seconds that an answer takes, None where nothing is known.
    """
    own, other = (DEFAULT_LATENCY if each is None else each for each in (own, other))
    return own > SLOW_FACTOR * other + SLOW_MARGIN
