"""Until when a leaving upstream is sent new work.

Load pattern: upstreams are replaced while daemons restart, are frozen or are cut off
from the store. Such a daemon learns seconds late that an upstream leaves. If it counted
from then on, it would send work to the upstream long after the others have stopped, and
the upstream may exit with that work.

The upstream's time counts from the store's acknowledgement of its report, which no
daemon sees. What a daemon knows is the last time at which the store did not have the
report yet.
"""

# A daemon that has just started knows no such time. It sends work for this many seconds
# after its start: a primary that leaves is replaced within them, and until then no
# other upstream can run writes.
UNKNOWN_REPORT_TIME = 3.0


def work_ends_at(*, not_reported_at, started_at, drain_seconds, margin):
    """When a leaving upstream is no longer sent new work, on the daemon's clock.

    `not_reported_at` is the last time at which the store is known not to have had its
    report, None if there is none; `started_at` is when this daemon started. The work
    ends `margin` seconds before the upstream has left for `drain_seconds`.
    """
    if not_reported_at is None:
        return started_at + UNKNOWN_REPORT_TIME
    return not_reported_at + drain_seconds - margin
