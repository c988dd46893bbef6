"""How a home keeps its knowledge of the group fresh."""

from gypsum_core import actions
from gypsum_core.actions import DropConnections, Probe
from gypsum_core.jobs import Operation, OperationKind
from gypsum_core.messages import PrimaryHeard
from gypsum_core.readplacer import CATCH_UP_STEP
from gypsum_core.timers import PART, POLL, ROUND

REFRESH_PART = 0.25
ROUND_GAP = 0.002
CATCH_UP_GAP = 0.01


class Watch:
    """Polls, rounds and claims of one home."""

    def __init__(self, *, home):
        self.home = home
        self.ctx = home.ctx

    def poll(self):
        """Probe the whole group and come back after the interval."""
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
        """Tell whether a poll would teach us anything.

        The primary, and whoever has our work, is asked when it has said nothing for
        a poll's time, since that may be the beginning of a silence; statements'
        answers are signs of life too. Statuses are refreshed well within the age
        that reads accept. Asking everyone at each poll took most of what control
        may cost.
        """
        refresh = self.refresh_interval()
        if self.ctx.now - self.home.view.seen_at(upstream) >= refresh:
            return True
        quiet = self.home.failover.quiet_for(upstream)
        leads = upstream == self.home.view.primary
        works = self.home.loads[upstream].running > 0
        return (leads or works) and quiet >= self.ctx.tuning.poll_interval

    def refresh_interval(self):
        """Seconds after which a status is asked for again."""
        ages = [kind.max_age_ms for kind in self.home.spec.kinds if kind.max_age_ms > 0]
        wanted = min(ages, default=float("inf")) / 1000 * REFRESH_PART
        tuning = self.ctx.tuning
        return max(tuning.poll_interval, min(tuning.idle_poll_interval, wanted))

    def poll_once(self):
        """Probe the whole group now: something changed."""
        for upstream in self.home.view.upstreams:
            self.probe(upstream)

    def probe(self, upstream):
        """Ask an upstream for its status unless a question is under way."""
        if upstream in self.home.probing:
            return
        action = Probe(
            op=self.ctx.next_op(),
            database=self.home.spec.name,
            upstream=upstream,
            timeout=self.ctx.tuning.probe_timeout,
        )
        self.home.probing[upstream] = action.op
        self.home.failover.asked(upstream)
        self.home.launch(action)

    def ensure_round(self):
        """Ask all members soon, once for everything that waits.

        One round serves every read and write waiting at the time, so the number
        of questions does not grow with the number of requests.
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
        self.poll_once()

    def round_gap(self):
        """Seconds between two rounds: short where callers wait for knowledge."""
        if any(job.step != CATCH_UP_STEP for job in self.home.waiting_reads):
            return ROUND_GAP
        gap = CATCH_UP_GAP if self.home.waiting_reads else float("inf")
        if self.home.unconfirmed_writes.jobs:
            gap = min(gap, self.home.unconfirmed_writes.round_interval())
        return gap

    def claim_group(self):
        """Make ourselves the one daemon whose writes the group takes."""
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

    def found_silent_connections(self, upstream):
        """A fresh connection answered where the open ones did not."""
        if not self.home.failover.suspicious(upstream):
            return
        self.ctx.log(
            PART, f"{self.home.spec.name}: connections to {upstream} are silent"
        )
        self.ctx.emit(DropConnections(database=self.home.spec.name, upstream=upstream))

    def answer_asker(self, operation, *, heard):
        """Tell a peer that asked whether we hear the upstream."""
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

    def asked(self, peer, question):
        """A peer asks whether we hear an upstream: look with a new connection."""
        action = Probe(
            op=self.ctx.next_op(),
            database=self.home.spec.name,
            upstream=question.upstream,
            timeout=self.ctx.tuning.probe_timeout / 2,
            fresh=True,
        )
        self.home.operations[action.op] = Operation(
            op=action.op,
            kind=OperationKind.ASKED_PROBE,
            upstream=question.upstream,
            sent_at=self.ctx.now,
            term=self.home.view.term,
            requester=peer,
            nonce=question.nonce,
        )
        self.ctx.emit(action)

    def doubt(self, upstream):
        """An operation failed without a verdict: ask for a sign of life first."""
        self.home.failover.doubt(upstream)
        self.probe(upstream)

    def lost_claim(self, upstream):
        """Another daemon claimed the group: look before claiming it back."""
        self.home.claim.on_lost()
        self.probe(upstream)
