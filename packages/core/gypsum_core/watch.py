"""Monitoring of a database group by its home."""

from gypsum_core import actions
from gypsum_core.actions import DropConnections, Probe
from gypsum_core.jobs import Operation, OperationKind
from gypsum_core.messages import PrimaryHeard
from gypsum_core.readplacer import CATCH_UP_STEP
from gypsum_core.timers import PART, POLL, ROUND

REFRESH_FRACTION = 0.25
ROUND_GAP = 0.002
CATCH_UP_GAP = 0.01


class GroupMonitor:
    """Polls the group of one home, and sends probe rounds and claims."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def poll(self):
        """Probe the group where due, and schedule the next poll."""
        tuning = self.ctx.tuning
        idle = self.ctx.now - self.home.last_used_at > tuning.home_idle_after
        if self.home.rank != 0 and idle and not self.home.busy:
            self.home.active = False
            return
        for upstream in self.home.view.upstreams:
            if self.poll_due(upstream):
                self.probe(upstream)
        self.home.transaction_manager.abort_idle()
        self.home.failover.check()
        self.home.dispatch.abandon_silent_reads()
        self.home.dispatch.start_queued()
        pause = tuning.idle_poll_interval if idle else tuning.poll_interval
        self.ctx.set_timer(pause, part=PART, database=self.home.spec.name, detail=POLL)

    def poll_due(self, upstream):
        """Return whether an upstream has to be probed now.

        The primary, and any upstream with running work, is probed after one poll
        interval without a response, since that may be the start of an outage;
        answers to statements count as responses too. Statuses are refreshed well
        within the age that reads accept. Probing every upstream at each poll used
        most of the budget for control work.
        """
        refresh = self.refresh_interval()
        if self.ctx.now - self.home.view.status_sent_at(upstream) >= refresh:
            return True
        idle_time = self.home.failover.since_last_response(upstream)
        is_primary = upstream == self.home.view.primary
        has_work = self.home.loads[upstream].running > 0
        return (is_primary or has_work) and idle_time >= self.ctx.tuning.poll_interval

    def refresh_interval(self):
        """Seconds after which a status is refreshed."""
        ages = [kind.max_age_ms for kind in self.home.spec.kinds if kind.max_age_ms > 0]
        wanted = min(ages, default=float("inf")) / 1000 * REFRESH_FRACTION
        tuning = self.ctx.tuning
        return max(tuning.poll_interval, min(tuning.idle_poll_interval, wanted))

    def probe_all(self):
        """Probe the whole group now."""
        for upstream in self.home.view.upstreams:
            self.probe(upstream)

    def probe(self, upstream):
        """Request the status of an upstream unless a probe is pending."""
        if upstream in self.home.probing:
            return
        action = Probe(
            op=self.ctx.next_op(),
            database=self.home.spec.name,
            upstream=upstream,
            timeout=self.ctx.tuning.probe_timeout,
        )
        self.home.probing[upstream] = action.op
        self.home.failover.record_request(upstream)
        self.home.launch(action)

    def request_round(self):
        """Probe all members soon, once for all waiting requests.

        One round serves every read and write waiting at the time, so the number
        of probes does not grow with the number of requests.
        """
        if self.home.round_scheduled:
            return
        gap = self.round_gap()
        delay = max(0.0, self.home.last_round_at + gap - self.ctx.now)
        if delay > 0:
            self.home.round_scheduled = True
            self.ctx.set_timer(
                delay, part=PART, database=self.home.spec.name, detail=ROUND
            )
            return
        self.home.last_round_at = self.ctx.now
        self.probe_all()

    def round_gap(self):
        """Seconds between two rounds; short while callers wait for a status."""
        if any(job.step != CATCH_UP_STEP for job in self.home.waiting_reads):
            return ROUND_GAP
        gap = CATCH_UP_GAP if self.home.waiting_reads else float("inf")
        if self.home.unconfirmed_writes.jobs:
            gap = min(gap, self.home.unconfirmed_writes.round_interval())
        return gap

    def claim_group(self):
        """Claim the group: make this the only daemon whose writes it accepts."""
        if self.home.claim.in_progress or self.home.view.primary is None:
            return
        self.home.launch(
            actions.Claim(
                op=self.ctx.next_op(),
                database=self.home.spec.name,
                upstream=self.home.view.primary,
                timeout=self.ctx.tuning.verb_timeout,
                holder=self.home.claim.begin(),
            )
        )

    def drop_silent_connections(self, upstream):
        """Drop the open connections: a new one answered where they did not."""
        if not self.home.failover.is_unresponsive(upstream):
            return
        self.ctx.log(
            PART, f"{self.home.spec.name}: connections to {upstream} are unresponsive"
        )
        self.ctx.emit(DropConnections(database=self.home.spec.name, upstream=upstream))

    def answer_peer(self, operation, *, heard):
        """Answer a peer that asked whether the upstream responds to us."""
        if operation.kind is not OperationKind.ASKED_PROBE:
            return
        self.ctx.send(
            operation.requester,
            PrimaryHeard(
                database=self.home.spec.name,
                upstream=operation.upstream,
                nonce=operation.nonce,
                heard=heard,
            ),
        )

    def on_peer_query(self, peer, query):
        """A peer asks whether an upstream responds to us: probe a new connection."""
        action = Probe(
            op=self.ctx.next_op(),
            database=self.home.spec.name,
            upstream=query.upstream,
            timeout=self.ctx.tuning.probe_timeout / 2,
            fresh=True,
        )
        self.home.operations[action.op] = Operation(
            op=action.op,
            kind=OperationKind.ASKED_PROBE,
            upstream=query.upstream,
            sent_at=self.ctx.now,
            term=self.home.view.term,
            requester=peer,
            nonce=query.nonce,
        )
        self.ctx.emit(action)

    def verify(self, upstream):
        """An operation failed inconclusively: probe the upstream before new work."""
        self.home.failover.mark_unverified(upstream)
        self.probe(upstream)

    def on_claim_lost(self, upstream):
        """Another daemon claimed the group: probe before claiming it again."""
        self.home.claim.on_lost()
        self.probe(upstream)
