"""Remote access to a group: statements are sent to one of its owners.

A statement that was never sent, or that an owner reports as not run, is tried at the
next owner. A read is sent to another owner if the first one becomes silent. A write or
COMMIT that may have been sent is in doubt. A transaction whose link breaks before
COMMIT is sent is rolled back: its number is valid on that link only, so no COMMIT can
reach it any more.
"""

import asyncio
from dataclasses import dataclass

from gypsum_policy.boundedload import longest_wait
from gypsum_policy.ownership import is_last_resort
from gypsum_sessions.catalog import Route
from gypsum_sessions.daemons.ownerload import needs_leader
from gypsum_sessions.daemons.peermessages import (
    EndTransaction,
    StatementRequest,
    StatementResponse,
)
from gypsum_sessions.daemons.peers import PeerLost
from gypsum_sessions.daemons.standbys import CANDIDATES_PER_OWNER
from gypsum_sessions.execution.refusals import truthful_refusal
from gypsum_sessions.execution.transactions import aborted_reply
from gypsum_sessions.replies import Refusal, Reply

PART = "remote"
# An owner answers a statement by its deadline; the response needs a little longer to
# arrive.
ANSWER_MARGIN = 0.15
# Pause between rounds, seconds: the owners may be starting.
ROUND_INTERVAL = 0.05


class RemoteAccess:
    """Access to a group through its owners; `peers` holds the links to them.

    With `helpers` only these daemons are tried, once, and only while they have a proven
    primary.
    """

    def __init__(self, *, spec, context, peers, helpers=()):
        self.spec = spec
        self.context = context
        self.peers = peers
        self.helpers = helpers

    async def read(self, job):
        """Run a read; it is retried at another owner if one fails."""
        reply = await self.run(job, repeatable=True)
        return reply and truthful_refusal(job, reply)

    async def write(self, job):
        """Run a write; it is retried only if it was never sent."""
        return await self.run(job, repeatable=False)

    def begin(self, *, route, writes, arrived):
        """Return a transaction that its first statement opens at an owner."""
        return RemoteTransaction(
            access=self, route=route, writes=writes, arrived=arrived
        )

    async def run(self, job, *, repeatable):
        """Try the owners in rounds until one answers, for most of the time left.

        Returns None if no helper had an answer: nothing was written then.

        With a single round, callers would be refused after a restart of all daemons,
        because the owners become ready slightly later than the others.
        """
        clock = self.context.clock
        until = clock() + job.time_left(clock) * self.context.tuning.leader_wait_share
        asked_all = False
        while True:
            reply = await self.run_round(
                job, repeatable=repeatable, asked_all=asked_all
            )
            if reply is not None:
                return reply
            if job.abandoned:
                return caller_left(job)
            if self.helpers:
                return None
            asked_all = True
            if clock() + ROUND_INTERVAL >= until:
                return no_owner(job, self.context.tuning)
            await asyncio.sleep(ROUND_INTERVAL)

    async def run_round(self, job, *, repeatable, asked_all):
        """Try each owner once; returns the first reply, None if there is none."""
        unable = 0
        for name in self.owners_for(job, writes=job.statement.writes):
            if job.abandoned or job.time_left(self.context.clock) <= 0:
                break
            try:
                link = await self.peers.link(name, job.time_left(self.context.clock))
                if not repeatable:
                    await link.check_alive()
                if job.abandoned:
                    break
                answer = await self.request(
                    link, job, last_resort=self.last_resort(name, asked_all, unable)
                )
            except PeerLost as exc:
                self.log_owner_lost(job, name, exc)
                if exc.sent and not repeatable:
                    return in_doubt(exc)
                continue
            if not answer.unable:
                return record_response(job, answer)
            unable += 1
        return None

    def track_end(self, job, link, answer):
        """Record what an answer says about attempts that may still run."""
        job.orphaned = job.orphaned or answer.orphaned
        if answer.unfinished:
            ending = asyncio.create_task(self.wait_end(job, link, answer))
            job.running_attempts.add(ending)

    async def wait_end(self, job, link, answer):
        """Wait until an answered job has ended; it is orphaned if nothing tells."""
        timeout = answer.unfinished + ANSWER_MARGIN
        if not await link.wait_ended(answer.call, timeout):
            job.orphaned = True

    def last_resort(self, name, asked_all, unable):
        """Return whether an owner must run the job even if draining or starting."""
        leaves = self.peers.is_draining(name)
        return is_last_resort(asked_all=asked_all, leaving=leaves, unable=unable)

    def owners_for(self, job, *, writes):
        """Names of the owners to try for a job or its transaction, in order.

        An owner at which it would wait past its latency target comes after those that
        have room.
        """
        kind = work_kind(job, writes)
        claim = job.admission_request()
        longest = longest_wait(
            now=self.context.clock(),
            target_time=claim.target_time,
            deadline=claim.deadline,
        )
        usual = self.owners(job.workspace)
        waits = {
            name: self.peers.expected_wait(name, self.spec.name, kind) for name in usual
        }
        full = {name for name, wait in waits.items() if wait > longest}
        if not full or self.helpers:
            return usual
        names = self.owners(job.workspace, full)
        if usual[0] in full and names[0] != usual[0]:
            self.peers.spread[self.spec.name] += 1
            job.passed_over, job.passed_over_wait = usual[0], waits[usual[0]]
        return names

    def owners(self, workspace="", full=frozenset()):
        """Names of the owners to try for a workspace's work, the preferred first.

        The `full` ones have no room for it.
        """
        if self.helpers:
            return self.helpers
        daemons = self.context.daemons
        count = daemons.owner_count(self.spec)
        names = daemons.order(self.spec.name, count * CANDIDATES_PER_OWNER)
        return self.peers.ask_order(names, count, self.spec.name, workspace, full)

    async def request(self, link, job, **fields):
        """Send a job to one owner; `fields` of the request. Raises PeerLost.

        A job whose owner is lost after it was sent is orphaned: the owner may have
        passed it on to an upstream.
        """
        job.owner = link.peer
        left = job.time_left(self.context.clock)
        kind = work_kind(job, fields.get("opens_writing") or job.statement.writes)
        waits = self.peers.owner_waits(link.peer, self.spec.name)
        waits.record_sent(kind)
        try:
            answer = await link.timed_request(
                lambda call: StatementRequest(
                    call=call,
                    request=job.request,
                    statement=job.statement,
                    route=job.route,
                    left=left,
                    values=job.values,
                    prepared=job.prepared,
                    own_floor=job.own_floor,
                    if_led=bool(self.helpers),
                    hears_ends=True,
                    credential=job.credential,
                    **fields,
                ),
                self.peers.pace(link.peer, self.spec.name),
                timeout=left + ANSWER_MARGIN,
                job=job,
            )
        except PeerLost as exc:
            job.orphaned = job.orphaned or exc.sent
            raise
        waits.record(
            kind,
            wait=answer.wait_ms / 1000,
            pace=answer.pace_ms / 1000,
            now=self.context.clock(),
        )
        self.track_end(job, link, answer)
        return answer

    def log_owner_lost(self, job, name, exc):
        """Log an owner that gave no answer; nothing if none was asked."""
        if not name:
            return
        job.tried.append(name)
        self.context.log(
            PART,
            "owner lost",
            request=job.request,
            owner=name,
            sent=exc.sent,
            error=str(exc),
        )


@dataclass(slots=True, kw_only=True, eq=False)
class RemoteTransaction:
    """A transaction at an owner, bound to the link of its first statement."""

    access: RemoteAccess
    route: Route
    writes: bool
    arrived: float
    wrote: bool = False
    values_set: bool = False
    link: object = None
    number: int = 0
    closed: bool = False

    async def run(self, job):
        """Run a statement; any failure has rolled the transaction back."""
        self.wrote = self.wrote or job.statement.writes
        try:
            answer = await self.request(job)
        except PeerLost as exc:
            await self.close()
            self.access.log_owner_lost(job, exc.peer, exc)
            return aborted_reply(str(exc))
        reply = record_response(job, answer)
        if not reply.ok:
            self.closed = True
        return reply

    async def commit(self, job):
        """COMMIT; without an answer it is in doubt if anything was written."""
        try:
            answer = await self.request(job)
        except PeerLost as exc:
            self.access.log_owner_lost(job, exc.peer, exc)
            return in_doubt(exc) if exc.sent and self.wrote else aborted_reply(str(exc))
        finally:
            self.closed = True
        return record_response(job, answer)

    async def request(self, job):
        """Send a statement to this transaction's owner; raises PeerLost."""
        if self.closed:
            raise PeerLost("it is over", step="ask", peer="", sent=False)
        if self.link is None:
            return await self.open(job)
        return await self.request_owner(job)

    async def request_owner(self, job, **fields):
        """Send a statement over this transaction's link; raises PeerLost."""
        return await self.access.request(
            self.link,
            job,
            transaction=self.number,
            opens_writing=self.writes,
            values_set=self.values_set,
            **fields,
        )

    async def open(self, job):
        """Open the transaction with its first statement, at an owner that is able to.

        Raises PeerLost if there is none, or if the owner that was tried is lost.
        """
        clock = self.access.context.clock
        share = self.access.context.tuning.leader_wait_share
        until = clock() + job.time_left(clock) * share
        asked_all = False
        while clock() < until and not job.abandoned:
            answer = await self.open_round(job, asked_all)
            if answer is not None:
                return answer
            asked_all = True
            await asyncio.sleep(ROUND_INTERVAL)
        why = "the caller has left" if job.abandoned else "no owner is able"
        raise PeerLost(why, step="open", peer="", sent=False)

    async def open_round(self, job, asked_all):
        """Try each owner once; returns the first answer, None if none could open it."""
        unable = 0
        for name in self.access.owners_for(job, writes=self.writes):
            if not self.access.peers.accepts_transactions(name):
                continue
            if not await self.use_link(job, name):
                continue
            if job.abandoned:
                return None
            last_resort = self.access.last_resort(name, asked_all, unable)
            answer = await self.request_owner(job, first=True, last_resort=last_resort)
            if not answer.unable:
                return answer
            unable += 1
            self.link = None
        return None

    async def use_link(self, job, name):
        """Bind the transaction to an owner's link; return whether the link works."""
        try:
            link = await self.access.peers.link(
                name, job.time_left(self.access.context.clock)
            )
            await link.check_alive()
        except PeerLost as exc:
            self.access.log_owner_lost(job, name, exc)
            return False
        self.link, self.number = link, link.next_number()
        return True

    async def close(self):
        """Tell the owner to roll back; it does so by itself if the link broke."""
        if self.link is not None and not self.closed:
            self.link.send_message(EndTransaction(transaction=self.number))
        self.closed = True


def work_kind(job, writes):
    """Kind of work by which owners' waits differ: its workspace, and who may run it."""
    return job.workspace, needs_leader(job.route, writes)


def record_response(job, answer: StatementResponse):
    """Record a response on its job; returns the reply."""
    job.tried.extend(answer.tried)
    job.served_by = answer.served_by
    job.role = answer.role
    job.floor, job.floor_age = answer.floor, answer.floor_age
    job.left_out = answer.left_out
    return answer.reply


def in_doubt(exc):
    """The reply for work that may have reached an upstream."""
    return Reply(refusal=Refusal.IN_DOUBT, detail=f"may have run, {exc}")


def caller_left(job):
    """The reply to a job whose caller left before an owner answered."""
    not_run = "" if job.orphaned else "not run, "
    return Reply(refusal=Refusal.BUSY, detail=f"{not_run}the caller has left")


def no_owner(job, tuning):
    """The refusal of a job that no owner answered; it has no lasting effect.

    A read may have run at an owner that has become silent since, so the detail does not
    claim that it has not.
    """
    not_run = "" if job.orphaned else "not run, "
    return Reply(
        refusal=Refusal.BUSY,
        detail=f"{not_run}no owner of the group answers",
        retry_after_ms=tuning.busy_retry_after_ms,
    )
