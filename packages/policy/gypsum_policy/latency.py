"""Latency of an owner's answers, as measured by a daemon that asks it.

Load pattern: an owner's machine becomes slow but still answers. Near owners are asked
first, so the callers of a whole failure domain queue there. With 2 of 24 owners on
machines that were six times slower, these two caused 1,755 of 1,972 refusals for queue
length, and their median answer took 370 ms against 40 to 80 ms elsewhere.

Only owners of the same group are compared: a slow upstream or a lost primary slows them
all, and then asking another one gains nothing.
"""

from itertools import islice

# Weight of the newest answer: three slow ones in a row are enough evidence.
NEWEST_WEIGHT = 0.3
# An owner that is not asked any more may have recovered: its latency is forgotten after
# this many seconds, and a few statements try it. Slow machines stay so for six seconds
# or more.
FORGET_AFTER = 8.0
# Assumed latency of an unknown owner in seconds: the mean of the workloads plus a hop.
DEFAULT_LATENCY = 0.06
# An owner is slower than another if its answers take this many times as long plus this
# many seconds: slow upstreams and long statements vary answers by a factor of two.
SLOW_FACTOR = 3.0
SLOW_MARGIN = 0.1


class LatencyTracker:
    """Latency of one owner in one group; times in seconds on the caller's clock."""

    def __init__(self):
        self.mean = None
        self.recorded_at = float("-inf")
        self.pending = {}

    def start_request(self, request_id, now):
        """Record that a request was sent."""
        self.pending[request_id] = now

    def finish_request(self, request_id):
        """Record that a request was answered or abandoned."""
        self.pending.pop(request_id, None)

    def record(self, seconds, now):
        """Add the time that an answer took, or would have taken, to the mean."""
        if self.mean is None or now - self.recorded_at > FORGET_AFTER:
            self.mean = seconds
        else:
            self.mean += NEWEST_WEIGHT * (seconds - self.mean)
        self.recorded_at = now

    def estimate(self, now):
        """Expected seconds until an answer; None if there is no recent measurement.

        The second oldest pending request counts too: an owner that is slow by seconds
        has sent no answer yet, while a single pending request may itself be slow.
        """
        known = self.mean if now - self.recorded_at <= FORGET_AFTER else None
        second = next(islice(self.pending.values(), 1, None), None)
        if second is None:
            return known
        return max(known or 0.0, now - second)


def is_slower(own, other):
    """Whether an owner is so slow that the other one should be asked first.

    Both arguments are latencies in seconds, None if unknown.
    """
    own, other = (DEFAULT_LATENCY if each is None else each for each in (own, other))
    return own > SLOW_FACTOR * other + SLOW_MARGIN
