"""Metrics of load: each owner's queues, limits and connections, refusals by cause."""


class LoadMetrics:
    """Gauges of the load of one daemon; `gauge` makes one by name and description."""

    def __init__(self, *, gauge):
        self.load = gauge(
            "gypsum_load",
            "Each upstream as its owner sees it: statements, limits, expected wait.",
        )
        self.refusals = gauge(
            "gypsum_refusals_by_cause",
            "Statements refused to callers, and to other daemons as an owner.",
        )
        self.spread = gauge(
            "gypsum_spread",
            "Statements sent past their preferred owner, which had no room.",
        )
        # Series of the groups that were owned at some time.
        self.series = set()

    def collect(self, proxy):
        """Update the gauges from the proxy's state."""
        now = proxy.clock()
        found = {
            (group.name, item.id, what): value
            for group in proxy.groups.values()
            for item in group.upstreams.values()
            for what, value in load_of(group, item, now).items()
        }
        # A group that was given up would keep its last values.
        for group, upstream, what in self.series | found.keys():
            self.load.set(
                {"group": group, "upstream": upstream, "what": what},
                found.get((group, upstream, what), 0),
            )
        self.series |= found.keys()
        for (group, to, cause), count in proxy.request_log.refusals.items():
            self.refusals.set({"group": group, "to": to, "cause": cause}, count)
        for group, count in proxy.peers.spread.items():
            self.spread.set({"group": group}, count)


def load_of(group, item, now):
    """The load of one upstream as this daemon sees it, times in seconds."""
    queue, pool = item.admission.queue, item.pool
    wait = 0.0 if queue.has_room(now) else queue.expected_wait(None, now)
    return {
        "leads": int(item.id == group.watch.leader),
        "running": queue.running,
        "waiting": len(queue.waiting),
        "limit": queue.limit_at(now),
        "expected_wait": wait,
        "connections_open": pool.open_count,
        "connections_in_use": pool.in_use,
        "connections_limit": pool.limit,
        "connections_waited_for": len(pool.waiting),
    }
