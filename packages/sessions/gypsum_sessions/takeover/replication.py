"""Commands to a group's members: status, pausing replication, stepping down."""

import asyncio
from dataclasses import dataclass

from gypsum_policy.succession import choose_heir
from gypsum_sessions.replies import UpstreamBusy, UpstreamError, UpstreamStatus
from gypsum_sessions.statements import (
    RESUME_REPLICATION,
    STATUS,
    Statement,
    StatementKind,
)
from gypsum_sessions.upstreams.borrow import borrowed

# Unanswered or refused commands to a member are repeated this often per round.
COMMAND_TRIES = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """A member whose replication is paused, and its status then.

    `held_before` says that it was paused already, so that its log has not grown.
    """

    upstream: str
    leaving: bool
    held_before: bool = False
    status: UpstreamStatus


class ReplicationControl:
    """Gives one group's members commands and remembers whom it has paused.

    `paused` maps upstreams to the term they were paused for.
    """

    def __init__(self, *, group, log):
        self.group = group
        self.around = group.around
        self.log = log
        self.paused = {}
        self.missing = []

    async def pause_all(self, old, *, step_down, sure=True):
        """Pause all replicas; their statuses, or None if one did not answer.

        `old` is the primary that is replaced and need not answer; unless we are `sure`
        that it led a moment ago, it is paused like the others if it turns out to be a
        replica.
        """
        others = [item for item in self.group.upstreams.values() if item.id != old]
        if not sure and await self.follows(old):
            others = list(self.group.upstreams.values())
        if not others:
            return None
        statuses = await asyncio.gather(*(self.status_of(item) for item in others))
        if any(status is None for status in statuses):
            self.note_missing(
                [
                    item.id
                    for item, status in zip(others, statuses, strict=True)
                    if status is None
                ]
            )
            return None
        if any(status.leads for status in statuses):
            # Nothing to pause: there is a primary, the watch has yet to find it.
            self.log("another member leads", statuses=str(statuses))
            return None
        term = max(status.term for status in statuses) + 1
        if step_down and old in self.group.upstreams:
            await self.command(
                self.group.upstreams[old],
                Statement(kind=StatementKind.STEP_DOWN, term=term),
            )
            await asyncio.sleep(self.around.tuning.handover_pause)
        paused = await self.pause(others, term)
        if paused is None:
            return None
        return [
            Paused(
                upstream=item.id,
                leaving=not item.member.stays,
                held_before=before.paused_term > 0,
                status=paused[item.id],
            )
            for item, before in zip(others, statuses, strict=True)
        ]

    async def spare_heir(self, old, heir=""):
        """Pause all replicas but the one that leads next: (its id, all), or None.

        The primary goes on: what it acknowledges from now on the heir has received, for
        nobody else receives; and the heir has what the others had when they stopped. So
        nothing that is acknowledged is missing when it leads. `heir` is the one of an
        order that may still be carried out.
        """
        others = [item for item in self.group.upstreams.values() if item.id != old]
        statuses = await asyncio.gather(*(self.status_of(item) for item in others))
        known = [status for status in statuses if status is not None]
        if len(known) < len(others) or any(status.leads for status in known):
            self.log("no heir, not all replicas answer", statuses=str(statuses))
            return None
        found = [
            Paused(upstream=item.id, leaving=not item.member.stays, status=status)
            for item, status in zip(others, known, strict=True)
        ]
        chosen = heir or choose_heir(found)
        if chosen not in {item.id for item in others}:
            self.log("no heir that stays")
            return None
        held = [item for item in others if item.id != chosen]
        term = max(status.term for status in known) + 1
        paused = await self.pause(held, term)
        if paused is None or not await self.has_all(chosen, paused):
            return None
        return chosen, paused

    async def pause(self, items, term):
        """Pause some members; their statuses by id, None unless all are paused."""
        command = Statement(kind=StatementKind.PAUSE_REPLICATION, term=term)
        answers = await asyncio.gather(*(self.command(item, command) for item in items))
        for item in items:
            self.paused[item.id] = term
        if any(status is None or status.paused_term < term for status in answers):
            self.log("not all members paused", term=term, answers=str(answers))
            return None
        return {item.id: status for item, status in zip(items, answers, strict=True)}

    async def has_all(self, heir, paused):
        """Wait until the heir has received what the paused members have."""
        longest = max((status.received for status in paused.values()), default=None)
        until = self.around.clock() + self.around.tuning.handover_target_wait
        while self.around.clock() < until:
            item = self.group.upstreams.get(heir)
            status = await self.status_of(item) if item is not None else None
            if status is None or status.paused_term or status.leads:
                return False
            if longest is None or status.received >= longest:
                return True
            await asyncio.sleep(self.around.tuning.confirm_poll_interval)
        self.log("the heir lacks what others have", heir=heir, longest=str(longest))
        return False

    async def follows(self, old):
        """Tell whether a former primary answers and says that it is a replica.

        What goes wrong without the question: it has come back as a replica of a primary
        that we never saw, and holds the only copy of a commit.
        """
        item = self.group.upstreams.get(old)
        if item is None:
            return False
        try:
            async with asyncio.timeout(self.around.tuning.ping_timeout):
                status = await self.status_of(item)
        except TimeoutError:
            return False
        return status is not None and not status.leads

    def note_missing(self, silent):
        """Say whom an attempt waits for, when that changes."""
        if silent != self.missing:
            self.log("waiting for members", silent=silent)
        self.missing = silent

    async def status_of(self, item):
        """A member's status, or None."""
        return await self.command(item, STATUS)

    async def command(self, item, statement):
        """Give a member a command; its status then, or None if it did not answer."""
        for _ in range(COMMAND_TRIES):
            try:
                return await self.command_once(item, statement)
            except UpstreamError as exc:
                self.log(
                    "command failed",
                    upstream=item.id,
                    command=str(statement.kind),
                    error=str(exc),
                )
        return None

    async def command_once(self, item, statement):
        """One try of a command; raises UpstreamError."""
        async with borrowed(self.around, item, urgent=True) as conn:
            reply = await conn.ask(
                statement, timeout=self.around.tuning.command_timeout
            )
            if reply.ok:
                return conn.read_status(reply)
        raise UpstreamBusy(
            f"{reply.refusal} {reply.detail}", step="command", peer=item.id
        )

    async def resume_all(self):
        """Let all that were paused go on; those that do not answer stay noted."""
        for upstream in list(self.paused):
            item = self.group.upstreams.get(upstream)
            if item is None or await self.command(item, RESUME_REPLICATION):
                del self.paused[upstream]
                self.log("replication resumed", upstream=upstream)
