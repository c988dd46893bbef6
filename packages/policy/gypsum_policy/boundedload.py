"""Bounded load: work leaves its preferred owner only while that one has no room.

Load pattern: one workspace sends several times its usual. All of its work goes to one
owner, which queues it for its own share of connections, of which one workspace may hold
only a part, while other owners of the group have room. Without workspaces, the owners
of a busy failure domain queue while those of the others are idle.

Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018) gives
each key to the first server of the key's order whose load is below a bound: little work
moves, as few servers as needed share a key, and it returns by itself. There the bound
is a multiple of the mean load, which no daemon knows here. Here it is the longest wait
with which the statement still meets its latency target.
"""

from dataclasses import dataclass

from gypsum_policy.latency import DEFAULT_LATENCY

# A wait may turn out this many times as long as forecast: the times of the statements
# ahead vary by a factor of two.
FORECAST_MARGIN = 2.0


def longest_wait(*, now, target_time, deadline):
    """Longest expected wait, in seconds, of a statement at an owner that has room.

    A statement that can't meet its latency target any more is held to its deadline.
    """
    latest = target_time if now + DEFAULT_LATENCY < target_time else deadline
    return max(0.0, latest - now - DEFAULT_LATENCY) / FORECAST_MARGIN


@dataclass(slots=True, kw_only=True)
class ReportedWait:
    """An owner's wait for one kind of work: over at `over_at` if no more is sent.

    `sent` statements of this daemon have been added since the report, each of which
    adds `pace` seconds.
    """

    over_at: float
    pace: float
    sent: int = 0


class OwnerWaits:
    """The waits of one owner in one group, by kind of work, as the owner reports them.

    A reported wait runs out by itself: the queue of that moment has then been worked
    off. The next statement is sent to the owner and brings a new report. So nothing
    remains of an owner that is lost. Times in seconds on the caller's clock.
    """

    def __init__(self):
        self.reports = {}

    def record(self, kind, *, wait, pace, now):
        """Record what an answer reports: the wait, and the seconds per statement."""
        if not wait:
            self.reports.pop(kind, None)
            return
        self.reports[kind] = ReportedWait(over_at=now + wait, pace=pace)

    def record_sent(self, kind):
        """Record that this daemon sends the owner a statement."""
        report = self.reports.get(kind)
        if report is not None:
            report.sent += 1

    def expected(self, kind, now):
        """Expected wait in seconds; 0 if there is none or nothing is known."""
        report = self.reports.get(kind)
        if report is None:
            return 0.0
        wait = report.over_at + report.sent * report.pace - now
        if wait <= 0:
            del self.reports[kind]
        return max(0.0, wait)
