"""Prometheus metrics of statement sessions.

The library is imported with the first `SessionMetrics`: a starting daemon first serves
the callers that wait for it.
"""

from functools import partial

from gypsum_policy.revisions import era_of, number_of
from gypsum_sessions.daemons.usagewaiters import OutcomeCounts
from gypsum_sessions.loadmetrics import LoadMetrics
from gypsum_sessions.replies import Reply
from gypsum_sessions.statements import Statement

# Number of workspaces with series of their own; all others share one. A scrape of
# thousands of histograms would delay the statements.
MAX_NAMED_WORKSPACES = 100
OTHER_WORKSPACES = "others"
# Observations that are kept until the library is loaded, a few hundred bytes each.
MAX_PENDING = 4000
LATENCY_BUCKETS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0]


class SessionMetrics:
    """Metrics of one daemon's sessions, in a registry of its own.

    Labels come from the configuration, which limits their number.
    """

    def __init__(self):
        from aioprometheus import Counter, Gauge, Histogram, Registry

        self.registry = Registry()
        self.seconds = Histogram(
            "gypsum_statement_seconds",
            "Time to answer a statement, by database, read rule and statement.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.refusals = Counter(
            "gypsum_refusals_total",
            "Statements without a result, by database, read rule and refusal.",
            registry=self.registry,
        )
        self.reads = Counter(
            "gypsum_reads_total",
            "Reads that were answered, by database, read rule and who ran them.",
            registry=self.registry,
        )
        # Workspaces with series of their own.
        self.named_workspaces = set()
        self.by_workspace = Histogram(
            "gypsum_workspace_seconds",
            "Time to answer a statement, by workspace, read rule and outcome.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.usage = Gauge(
            "gypsum_usage",
            "Operations begun, booked ahead and refused beyond the cap, by workspace.",
            registry=self.registry,
        )
        self.usage_by_priority = Gauge(
            "gypsum_usage_by_priority",
            "The same operations of all workspaces, by priority of the route.",
            registry=self.registry,
        )
        self.state = Gauge(
            "gypsum_sessions",
            "Open sessions, configuration version, dropped log lines.",
            registry=self.registry,
        )
        self.upstreams = Gauge(
            "gypsum_upstream",
            "Each upstream's connections, mean seconds, lag, reads not sent there.",
            registry=self.registry,
        )
        self.admission = Gauge(
            "gypsum_admission",
            "Each upstream's queue here: limit, outstanding, waiting, forecast error.",
            registry=self.registry,
        )
        self.not_admitted = Gauge(
            "gypsum_admission_refusals",
            "Statements that were not sent to an upstream, by cause.",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "gypsum_store_calls_total",
            "Calls to the store, by step and kind of object.",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "gypsum_store_era",
            "Era of the store's history; it rises when the store returns from a copy.",
            registry=self.registry,
        )
        self.drain_rollbacks = Counter(
            "gypsum_drain_ended_transactions_total",
            "Transactions that were rolled back because this daemon was told to stop.",
            registry=self.registry,
        )
        self.load = LoadMetrics(gauge=partial(Gauge, registry=self.registry))
        self.takeover = Gauge(
            "gypsum_takeover",
            "Each group's promotions by this daemon, and absent members waited for.",
            registry=self.registry,
        )
        self.feeds = Gauge(
            "gypsum_feed",
            "Each feed: revision known here and at the watcher, behind it, store lost.",
            registry=self.registry,
        )

    def observe(self, route, statement, reply, seconds, served_by, workspace=""):
        """Record one statement; `served_by` is empty if the proxy answered itself."""
        self.observe_workspace(route, reply, seconds, workspace)
        labels = {"database": route.database, "rule": str(route.rule)}
        if not reply.ok:
            self.refusals.inc({**labels, "refusal": str(reply.refusal)})
            return
        self.seconds.observe({**labels, "statement": str(statement.kind)}, seconds)
        if served_by and statement.reads:
            self.reads.inc({**labels, "by": str(served_by)})

    def observe_workspace(self, route, reply, seconds, workspace):
        """Record one statement of a workspace; a caller without a key has none."""
        if not workspace:
            return
        if len(self.named_workspaces) < MAX_NAMED_WORKSPACES:
            self.named_workspaces.add(workspace)
        name = workspace if workspace in self.named_workspaces else OTHER_WORKSPACES
        outcome = str(reply.refusal or "ok")
        labels = {"workspace": name, "rule": str(route.rule), "outcome": outcome}
        self.by_workspace.observe(labels, seconds)

    def collect(self, proxy, dropped_lines):
        """Update the gauges from the proxy's state."""
        self.state.set({"what": "open"}, len(proxy.sessions))
        self.state.set({"what": "configuration"}, proxy.catalog.version)
        self.state.set({"what": "lines_dropped"}, dropped_lines)
        self.drain_rollbacks.set({}, proxy.drain_rollbacks)
        self.collect_usage(proxy.usage)
        self.load.collect(proxy)
        for name, feed in proxy.feed_follower.feeds.items():
            vouched = number_of(feed.state.revision) if feed.state else -1
            self.feeds.set({"feed": name, "what": "era"}, era_of(feed.known))
            self.feeds.set({"feed": name, "what": "known"}, number_of(feed.known))
            self.feeds.set({"feed": name, "what": "vouched"}, vouched)
            self.feeds.set({"feed": name, "what": "behind"}, int(feed.behind))
            self.feeds.set(
                {"feed": name, "what": "store_lost"}, int(feed.store_unreachable)
            )
        for takeover in proxy.takeovers.values():
            self.collect_takeover(takeover)
        for group in proxy.groups.values():
            for item in group.upstreams.values():
                labels = {"group": group.name, "upstream": item.id}
                self.upstreams.set({**labels, "what": "open"}, item.pool.open_count)
                self.upstreams.set({**labels, "what": "in_use"}, item.pool.in_use)
                self.upstreams.set({**labels, "what": "dials"}, item.pool.dials)
                displaced = item.pool.displaced
                self.upstreams.set({**labels, "what": "displaced"}, displaced)
                self.upstreams.set({**labels, "what": "mean_seconds"}, item.mean_time)
                self.collect_placement(labels, item, proxy.clock())
                self.collect_admission(labels, item.admission.queue)

    def collect_takeover(self, takeover):
        """Update what a takeover has done and what it waits for."""
        waiting = [] if takeover.group.watch.leader else takeover.waiting_for
        for what, value in (
            ("promotions", takeover.promotions),
            ("waits_given_up", takeover.waits_given_up),
            ("members_waited_for", len(waiting)),
        ):
            self.takeover.set({"group": takeover.group.name, "what": what}, value)

    def collect_placement(self, labels, item, now):
        """Update what decides which reads are sent to an upstream."""
        results = item.results
        for what, value in (
            ("lag_seconds", item.progress.expected_lag(now)),
            ("reads_withheld", item.reads_withheld),
            ("position_probes", item.position_probes),
            ("failure_share", results.failure_share),
            ("avoided", int(results.suspected or now < item.avoid_until)),
            ("read_probes", results.probes),
        ):
            self.upstreams.set({**labels, "what": what}, value)

    def collect_admission(self, labels, queue):
        """Update the state of the queue before an upstream."""
        figures = {
            "limit": queue.limit,
            "outstanding": queue.running,
            "waiting": len(queue.waiting),
            "forecast_error_seconds": queue.check.error,
            "forecast_correction": queue.check.correction,
            "slowdown": queue.answer_times.slowdown,
        }
        for what, value in figures.items():
            self.admission.set({**labels, "what": what}, value)
        for cause, number in queue.refusals.items():
            self.not_admitted.set({**labels, "cause": str(cause)}, number)

    def collect_usage(self, usage):
        """Update the operations granted and refused to workspaces that have a cap."""
        totals = {}
        for workspace, outcome in usage.outcomes.items():
            name = workspace if workspace in self.named_workspaces else OTHER_WORKSPACES
            total = totals.setdefault(name, OutcomeCounts())
            total.add(outcome)
        for name, total in totals.items():
            set_outcomes(self.usage, {"workspace": name}, total)
        for priority, outcome in usage.outcomes_by_priority.items():
            set_outcomes(self.usage_by_priority, {"priority": str(priority)}, outcome)

    def set_store_era(self, era):
        """Update the era of the store's history."""
        self.store_era.set({}, era)

    def set_store_calls(self, calls):
        """Update the calls to the store; `calls` has their number by (step, kind)."""
        for (step, kind), number in calls.items():
            self.store_calls.set({"step": step, "kind": kind}, number)

    def render(self, accepts):
        """Return the metrics in the Prometheus text format: (body, headers)."""
        from aioprometheus.renderer import render

        return render(self.registry, accepts)


class DeferredMetrics:
    """Keeps observations until the metrics are loaded, so that none is lost."""

    def __init__(self):
        self.pending = []
        self.loaded = None

    def observe(self, route, statement, reply, seconds, served_by, workspace=""):
        """Record one statement, see `SessionMetrics.observe`."""
        if self.loaded is not None:
            self.loaded.observe(route, statement, reply, seconds, served_by, workspace)
            return
        # Without texts and rows, which may have a megabyte each.
        statement = Statement(kind=statement.kind, writes=statement.writes)
        reply = Reply(refusal=reply.refusal)
        kept = (route, statement, reply, seconds, served_by, workspace)
        self.pending.append(kept)
        if len(self.pending) >= MAX_PENDING:
            self.load()

    def load(self):
        """Return the metrics; the first call imports the library."""
        if self.loaded is None:
            self.loaded = SessionMetrics()
            for observation in self.pending:
                self.loaded.observe(*observation)
            self.pending.clear()
        return self.loaded


def set_outcomes(gauge, labels, outcome):
    """Set a gauge to the numbers of operations granted, booked and refused."""
    gauge.set({**labels, "what": "granted"}, outcome.granted)
    gauge.set({**labels, "what": "booked"}, outcome.booked)
    gauge.set({**labels, "what": "refused"}, outcome.refused)
