"""Suspicion, election and repair of one database group's primary.

Safety rests on the group alone: a term is promised by a majority before its
primary is promoted, so any daemon may try at any time. What this module adds is
restraint: it fences only when the primary is really out of service.
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
    """What the machine is doing."""

    WATCH = "watch"
    FENCE = "fence"
    PROMOTE = "promote"


class GroupContext(Protocol):
    """What the machine asks of the home that owns it."""

    def monitors(self) -> list[str]:
        """Other daemons to ask whether they hear the primary."""

    def launch(self, action) -> None:
        """Emit an upstream action whose answer comes back to this machine."""

    def upstream_leaving(self, upstream: str) -> bool:
        """Tell whether the instance list says that an upstream leaves."""


@dataclass(slots=True, kw_only=True)
class Inquiry:
    """The question to other daemons whether they hear the primary."""

    nonce: int
    upstream: str
    asked_at: float
    heard: set[str] = field(default_factory=set)
    unheard: set[str] = field(default_factory=set)


class Failover:
    """Watches one group's primary and replaces it when it is out of service."""

    def __init__(self, *, ctx, database, view, home: GroupContext):
        self.ctx = ctx
        self.database = database
        self.view = view
        self.home = home
        self.phase = Phase.WATCH
        self.election = None
        self.inquiry = None
        self.unanswered_since = {}
        self.heard_at = {}
        self.doubted = set()
        self.fresh_asked_at = {}
        self.leaderless_since = None
        self.cut_since = None
        self.backoff_until = 0.0
        self.vetoed_until = 0.0
        self.deputy = ""
        self.repaired_at = {}
        self.promotions = 0

    # Knowledge

    def watch_from(self):
        """Start watching: what was asked on an earlier visit does not count."""
        self.unanswered_since.clear()
        self.doubted.clear()
        self.leaderless_since = None
        self.cut_since = None

    def asked(self, upstream):
        """Note a question; silence counts from the first unanswered one."""
        self.unanswered_since.setdefault(upstream, self.ctx.now)

    def heard(self, upstream):
        """Note any sign of life of an upstream."""
        self.unanswered_since.pop(upstream, None)
        self.heard_at[upstream] = self.ctx.now
        self.doubted.discard(upstream)
        if self.inquiry and self.inquiry.upstream == upstream:
            self.inquiry = None
        if upstream == self.view.primary:
            self.vetoed_until = 0.0

    def doubt(self, upstream):
        """Send an upstream nothing more until it gives a sign of life.

        What goes wrong without it: a dead primary refuses connections at once,
        and every queued request burns its retries within milliseconds, long
        before another primary is there.
        """
        self.unanswered_since.setdefault(upstream, self.ctx.now)
        self.doubted.add(upstream)

    def quiet_for(self, upstream):
        """Seconds since an upstream's last sign of life, asked for or not."""
        return self.ctx.now - self.heard_at.get(upstream, float("-inf"))

    def trusted(self, upstream):
        """Tell whether new work may be sent to an upstream."""
        return upstream not in self.doubted and not self.suspicious(upstream)

    def silence(self, upstream):
        """Seconds that an upstream has left a question unanswered."""
        return self.ctx.now - self.unanswered_since.get(upstream, self.ctx.now)

    @property
    def vetoed(self):
        """Tell whether another daemon hears a primary that we do not."""
        return self.ctx.now < self.vetoed_until

    def suspicious(self, upstream):
        """Tell whether an upstream has been silent for a probe's time."""
        return self.silence(upstream) > self.ctx.tuning.probe_timeout

    # Decisions

    def check(self):
        """Look at what is known and act; called after each change and poll."""
        if self.phase is not Phase.WATCH:
            self.check_election()
            return
        if self.view.primary is None:
            self.check_leaderless()
            return
        self.leaderless_since = None
        if self.check_silent():
            return
        if self.check_cut_from_group():
            return
        self.check_leaving()
        self.repair()

    def check_leaderless(self):
        """No valid primary at the highest term: a promoter died half way."""
        now = self.ctx.now
        if self.leaderless_since is None:
            self.leaderless_since = now
        if len(self.reachable()) < self.view.majority:
            return
        if now - self.leaderless_since < self.ctx.tuning.ask_after:
            return
        self.start_election("no primary at the highest term")

    def check_silent(self):
        """Suspect a silent primary; tell whether it is under suspicion."""
        primary = self.view.primary
        silence = self.silence(primary)
        tuning = self.ctx.tuning
        if silence < tuning.probe_timeout:
            return False
        self.try_fresh(primary)
        if silence >= tuning.ask_after:
            self.ask_peers(primary)
        if silence >= tuning.suspect_after:
            self.decide(primary)
        return True

    def try_fresh(self, upstream):
        """Open a new connection before believing in a death.

        What goes wrong without it: a middlebox forgets open connections, they
        go silent for good while the primary is well, and it would be deposed.
        """
        now = self.ctx.now
        if now - self.fresh_asked_at.get(upstream, -1.0) < self.ctx.tuning.ask_after:
            return
        self.fresh_asked_at[upstream] = now
        self.launch(Probe, upstream, fresh=True, timeout=self.ctx.tuning.probe_timeout)

    def ask_peers(self, primary):
        """Ask other daemons once per suspicion whether they hear the primary.

        What goes wrong without it: one daemon alone loses its path to a healthy
        primary and deposes it for everyone.
        """
        stale = self.inquiry and (
            self.ctx.now - self.inquiry.asked_at > self.ctx.tuning.suspect_after
        )
        if self.inquiry and self.inquiry.upstream == primary and not stale:
            return
        nonce = self.ctx.next_op()
        self.inquiry = Inquiry(nonce=nonce, upstream=primary, asked_at=self.ctx.now)
        question = AskPrimary(database=self.database, upstream=primary, nonce=nonce)
        for peer in self.home.monitors():
            self.ctx.send(peer, question)

    def peer_said(self, peer, answer):
        """Take in a peer's answer about the primary."""
        if not self.inquiry or self.inquiry.nonce != answer.nonce:
            return
        side = self.inquiry.heard if answer.heard else self.inquiry.unheard
        side.add(peer)
        if self.silence(self.inquiry.upstream) >= self.ctx.tuning.suspect_after:
            self.decide(self.inquiry.upstream)

    def decide(self, primary):
        """Depose, stand back, or wait for more evidence."""
        inquiry = self.inquiry
        if inquiry is None or self.vetoed or self.ctx.now < self.backoff_until:
            return
        if inquiry.heard:
            self.deputy = min(inquiry.heard)
            self.vetoed_until = self.ctx.now + self.ctx.tuning.veto_for
            self.ctx.log(
                PART, f"{self.database}: {self.deputy} hears {primary}, we stand back"
            )
            return
        asked = self.home.monitors()
        alone = not asked
        corroborated = bool(inquiry.unheard) or self.replicas_miss(primary)
        if alone or corroborated:
            self.start_election(f"{primary} silent")

    def reachable(self):
        """Upstreams that answered within the suspicion time."""
        limit = self.ctx.tuning.suspect_after
        return [
            upstream
            for upstream in self.view.upstreams
            if self.view.status(upstream) and self.silence(upstream) < limit
        ]

    def replicas_miss(self, primary):
        """Tell whether no majority around the primary can hear it any more."""
        limit_ms = self.ctx.tuning.suspect_after * 1000
        others = [name for name in self.reachable() if name != primary]
        if len(others) < self.view.majority:
            return False
        missing = [
            name for name in others if self.view.status(name).heard_ms > limit_ms
        ]
        return len(self.view.upstreams) - len(missing) < self.view.majority

    def check_cut_from_group(self):
        """Replace a primary that answers us but whose replicas hear it no more.

        What goes wrong without it: it takes writes that no replica receives,
        none is ever confirmed, and writes stand still while it looks healthy.
        """
        if not self.replicas_miss(self.view.primary):
            self.cut_since = None
            return False
        if self.cut_since is None:
            self.cut_since = self.ctx.now
        if self.ctx.now - self.cut_since >= self.ctx.tuning.probe_timeout:
            primary = self.view.primary
            self.start_election(f"{primary} cut from its group", unfit=primary)
        return True

    def check_leaving(self):
        """Move the primary off an upstream that leaves, once a replica is level."""
        primary = self.view.primary
        if not self.home.upstream_leaving(primary):
            return
        end = self.view.end()
        level = [
            name
            for name in self.reachable()
            if name != primary
            and not self.home.upstream_leaving(name)
            and self.view.status(name).log_end.covers(end)
        ]
        if level and self.ctx.now >= self.backoff_until:
            self.start_election(f"{primary} leaves", unfit=primary)

    # Election

    def start_election(self, why, *, unfit=""):
        """Fence the whole group at a term above all that we know of.

        `unfit` names a member that had better not lead again.
        """
        if self.ctx.now < self.backoff_until:
            return
        self.phase = Phase.FENCE
        self.inquiry = None
        term = self.view.highest_term + 1
        self.election = Election(term=term, started=self.ctx.now, unfit=unfit)
        self.ctx.log(PART, f"{self.database}: {why}, fencing at term={term}")
        for upstream in self.view.upstreams:
            self.launch(Fence, upstream, term=term)
        self.wake(self.ctx.tuning.fence_grace)

    def fenced(self, status, term):
        """An upstream answered a fence of `term`."""
        election = self.election
        if self.phase is not Phase.FENCE or election is None or term != election.term:
            return
        election.settled.add(status.upstream)
        if status.promised == term:
            election.accepted[status.upstream] = status
        if status.promised > term:
            self.give_up(f"{status.upstream} already promised term={status.promised}")
            return
        self.check_election()

    def verb_failed(self, upstream, term):
        """A fence or promotion failed or got no answer."""
        election = self.election
        if election is None or term != election.term:
            return
        election.settled.add(upstream)
        if self.phase is Phase.PROMOTE and upstream == election.candidate:
            self.give_up(f"promotion of {upstream} failed")
            return
        self.check_election()

    def check_election(self):
        """Go on with an election when a majority has promised its term."""
        election = self.election
        if self.ctx.now - election.started > 2 * self.ctx.tuning.verb_timeout:
            self.give_up("no majority in time")
            return
        if self.phase is not Phase.FENCE:
            return
        everyone = len(election.settled) == len(self.view.upstreams)
        graced = self.ctx.now - election.started >= self.ctx.tuning.fence_grace
        if len(election.accepted) < self.view.majority:
            if everyone:
                self.give_up("no majority")
            return
        if everyone or graced:
            self.promote_longest()

    def promote_longest(self):
        """Promote the member of the accepting majority whose log is longest.

        Every confirmed write is on a majority; it meets the accepting majority
        in at least one member, and the longest log is at least that one's.
        """
        election = self.election
        best = election.best(
            majority=self.view.majority, leaving=self.home.upstream_leaving
        )
        election.candidate = best.upstream
        self.phase = Phase.PROMOTE
        self.launch(Promote, best.upstream, term=election.term)

    def promoted(self, status):
        """The candidate leads: make the others follow and spread the news."""
        election = self.election
        if election is None or status.promised != election.term or not status.primary:
            return
        self.promotions += 1
        self.end_election()
        self.ctx.log(
            PART,
            f"{self.database}: promoted {status.upstream} at term={status.promised}",
        )
        news = TermNews(
            database=self.database, term=status.promised, primary=status.upstream
        )
        for peer in self.home.monitors():
            self.ctx.send(peer, news)
        self.ctx.emit(
            RecordStatus(
                database=self.database,
                primary=status.upstream,
                position=Position(term=status.promised, index=status.received),
            )
        )
        self.repaired_at.clear()
        self.repair()

    def give_up(self, why):
        """End an attempt; the next waits a random time so that rivals part."""
        self.ctx.log(PART, f"{self.database}: election ended, {why}")
        self.end_election()
        pause = self.ctx.tuning.election_backoff * (1 + self.ctx.rng.random())
        self.backoff_until = self.ctx.now + pause
        self.wake(pause)

    def end_election(self):
        """Go back to watching."""
        self.phase = Phase.WATCH
        self.election = None
        self.leaderless_since = None
        self.cut_since = None

    # Repair

    def repair(self):
        """Make every reachable member follow the primary of the highest term.

        An old primary that returns would otherwise go on as a primary nobody
        confirms, and a replica of an old term would never catch up.
        """
        for upstream in self.view.upstreams:
            status = self.view.status(upstream)
            if upstream == self.view.primary or status is None:
                continue
            astray = status.primary or status.follows != self.view.primary
            if not astray and status.promised == self.view.term:
                continue
            last = self.repaired_at.get(upstream, float("-inf"))
            if self.ctx.now - last < REPAIR_INTERVAL:
                continue
            self.repaired_at[upstream] = self.ctx.now
            self.launch(
                Follow, upstream, term=self.view.term, primary=self.view.primary
            )

    def launch(self, kind, upstream, timeout=None, **fields):
        """Send an upstream action through the home's book of operations."""
        self.home.launch(
            kind(
                op=self.ctx.next_op(),
                database=self.database,
                upstream=upstream,
                timeout=timeout or self.ctx.tuning.verb_timeout,
                **fields,
            )
        )

    def wake(self, delay):
        """Ask for another check."""
        self.ctx.set_timer(delay, part=PART, database=self.database)
