"""The wait that an owner reports to the daemons that send it statements."""

from gypsum_policy.connections import may_hold
from gypsum_sessions.catalog import ReadRule

# Assumed wait for a connection, seconds, when transactions hold all of them: they keep
# them for several round trips to their callers.
TRANSACTIONS_WAIT = 0.25


def needs_leader(route, writes):
    """Return whether the leader has to run a statement or transaction of a route."""
    return writes or route.rule is ReadRule.PRIMARY


def report_wait(group, workspace, *, at_leader):
    """Expected wait for a workspace's work here, and the time that each statement adds.

    Both in seconds and 0 if a statement would start at once. Work that any upstream may
    run waits where the wait is shortest.
    """
    items = usable_upstreams(group, at_leader=at_leader)
    now = group.context.clock()
    waits = [expected_wait(item, workspace, now) for item in items]
    return min(waits, default=(0.0, 0.0))


def usable_upstreams(group, *, at_leader):
    """The upstreams that would be asked first."""
    if at_leader:
        leader = group.upstreams.get(group.watch.leader)
        return [leader] if leader is not None else []
    candidates = group.candidates()
    now, tuning = group.context.clock(), group.context.tuning
    good = [
        item
        for item in candidates
        if not (item.avoided or item.leaving)
        and not gets_few_reads(group.upstreams[item.id], now, tuning)
    ]
    return [group.upstreams[item.id] for item in good or candidates]


def gets_few_reads(item, now, tuning):
    """Return whether reads are withheld from an upstream: it lags or fails."""
    return item.results.suspected or item.behind_for(now, tuning) > 0


def expected_wait(item, workspace, now):
    """Wait and seconds per statement at one upstream: its queue, or connections."""
    return max(
        queue_wait(item.admission.queue, now),
        connection_wait(item.pool, workspace, item.mean_time),
    )


def queue_wait(queue, now):
    """Wait and seconds per statement until the last of the queue has started."""
    if queue.has_room(now):
        return 0.0, 0.0
    wait = queue.expected_wait(None, now)
    return wait, wait / (len(queue.waiting) + 1)


def connection_wait(pool, workspace, mean_time):
    """Wait and seconds per statement until a workspace gets a connection."""
    can_open = pool.has_capacity() and may_hold(
        pool.in_use_by_workspace, workspace=workspace, limit=pool.limit
    )
    if (can_open and not pool.waiting) or not pool.in_use:
        return 0.0, 0.0
    if not pool.may_free_soon():
        return TRANSACTIONS_WAIT, 0.0
    pace = mean_time / pool.in_use
    return (len(pool.waiting) + 1) * pace, pace
