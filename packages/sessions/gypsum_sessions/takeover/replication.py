"""Sends commands to a group's members: status, replication, stepping down."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from gypsum_policy.promotion import (
    choose_handover_target,
    may_lack_commits,
    pauses_suffice,
)
from gypsum_sessions.replies import UpstreamBusy, UpstreamError, UpstreamStatus
from gypsum_sessions.statements import (
    RESUME_REPLICATION,
    STATUS,
    Statement,
    StatementKind,
)
from gypsum_sessions.takeover.floors import later
from gypsum_sessions.takeover.leader import prove_leads
from gypsum_sessions.upstreams.borrow import borrow_connection

# How often a command is sent to a member per round until it succeeds.
COMMAND_ATTEMPTS = 2


class CommandOutcome(StrEnum):
    """What became of a command; an unanswered one may be carried out later."""

    DONE = "done"
    NOT_DONE = "not_done"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True, kw_only=True)
class PausedReplica:
    """A member whose replication is paused, with its status at that time.

    With `already_paused` it was paused before this round, so its log has not grown.
    """

    upstream: str
    leaving: bool
    already_paused: bool = False
    status: UpstreamStatus


class ReplicationControl:
    """Sends commands to one group's members and tracks which ones it has paused.

    `paused` maps upstream ids to the term for which they were paused. `unresponsive`
    holds the ids that were last logged as not answering. `stepped_down` says that the
    old primary confirmed in the last round that it leads no more.
    """

    def __init__(self, *, group, log):
        self.group = group
        self.context = group.context
        self.log = log
        self.paused = {}
        self.unresponsive = []
        self.stepped_down = False

    def resumable(self):
        """The members that may receive again although they are paused, by id.

        An earlier command to resume them may still be carried out. It has no effect
        once the old primary has stepped down.
        """
        if self.stepped_down:
            return set()
        return set(self.context.lease_view.outstanding_resumes(self.group.name))

    async def pause_all(self, old_primary, *, step_down, led_recently=True):
        """Pause all replicas; their statuses, or None if one did not answer.

        `old_primary` is being replaced and need not answer. Unless it `led_recently`,
        it is asked first, and is paused like the others if it has become a replica.
        """
        self.stepped_down = False
        others = [
            item for item in self.group.upstreams.values() if item.id != old_primary
        ]
        if not led_recently and await self.is_replica(old_primary):
            others = list(self.group.upstreams.values())
        if not others:
            return None
        statuses = await asyncio.gather(*(self.status_of(item) for item in others))
        if any(status is None for status in statuses):
            self.log_unresponsive(
                [
                    item.id
                    for item, status in zip(others, statuses, strict=True)
                    if status is None
                ]
            )
            return None
        if any(status.leads for status in statuses):
            # There is a primary already; the LeaderWatch has not found it yet.
            self.log("another member leads", statuses=str(statuses))
            return None
        term = max(status.term for status in statuses) + 1
        if step_down and old_primary in self.group.upstreams:
            status = await self.command(
                self.group.upstreams[old_primary],
                Statement(kind=StatementKind.STEP_DOWN, term=term),
            )
            self.stepped_down = status is not None and not status.leads
            await asyncio.sleep(self.context.tuning.handover_pause)
        paused = await self.pause(others, term)
        if paused is None:
            return None
        return [
            PausedReplica(
                upstream=item.id,
                leaving=not item.member.active,
                already_paused=before.paused_term > 0,
                status=paused[item.id],
            )
            for item, before in zip(others, statuses, strict=True)
        ]

    async def prepare_handover(self, old_primary, pending=""):
        """Pause all replicas except the handover target.

        Returns the target's id and the statuses of the paused members by id, or None if
        no handover is possible. The primary keeps serving. From now on it can
        acknowledge only commits that the target has received, since no other member
        receives any, and the target has caught up with the logs of the paused members.
        So the target has every acknowledged commit when it is promoted. `pending` is
        the member of an order that may still be carried out; it stays the target.
        If an earlier commit may lie with the primary and absent members alone, the
        target has to reach the primary's log.
        """
        self.stepped_down = False
        others = [
            item for item in self.group.upstreams.values() if item.id != old_primary
        ]
        statuses = await asyncio.gather(*(self.status_of(item) for item in others))
        known = [status for status in statuses if status is not None]
        if len(known) < len(others) or any(status.leads for status in known):
            self.log("no handover: not all replicas answer", statuses=str(statuses))
            return None
        found = [
            PausedReplica(
                upstream=item.id, leaving=not item.member.active, status=status
            )
            for item, status in zip(others, known, strict=True)
        ]
        resumable, sync_replicas = self.resumable(), self.group.spec.sync_replicas
        chosen = pending or choose_handover_target(found, resumable, sync_replicas)
        if chosen not in {item.id for item in others} or not pauses_suffice(
            chosen, resumable, sync_replicas
        ):
            self.log("no handover: no suitable replica", resumable=sorted(resumable))
            return None
        held = [item for item in others if item.id != chosen]
        term = max(status.term for status in known) + 1
        paused = await self.pause(held, term)
        if paused is None:
            return None
        longest = max((item.received for item in paused.values()), default=None)
        absent = self.context.recorder.absent(
            self.group.name, {item.id for item in others}
        )
        if may_lack_commits(absent=absent, sync_replicas=self.group.spec.sync_replicas):
            position = await self.position_of(old_primary)
            if position is None:
                self.log("no handover: the primary does not show its position")
                return None
            longest = later(longest, position)
        if not await self.wait_caught_up(chosen, longest):
            return None
        return chosen, paused

    async def pause(self, items, term):
        """Pause members; their statuses by id, or None if any is not paused."""
        command = Statement(kind=StatementKind.PAUSE_REPLICATION, term=term)
        answers = await asyncio.gather(*(self.command(item, command) for item in items))
        for item in items:
            self.paused[item.id] = term
        if any(status is None or status.paused_term < term for status in answers):
            self.log("not all members paused", term=term, answers=str(answers))
            return None
        return {item.id: status for item, status in zip(items, answers, strict=True)}

    async def wait_caught_up(self, target, longest):
        """Wait until the handover target has received a position; None is any.

        False if it does not answer, receives nothing or takes longer than allowed.
        """
        until = self.context.clock() + self.context.tuning.handover_target_wait
        while self.context.clock() < until:
            item = self.group.upstreams.get(target)
            status = await self.status_of(item) if item is not None else None
            if status is None or status.paused_term or status.leads:
                return False
            if longest is None or status.received >= longest:
                return True
            await asyncio.sleep(self.context.tuning.confirm_poll_interval)
        self.log("the heir lacks what others have", heir=target, longest=str(longest))
        return False

    async def position_of(self, primary):
        """The position of a primary that proves that it leads; None without a proof."""
        item = self.group.upstreams.get(primary)
        if item is None:
            return None
        try:
            async with borrow_connection(self.context, item, urgent=True) as conn:
                return await prove_leads(conn, timeout=self.context.tuning.ping_timeout)
        except UpstreamError:
            return None

    async def is_replica(self, old_primary):
        """Return whether a former primary answers that it is a replica now.

        It may have come back as a replica of a primary that this daemon never saw, and
        hold the only copy of a commit.
        """
        item = self.group.upstreams.get(old_primary)
        if item is None:
            return False
        try:
            async with asyncio.timeout(self.context.tuning.ping_timeout):
                status = await self.status_of(item)
        except TimeoutError:
            return False
        return status is not None and not status.leads

    def log_unresponsive(self, silent):
        """Log which members an attempt waits for, whenever they change."""
        if silent != self.unresponsive:
            self.log("waiting for members", silent=silent)
        self.unresponsive = silent

    async def status_of(self, item):
        """A member's status, or None if it did not answer."""
        return await self.command(item, STATUS)

    async def command(self, item, statement):
        """Send a command to a member; its status afterwards, or None on failure."""
        for _ in range(COMMAND_ATTEMPTS):
            try:
                return await self.command_once(item, statement)
            except UpstreamError as exc:
                self.log_failure(item, statement, exc)
        return None

    def log_failure(self, item, statement, exc):
        """Log a command that got no usable answer."""
        self.log(
            "command failed",
            upstream=item.id,
            command=str(statement.kind),
            error=str(exc),
        )

    async def command_once(self, item, statement):
        """Send a command once; its status afterwards.

        Raises UpstreamError without an answer, UpstreamBusy if the member refuses.
        """
        async with borrow_connection(self.context, item, urgent=True) as conn:
            reply = await conn.ask(
                statement, timeout=self.context.tuning.command_timeout
            )
            if reply.ok:
                return conn.read_status(reply)
        raise UpstreamBusy(
            f"{reply.refusal} {reply.detail}", step="command", peer=item.id
        )

    async def resume_all(self, until):
        """Resume replication on all paused members; retain those that do not answer.

        No command is sent after `until`. Returns the ids of the members that left one
        unanswered and may carry it out later.
        """
        upstreams = list(self.paused)
        outcomes = await asyncio.gather(
            *(self.resume(upstream, until) for upstream in upstreams)
        )
        return {
            upstream
            for upstream, found in zip(upstreams, outcomes, strict=True)
            if CommandOutcome.UNANSWERED in found
        }

    async def resume(self, upstream, until):
        """Resume replication on one member; the outcomes of all attempts."""
        item = self.group.upstreams.get(upstream)
        outcomes = []
        while item is not None and len(outcomes) < COMMAND_ATTEMPTS:
            outcomes.append(await self.resume_once(item, until))
            if outcomes[-1] is CommandOutcome.DONE:
                break
        if item is None or CommandOutcome.DONE in outcomes:
            del self.paused[upstream]
            self.log("replication resumed", upstream=upstream, attempts=len(outcomes))
        return outcomes

    async def resume_once(self, item, until):
        """Send the command to resume once, unless it is too late."""
        outcome = CommandOutcome.NOT_DONE
        try:
            async with borrow_connection(self.context, item, urgent=True) as conn:
                if self.context.clock() >= until:
                    return outcome
                outcome = CommandOutcome.UNANSWERED
                reply = await conn.ask(
                    RESUME_REPLICATION, timeout=self.context.tuning.command_timeout
                )
        except UpstreamError as exc:
            self.log_failure(item, RESUME_REPLICATION, exc)
            return outcome
        return CommandOutcome.DONE if reply.ok else CommandOutcome.NOT_DONE
