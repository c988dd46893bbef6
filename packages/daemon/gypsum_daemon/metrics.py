"""Metrics: histograms for each member and kind, counters, gauges of homes.

Label values come from the manifest, which bounds their number. Unknown members and
unknown kinds are counted under "other".
"""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0]
OTHER_LABEL = "other"


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self):
        self.registry = Registry()
        self.seconds = Histogram(
            "gypsum_request_seconds",
            "Time to answer a caller, by member and kind.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.answers = Counter(
            "gypsum_answers_total",
            "Answers to callers, by outcome and reason.",
            registry=self.registry,
        )
        self.reads = Gauge(
            "gypsum_reads",
            "Reads served as home, by where; for the primary by reason.",
            registry=self.registry,
        )
        self.queued = Gauge(
            "gypsum_queued", "Requests waiting at a home.", registry=self.registry
        )
        self.lag = Gauge(
            "gypsum_replica_lag_ms",
            "Proven age of an upstream's data, -1 when unproved.",
            registry=self.registry,
        )
        self.term = Gauge(
            "gypsum_term", "Term of a database's primary.", registry=self.registry
        )
        self.promotions = Gauge(
            "gypsum_promotions", "Promotions by this daemon.", registry=self.registry
        )
        self.manifest = Gauge(
            "gypsum_manifest_version", "Version in force.", registry=self.registry
        )
        self.connections = Gauge(
            "gypsum_upstream_connections",
            "Open and peak connections, and requests that waited for one.",
            registry=self.registry,
        )

    def record_answer(self, request, spec, answer, seconds):
        """Record an answer to a caller."""
        known = spec is not None
        member = request.member if known else OTHER_LABEL
        kind = request.kind if known else OTHER_LABEL
        if known and member not in spec.weight_by_member:
            member = OTHER_LABEL
        if known and kind not in spec.kind_by_name:
            kind = OTHER_LABEL
        labels = {"database": spec.name if known else OTHER_LABEL, "member": member}
        self.seconds.observe({**labels, "kind": kind}, seconds)
        self.answers.inc(
            {
                **labels,
                "outcome": str(answer.outcome),
                "reason": str(answer.reason or ""),
            }
        )

    def collect_homes(self, boards):
        """Update the gauges from the homes' reports."""
        for board in boards:
            name = {"database": board.database}
            self.reads.set({**name, "at": "replica", "why": ""}, board.reads_replica)
            for why, count in board.why_primary.items():
                self.reads.set({**name, "at": "primary", "why": str(why)}, count)
            self.queued.set({**name, "for": "replica"}, board.queued_replica)
            self.queued.set({**name, "for": "primary"}, board.queued_primary)
            self.term.set(name, board.term)
            self.promotions.set(name, board.promotions)
            self.manifest.set(name, board.version)
            for upstream in board.upstreams:
                self.lag.set({**name, "upstream": upstream.id}, upstream.lag_ms)

    def collect_pools(self, pools):
        """Update the connection gauges; `pools` is keyed by (database, upstream)."""
        for (database, upstream), pool in pools.items():
            labels = {"database": database, "upstream": upstream}
            self.connections.set({**labels, "what": "open"}, pool.open_count)
            self.connections.set({**labels, "what": "peak"}, pool.peak)
            self.connections.set({**labels, "what": "waits"}, pool.waits)

    def render(self, accept_headers):
        """Return the metrics in the Prometheus text format."""
        return render(self.registry, accept_headers)
