"""Failure detection, election and repair for a database group's primary.

Safety depends on the group alone: a majority promises a term before its primary
is promoted, so any daemon may start an election at any time. This module avoids
unnecessary elections: it fences only if the primary is really out of service.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from gypsum_core.actions import Fence, Follow, Probe, Promote, RecordStatus
from gypsum_core.election import Election
from gypsum_core.messages import AskPrimary, TermNews
from gypsum_core.records import Position

PART = "failover"
REPAIR_INTERVAL = 0.5


class Phase(StrEnum):
    """State of the failover state machine."""

    WATCH = "watch"
    FENCE = "fence"
    PROMOTE = "promote"


class FailoverHost(Protocol):
    """Interface of the home that owns the failover."""

    def monitors(self) -> list[str]:
        """Other daemons to ask whether the primary responds to them."""

    def launch(self, action) -> None:
        """Emit an upstream action whose result is passed to this failover."""

    def upstream_leaving(self, upstream: str) -> bool:
        """Return whether the instance list marks an upstream as leaving."""


@dataclass(slots=True, kw_only=True)
class PeerInquiry:
    """A query to other daemons whether the primary responds to them."""

    nonce: int
    upstream: str
    asked_at: float
    heard: set[str] = field(default_factory=set)
    unheard: set[str] = field(default_factory=set)


class Failover:
    """Watches one group's primary and replaces it when it is out of service."""

    def __init__(self, *, ctx, database, view, home: FailoverHost):
        self.ctx = ctx
        self.database = database
        self.view = view
        self.home = home
        self.phase = Phase.WATCH
        self.election = None
        self.inquiry = None
        self.unanswered_since = {}
        self.heard_at = {}
        self.unverified = set()
        self.new_connection_probed_at = {}
        self.leaderless_since = None
        self.partitioned_since = None
        self.backoff_until = 0.0
        self.vetoed_until = 0.0
        self.alternate_home = ""
        self.repaired_at = {}
        self.promotions = 0

    # Observations

    def reset_monitoring(self):
        """Start monitoring: discard unanswered requests of an earlier period."""
        self.unanswered_since.clear()
        self.unverified.clear()
        self.leaderless_since = None
        self.partitioned_since = None

    def record_request(self, upstream):
        """Record a request; silence counts from the first unanswered one."""
        self.unanswered_since.setdefault(upstream, self.ctx.now)

    def record_response(self, upstream):
        """Record any response of an upstream."""
        self.unanswered_since.pop(upstream, None)
        self.heard_at[upstream] = self.ctx.now
        self.unverified.discard(upstream)
        if self.inquiry and self.inquiry.upstream == upstream:
            self.inquiry = None
        if upstream == self.view.primary:
            self.vetoed_until = 0.0

    def mark_unverified(self, upstream):
        """Send an upstream no more work until it responds.

        A dead primary refuses connections immediately; without this, every queued
        request would use up its retries within milliseconds, long before another
        primary is available.
        """
        self.unanswered_since.setdefault(upstream, self.ctx.now)
        self.unverified.add(upstream)

    def since_last_response(self, upstream):
        """Seconds since an upstream's last response of any kind."""
        return self.ctx.now - self.heard_at.get(upstream, float("-inf"))

    def accepts_work(self, upstream):
        """Return whether new work may be sent to an upstream."""
        return upstream not in self.unverified and not self.is_unresponsive(upstream)

    def unanswered_for(self, upstream):
        """Seconds that an upstream has left a request unanswered."""
        return self.ctx.now - self.unanswered_since.get(upstream, self.ctx.now)

    @property
    def vetoed(self):
        """Whether another daemon reaches a primary that we do not."""
        return self.ctx.now < self.vetoed_until

    def is_unresponsive(self, upstream):
        """Return whether an upstream has not responded for the probe timeout."""
        return self.unanswered_for(upstream) > self.ctx.tuning.probe_timeout

    # Decisions

    def check(self):
        """Evaluate the observations and act; called after each change and poll."""
        if self.phase is not Phase.WATCH:
            self.check_election()
            return
        if self.view.primary is None:
            self.check_leaderless()
            return
        self.leaderless_since = None
        if self.check_unresponsive():
            return
        if self.check_partitioned_primary():
            return
        self.check_leaving()
        self.repair()

    def check_leaderless(self):
        """No valid primary at the highest term: a promotion was interrupted."""
        now = self.ctx.now
        if self.leaderless_since is None:
            self.leaderless_since = now
        if len(self.reachable()) < self.view.majority:
            return
        if now - self.leaderless_since < self.ctx.tuning.ask_after:
            return
        self.start_election("no primary at the highest term")

    def check_unresponsive(self):
        """Handle an unresponsive primary; return whether it is unresponsive."""
        primary = self.view.primary
        silence = self.unanswered_for(primary)
        tuning = self.ctx.tuning
        if silence < tuning.probe_timeout:
            return False
        self.probe_new_connection(primary)
        if silence >= tuning.ask_after:
            self.ask_peers(primary)
        if silence >= tuning.suspect_after:
            self.decide(primary)
        return True

    def probe_new_connection(self, upstream):
        """Probe on a new connection before treating an upstream as dead.

        If a middlebox drops the state of open connections, they stay silent although
        the primary is healthy, and it would be replaced.
        """
        now = self.ctx.now
        if (
            now - self.new_connection_probed_at.get(upstream, -1.0)
            < self.ctx.tuning.ask_after
        ):
            return
        self.new_connection_probed_at[upstream] = now
        self.launch(Probe, upstream, fresh=True, timeout=self.ctx.tuning.probe_timeout)

    def ask_peers(self, primary):
        """Ask other daemons, once per outage, whether the primary responds to them.

        Otherwise a single daemon that loses its path to a healthy primary would
        replace it for every daemon.
        """
        stale = self.inquiry and (
            self.ctx.now - self.inquiry.asked_at > self.ctx.tuning.suspect_after
        )
        if self.inquiry and self.inquiry.upstream == primary and not stale:
            return
        nonce = self.ctx.next_op()
        self.inquiry = PeerInquiry(nonce=nonce, upstream=primary, asked_at=self.ctx.now)
        question = AskPrimary(database=self.database, upstream=primary, nonce=nonce)
        for peer in self.home.monitors():
            self.ctx.send(peer, question)

    def on_peer_answer(self, peer, answer):
        """Process a peer's answer about the primary."""
        if not self.inquiry or self.inquiry.nonce != answer.nonce:
            return
        replies = self.inquiry.heard if answer.heard else self.inquiry.unheard
        replies.add(peer)
        if self.unanswered_for(self.inquiry.upstream) >= self.ctx.tuning.suspect_after:
            self.decide(self.inquiry.upstream)

    def decide(self, primary):
        """Start an election, defer to a daemon that reaches the primary, or wait."""
        inquiry = self.inquiry
        if inquiry is None or self.vetoed or self.ctx.now < self.backoff_until:
            return
        if inquiry.heard:
            self.alternate_home = min(inquiry.heard)
            self.vetoed_until = self.ctx.now + self.ctx.tuning.veto_for
            self.ctx.log(
                PART,
                f"{self.database}: no election, "
                f"{self.alternate_home} reaches {primary}",
            )
            return
        asked = self.home.monitors()
        alone = not asked
        corroborated = bool(inquiry.unheard) or self.majority_lost_primary(primary)
        if alone or corroborated:
            self.start_election(f"{primary} unresponsive")

    def reachable(self):
        """Upstreams that responded within `suspect_after`."""
        limit = self.ctx.tuning.suspect_after
        return [
            upstream
            for upstream in self.view.upstreams
            if self.view.status(upstream) and self.unanswered_for(upstream) < limit
        ]

    def majority_lost_primary(self, primary):
        """Return whether the primary no longer reaches a majority of the group."""
        limit_ms = self.ctx.tuning.suspect_after * 1000
        others = [name for name in self.reachable() if name != primary]
        if len(others) < self.view.majority:
            return False
        missing = [
            name for name in others if self.view.status(name).heard_ms > limit_ms
        ]
        return len(self.view.upstreams) - len(missing) < self.view.majority

    def check_partitioned_primary(self):
        """Replace a primary that answers this daemon but not its replicas.

        It would accept writes that no replica receives, none would ever be
        confirmed, and writes would stall while the primary looks healthy.
        """
        if not self.majority_lost_primary(self.view.primary):
            self.partitioned_since = None
            return False
        if self.partitioned_since is None:
            self.partitioned_since = self.ctx.now
        if self.ctx.now - self.partitioned_since >= self.ctx.tuning.probe_timeout:
            primary = self.view.primary
            self.start_election(
                f"{primary} partitioned from its group", avoided=primary
            )
        return True

    def check_leaving(self):
        """Move the primary off a leaving upstream once a replica has caught up."""
        primary = self.view.primary
        if not self.home.upstream_leaving(primary):
            return
        end = self.view.log_end()
        caught_up = [
            name
            for name in self.reachable()
            if name != primary
            and not self.home.upstream_leaving(name)
            and self.view.status(name).log_end.covers(end)
        ]
        if caught_up and self.ctx.now >= self.backoff_until:
            self.start_election(f"{primary} is leaving", avoided=primary)

    # Election

    def start_election(self, why, *, avoided=""):
        """Fence the whole group at a term above all known ones.

        `avoided` names a member to promote only if the others are no majority.
        """
        if self.ctx.now < self.backoff_until:
            return
        self.phase = Phase.FENCE
        self.inquiry = None
        term = self.view.highest_term + 1
        self.election = Election(term=term, started_at=self.ctx.now, avoided=avoided)
        self.ctx.log(PART, f"{self.database}: {why}, fencing at term={term}")
        for upstream in self.view.upstreams:
            self.launch(Fence, upstream, term=term)
        self.schedule_check(self.ctx.tuning.fence_grace)

    def on_fenced(self, status, term):
        """An upstream answered a fence of `term`."""
        election = self.election
        if self.phase is not Phase.FENCE or election is None or term != election.term:
            return
        election.responded.add(status.upstream)
        if status.promised == term:
            election.accepted[status.upstream] = status
        if status.promised > term:
            self.abort_election(
                f"{status.upstream} already promised term={status.promised}"
            )
            return
        self.check_election()

    def on_order_failed(self, upstream, term):
        """A fence or promotion failed or was not answered."""
        election = self.election
        if election is None or term != election.term:
            return
        election.responded.add(upstream)
        if self.phase is Phase.PROMOTE and upstream == election.candidate:
            self.abort_election(f"promotion of {upstream} failed")
            return
        self.check_election()

    def check_election(self):
        """Continue an election once a majority has promised its term."""
        election = self.election
        if self.ctx.now - election.started_at > 2 * self.ctx.tuning.verb_timeout:
            self.abort_election("no majority in time")
            return
        if self.phase is not Phase.FENCE:
            return
        all_responded = len(election.responded) == len(self.view.upstreams)
        grace_over = self.ctx.now - election.started_at >= self.ctx.tuning.fence_grace
        if len(election.accepted) < self.view.majority:
            if all_responded:
                self.abort_election("no majority")
            return
        if all_responded or grace_over:
            self.promote_longest_log()

    def promote_longest_log(self):
        """Promote the member of the accepting majority whose log is longest.

        Every confirmed write is on a majority; it meets the accepting majority
        in at least one member, and the longest log is at least that one's.
        """
        election = self.election
        best = election.best_candidate(
            majority=self.view.majority, leaving=self.home.upstream_leaving
        )
        election.candidate = best.upstream
        self.phase = Phase.PROMOTE
        self.launch(Promote, best.upstream, term=election.term)

    def on_promoted(self, status):
        """The candidate is primary: make the others follow and notify other daemons."""
        election = self.election
        if election is None or status.promised != election.term or not status.primary:
            return
        self.promotions += 1
        self.end_election()
        self.ctx.log(
            PART,
            f"{self.database}: promoted {status.upstream} at term={status.promised}",
        )
        update = TermNews(
            database=self.database, term=status.promised, primary=status.upstream
        )
        for peer in self.home.monitors():
            self.ctx.send(peer, update)
        self.ctx.emit(
            RecordStatus(
                database=self.database,
                primary=status.upstream,
                position=Position(term=status.promised, index=status.received),
            )
        )
        self.repaired_at.clear()
        self.repair()

    def abort_election(self, why):
        """Abort the election; a random backoff separates competing daemons."""
        self.ctx.log(PART, f"{self.database}: election aborted: {why}")
        self.end_election()
        pause = self.ctx.tuning.election_backoff * (1 + self.ctx.rng.random())
        self.backoff_until = self.ctx.now + pause
        self.schedule_check(pause)

    def end_election(self):
        """Return to monitoring."""
        self.phase = Phase.WATCH
        self.election = None
        self.leaderless_since = None
        self.partitioned_since = None

    # Repair

    def repair(self):
        """Make every reachable member follow the primary of the highest term.

        An old primary that returns would otherwise stay a primary whose writes are
        never confirmed, and a replica of an old term would never catch up.
        """
        for upstream in self.view.upstreams:
            status = self.view.status(upstream)
            if upstream == self.view.primary or status is None:
                continue
            needs_follow = status.primary or status.follows != self.view.primary
            if not needs_follow and status.promised == self.view.term:
                continue
            last = self.repaired_at.get(upstream, float("-inf"))
            if self.ctx.now - last < REPAIR_INTERVAL:
                continue
            self.repaired_at[upstream] = self.ctx.now
            self.launch(
                Follow, upstream, term=self.view.term, primary=self.view.primary
            )

    def launch(self, kind, upstream, timeout=None, **fields):
        """Start an upstream action that the home tracks in its operations."""
        self.home.launch(
            kind(
                op=self.ctx.next_op(),
                database=self.database,
                upstream=upstream,
                timeout=timeout or self.ctx.tuning.verb_timeout,
                **fields,
            )
        )

    def schedule_check(self, delay):
        """Schedule another check after `delay` seconds."""
        self.ctx.set_timer(delay, part=PART, database=self.database)
