"""Replacing a group's primary: when, by whom, and by which of its replicas.

A replica may only lead if its log holds every acknowledged commit. A commit is
acknowledged once one replica has received it. So replication is paused on every
replica first: from then on nothing more can be acknowledged, and the longest of the
paused logs holds all that was. If one replica cannot be paused, nothing is promoted.

The lease restrains, the fence makes safe: the store gives each take-over a higher
token, and orders with a lower one than was seen are refused.
"""

import asyncio
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from gypsum_sessions.borders import LeaseError, PromoteOutcome
from gypsum_sessions.leader import prove_leads
from gypsum_sessions.pooled import PooledConn
from gypsum_sessions.replies import UpstreamError, UpstreamStatus
from gypsum_sessions.statements import (
    RESUME_REPLICATION,
    STATUS,
    Statement,
    StatementKind,
)

PART = "takeover"
# How often a group is looked at, seconds.
LOOK_EVERY = 0.1
# Pause between two rounds of an attempt, seconds.
ROUND_PAUSE = 0.1
# An attempt that found no way in this time is given up, seconds.
ATTEMPT_LIMIT = 12.0
# Unanswered or refused commands to a member are repeated this often per attempt.
COMMAND_TRIES = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """A member whose replication is paused, and its status then."""

    upstream: str
    leaving: bool
    status: UpstreamStatus


def choose(paused):
    """The member to promote: the longest log, then one that stays, then any."""
    best = max(
        paused,
        key=lambda item: (item.status.received, not item.leaving, item.upstream),
    )
    return best.upstream


def place_in_order(daemons, daemon, group):
    """This daemon's place among those that may replace a group's primary."""
    ranked = sorted(daemons, key=lambda name: xxh64_intdigest(f"{group}/{name}".encode()))
    return ranked.index(daemon) if daemon in ranked else len(ranked)


class Takeover:
    """Watches one group and replaces its primary when it is out of service."""

    def __init__(self, *, group, daemon, leases, promoter):
        self.group = group
        self.around = group.around
        self.daemon = daemon
        self.leases = leases
        self.promoter = promoter
        self.lease = None
        self.spent_tokens = set()
        self.paused_by_us = {}
        self.rest_until = 0.0
        self.promotions = 0

    def log(self, event, **fields):
        """Write one line about this group."""
        self.around.log(PART, event, group=self.group.name, **fields)

    async def run(self):
        """Look at the group for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            reason = self.reason()
            if reason is None:
                if self.group.watch.leader and self.paused_by_us:
                    await self.resume_all()
                continue
            try:
                await self.attempt(reason)
            except (LeaseError, UpstreamError) as exc:
                self.log("attempt ended", error=str(exc))
                self.rest_until = self.around.clock() + self.around.tuning.lease_rest

    def reason(self):
        """Why the primary should be replaced now by this daemon, or None."""
        now, tuning = self.around.clock(), self.around.tuning
        if now < self.rest_until or not self.group.upstreams:
            return None
        delay = self.place() * tuning.rank_delay
        since = self.group.watch.leaderless_since
        if not self.group.watch.leader and since is not None:
            if now - since >= tuning.suspect_after + delay:
                return "no primary"
            return None
        member = self.group.member(self.group.watch.leader)
        if member is None or not member.leaving or member.leaving_since is None:
            return None
        if now - member.leaving_since < delay:
            return None
        return "the primary leaves" if self.successors(member.id) else None

    def place(self):
        """This daemon's place in the order for the group."""
        return place_in_order(self.around.daemons.names, self.daemon, self.group.name)

    def successors(self, leader):
        """Members that could lead and that stay."""
        return [
            member.id
            for member in self.group.members()
            if member.id != leader and not member.leaving and not member.missing_since
        ]

    # One attempt

    async def attempt(self, reason):
        """Take the lease, pause the replicas, promote the longest log."""
        if not await self.take_lease(reason):
            return
        deadline = self.around.clock() + ATTEMPT_LIMIT
        leaving = reason == "the primary leaves"
        while self.around.clock() < deadline:
            if not leaving and self.group.watch.leader:
                self.log("given up, a primary was found")
                return
            if leaving and self.reason_gone():
                return
            if await self.try_once(leaving):
                return
            await asyncio.sleep(ROUND_PAUSE)
        self.log("attempt timed out")

    def reason_gone(self):
        """Tell whether the leaving primary has been replaced meanwhile."""
        member = self.group.member(self.group.watch.leader)
        return member is not None and not member.leaving

    async def take_lease(self, reason):
        """Get a fresh token for this attempt; tell whether we have it."""
        seen = await self.leases.read(self.group.name)
        lease = await self.leases.take(self.group.name, self.daemon, seen)
        if lease is None:
            self.log("lease taken by another", reason=reason)
            self.rest_until = self.around.clock() + self.around.tuning.lease_rest
            return False
        self.lease = lease
        self.log("lease taken", reason=reason, token=lease.token, after=seen.holder)
        return True

    async def try_once(self, leaving):
        """One round: pause all, choose, order; tell whether the attempt is over."""
        old = self.group.watch.leader or self.group.watch.last_leader
        paused = await self.pause_all(old, step_down=leaving)
        if paused is None:
            return False
        best = choose(paused)
        self.log(
            "promoting",
            upstream=best,
            token=self.lease.token,
            received={item.upstream: str(item.status.received) for item in paused},
        )
        outcome = await self.promoter.promote(
            self.group.name, best, self.daemon, self.lease.token
        )
        self.log("promotion ordered", upstream=best, outcome=str(outcome))
        if outcome is PromoteOutcome.NOT_DONE:
            return False
        if outcome is not PromoteOutcome.REFUSED and await self.wait_led_by(best):
            self.promotions += 1
            self.paused_by_us.clear()
            return True
        # The token is spent: the order may still be carried out, or was refused.
        return not await self.take_lease("again")

    async def wait_led_by(self, upstream):
        """Wait until a member leads; tell whether it does."""
        deadline = self.around.clock() + self.around.tuning.promotion_wait
        while self.around.clock() < deadline:
            item = self.group.upstreams.get(upstream)
            if item is None:
                return False
            if self.group.watch.leader == upstream or await self.leads(item):
                return True
            await asyncio.sleep(ROUND_PAUSE / 2)
        return False

    async def leads(self, item):
        """Ask a member whether it leads."""
        try:
            pooled = await self.connect(item)
        except UpstreamError:
            return False
        asked_at = self.around.clock()
        try:
            position = await prove_leads(
                pooled.conn, timeout=self.around.tuning.ping_timeout
            )
        except UpstreamError:
            return False
        finally:
            item.pool.release(pooled)
        if position is not None:
            self.group.watch.proven(item.id, position, asked_at)
        return position is not None

    # Commands to members

    async def pause_all(self, old, *, step_down):
        """Pause all replicas; their statuses, or None if one did not answer."""
        others = [item for item in self.group.upstreams.values() if item.id != old]
        if not others:
            return None
        statuses = await asyncio.gather(*(self.status_of(item) for item in others))
        if any(status is None for status in statuses):
            self.log(
                "waiting for members",
                silent=[
                    item.id
                    for item, status in zip(others, statuses, strict=True)
                    if status is None
                ],
            )
            return None
        term = max(status.term for status in statuses) + 1
        if step_down and old in self.group.upstreams:
            await self.command(
                self.group.upstreams[old],
                Statement(kind=StatementKind.STEP_DOWN, term=term),
            )
        pause = Statement(kind=StatementKind.PAUSE_REPLICATION, term=term)
        paused = await asyncio.gather(*(self.command(item, pause) for item in others))
        for item in others:
            self.paused_by_us[item.id] = term
        if any(status is None or status.held_term < term for status in paused):
            self.log("not all members paused", term=term, answers=str(paused))
            return None
        return [
            Paused(
                upstream=item.id,
                leaving=item.member.leaving or item.member.missing_since is not None,
                status=status,
            )
            for item, status in zip(others, paused, strict=True)
        ]

    async def status_of(self, item):
        """A member's status, or None."""
        return await self.command(item, STATUS)

    async def command(self, item, statement):
        """Give a member a command; its status then, or None if it did not answer."""
        for _ in range(COMMAND_TRIES):
            try:
                pooled = await self.connect(item)
            except UpstreamError as exc:
                self.log("member unreachable", upstream=item.id, error=str(exc))
                continue
            try:
                reply = await pooled.conn.ask(
                    statement, timeout=self.around.tuning.command_timeout
                )
                if reply.ok:
                    return pooled.conn.read_status(reply)
                self.log(
                    "command refused",
                    upstream=item.id,
                    command=str(statement.kind),
                    refusal=str(reply.refusal),
                    detail=reply.detail,
                )
            except UpstreamError as exc:
                self.log("command unanswered", upstream=item.id, error=str(exc))
            finally:
                item.pool.release(pooled)
        return None

    async def connect(self, item) -> PooledConn:
        """A connection to a member for a command."""
        return await item.pool.acquire(
            values={}, timeout=self.around.tuning.dial_timeout
        )

    async def resume_all(self):
        """Let paused replicas go on: the primary is back and was not replaced.

        Only while the lease is still ours, proved by taking it again: a rival that
        took it since relies on the pause.
        """
        try:
            if not await self.take_lease("resume replication"):
                self.paused_by_us.clear()
                return
        except LeaseError as exc:
            self.log("cannot resume yet", error=str(exc))
            return
        for upstream in list(self.paused_by_us):
            item = self.group.upstreams.get(upstream)
            if item is None or await self.command(item, RESUME_REPLICATION):
                del self.paused_by_us[upstream]
                self.log("replication resumed", upstream=upstream)
