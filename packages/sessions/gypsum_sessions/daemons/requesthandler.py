"""Serves statements that other daemons send to this one as an owner of their group.

Reads and transactions are bound to their link: when it breaks, the reads are cancelled
and the transactions rolled back, since the other daemon has reported this to its
callers.
"""

import asyncio
from dataclasses import dataclass, field

from msgspec.structs import replace

from gypsum_policy.ownership import PRIMARY_LOSS_TOLERANCE
from gypsum_sessions.daemons.ownerload import needs_leader, report_wait
from gypsum_sessions.daemons.peermessages import (
    MESSAGE_LIMIT,
    AbandonStatement,
    EndTransaction,
    FetchList,
    Follow,
    GrantRequest,
    LeaderRequest,
    LeaderResponse,
    Leaving,
    MessageError,
    ReadEnded,
    ServeGroup,
    StatementRequest,
    StatementResponse,
    Unfollow,
    decode,
    encode,
)
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.reads import run_read
from gypsum_sessions.execution.refusals import key_withdrawn_reply
from gypsum_sessions.execution.transactions import Transaction, aborted_reply
from gypsum_sessions.execution.writes import run_write
from gypsum_sessions.replies import KEY_WITHDRAWN, Refusal, Reply

PART = "owner"
# Statements of one link that run at once: more than all slots of a group.
MAX_REQUESTS = 300
# An idle transaction of another daemon's caller is rolled back this much later than its
# own daemon would do it, seconds: longer than that daemon's word takes to arrive.
IDLE_MARGIN = 1.0


@dataclass(slots=True, kw_only=True, eq=False)
class HeldTransaction:
    """A transaction of another daemon's caller; it runs one statement at a time.

    `request` is the id of the last statement's request, `last_active` the time at which
    it ended.
    """

    transaction: Transaction
    request: str = ""
    last_active: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    ended: bool = False


class PeerRequestHandler:
    """Serves one other daemon's requests over one link."""

    def __init__(self, *, proxy, peer):
        self.proxy = proxy
        self.peer = peer
        self.frames = None
        self.transactions = {}
        self.tasks = set()
        self.reads = set()
        # Jobs of statements that are not answered yet, by request number.
        self.jobs = {}
        self.closed = False

    @property
    def busy(self):
        """Return whether statements run or transactions are open."""
        return bool(self.tasks or self.transactions)

    # FrameReceiver

    def opened(self, frames):
        """Take over an open link; a draining daemon sends `Leaving` first.

        Without this, a link that is opened after the drain began, or that replaces one
        which had the notice, brings new work until the process ends.
        """
        self.frames = frames
        if self.proxy.drain_state:
            self.send_leaving()

    def frame_received(self, data):
        """Handle one message."""
        try:
            message = decode(data)
        except MessageError as exc:
            self.proxy.log(PART, "unreadable message", peer=self.peer, error=str(exc))
            self.frames.close()
            self.link_lost(str(exc))
            return
        if isinstance(message, StatementRequest):
            self.accept(message)
        elif isinstance(message, AbandonStatement):
            self.abandon(message.call)
        elif isinstance(message, EndTransaction):
            self.spawn(self.end_transaction(message.transaction))
        elif isinstance(message, LeaderRequest):
            self.send_leader_response(message)
        elif isinstance(message, GrantRequest):
            self.proxy.spawn(self.send_grant_response(message))
        elif isinstance(message, Follow):
            self.proxy.relay.follow(self, message.revisions)
        elif isinstance(message, Unfollow):
            self.proxy.relay.unfollow(self)
        elif isinstance(message, FetchList):
            self.proxy.spawn(self.proxy.relay.send_whole(self, message.feed))
        elif isinstance(message, ServeGroup):
            self.proxy.hosting.start_for_peer(message.group)

    def link_lost(self, why):
        """Cancel the link's reads and roll back its transactions."""
        if self.closed:
            return
        self.closed = True
        self.proxy.peer_handlers.discard(self)
        for task in self.reads:
            task.cancel()
        for number in list(self.transactions):
            self.spawn(self.end_transaction(number))

    # Statements

    def accept(self, request):
        """Start a statement, unless too many are running."""
        if self.closed:
            return
        if len(self.tasks) >= MAX_REQUESTS:
            self.respond_statement(request, None, reply=not_run("too many at once"))
            return
        # Registered before its task runs, since the caller may leave meanwhile.
        job = self.jobs[request.call] = make_job(request, self.proxy)
        task = self.spawn(self.serve(request, job))
        task.add_done_callback(lambda _: self.jobs.pop(request.call, None))
        if not request.transaction and not request.statement.writes:
            self.reads.add(task)
            task.add_done_callback(self.reads.discard)

    def abandon(self, call):
        """Give up a statement whose caller has left, unless it is answered already.

        A link delivers in order, so an unknown number is that of an answered statement.
        """
        job = self.jobs.get(call)
        if job is not None:
            job.abandon()

    def spawn(self, work):
        """Start a task that belongs to this link."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(self.proxy.on_task_done)
        return task

    async def serve(self, request, job):
        """Run one statement and send its response."""
        group = self.proxy.hosting.start_for_peer(request.route.group)
        unable = self.unable_reason(request, group)
        if unable:
            self.respond_statement(request, group, reply=not_run(unable), unable=True)
            return
        if not self.proxy.catalog.is_valid(request.credential):
            reply = await self.refuse_withdrawn_key(request)
            self.respond_statement(request, group, reply=reply)
            return
        if request.transaction:
            reply = await self.run_in_transaction(group, request, job)
        elif request.statement.writes:
            reply = await run_write(group, job)
        else:
            reply = await run_read(group, job)
        self.respond_statement(
            request,
            group,
            reply=reply,
            tried=tuple(job.tried),
            served_by=job.served_by,
            role=str(group.role_of(job.served_by) or ""),
            floor=job.floor,
            floor_age=job.floor_age,
            unfinished=self.unfinished_time(job),
            queue=job.queue_wait,
            unable=may_run_elsewhere(request, job, reply),
            orphaned=job.orphaned,
            left_out=job.left_out,
        )
        if request.hears_ends and job.running:
            self.proxy.spawn(self.send_ended(request.call, job))

    def unfinished_time(self, job):
        """Return for how many seconds attempts of a job may still run, or 0."""
        tuning = self.proxy.tuning
        left = job.attempts_time_left(self.proxy.clock, tuning.ping_timeout)
        return left and left + tuning.running_attempt_wait

    async def refuse_withdrawn_key(self, request):
        """Refuse a caller whose key was withdrawn, which the sender does not know yet.

        Without this, a daemon that the store rejects goes on admitting callers whose
        key was withdrawn.
        """
        self.proxy.log(
            PART,
            "key withdrawn",
            request=request.request,
            workspace=request.credential.workspace,
            let_in_by=request.credential.version,
            version=self.proxy.catalog.version,
            peer=self.peer,
        )
        if not request.transaction or request.first:
            return key_withdrawn_reply()
        await self.end_transaction(request.transaction)
        return aborted_reply(KEY_WITHDRAWN)

    def unable_reason(self, request, group):
        """Why another daemon should run a statement; empty if it is run here."""
        if group is None:
            return "the group is not known here"
        if request.transaction and not request.first:
            return ""
        if request.if_led and not group.watch.leader:
            return "no primary is proven here"
        drain_state, opens = self.proxy.drain_state, bool(request.transaction)
        if drain_state and not drain_state.accepts(
            opens=opens, last_resort=request.last_resort
        ):
            return "this daemon leaves"
        if request.last_resort:
            return ""
        if not group.watch.last_leader:
            # Otherwise a daemon that has just started is tried first, as before its
            # restart, and statements wait for its proof while other owners have one.
            return "no primary was proven here yet"
        if group.watch.leaderless_for() > PRIMARY_LOSS_TOLERANCE:
            # Otherwise, when the primary is cut off from one owner that waits for the
            # next primary, callers that retry through other daemons are all sent to
            # that owner, since it has their workspace's work.
            return "no primary is proven here any more"
        if not has_connection(request, group):
            return "no connection is free here"
        return ""

    async def send_ended(self, call, job):
        """Report the end of attempts whose result is no longer needed."""
        await job.wait_ended()
        if not self.closed:
            self.frames.send(encode(ReadEnded(call=call, orphaned=job.orphaned)))

    async def run_in_transaction(self, group, request, job):
        """Run a statement of a transaction, which its first statement opens."""
        held = self.transactions.get(request.transaction)
        if held is None:
            if not request.first:
                return aborted_reply("the transaction is not known here")
            transaction = Transaction(
                group=group,
                route=request.route,
                writes=request.opens_writing,
                arrived=job.arrived,
            )
            held = self.transactions[request.transaction] = HeldTransaction(
                transaction=transaction, last_active=self.proxy.clock()
            )
        async with held.lock:
            if held.ended or self.closed:
                return aborted_reply("the transaction was ended")
            held.request = request.request
            held.transaction.values_set = request.values_set
            reply = await self.run_held_statement(held, job)
            held.last_active = self.proxy.clock()
        if held.ended:
            self.transactions.pop(request.transaction, None)
        return reply

    async def run_held_statement(self, held, job):
        """Run a statement of a transaction whose lock is held."""
        job.arrived = held.transaction.arrived
        if job.statement.commits:
            held.ended = True
            return await held.transaction.commit(job)
        reply = await held.transaction.run(job)
        held.ended = not reply.ok
        return reply

    async def end_transaction(self, number):
        """Roll back a transaction, after the statement that runs in it."""
        held = self.transactions.get(number)
        if held is None:
            return
        async with held.lock:
            held.ended = True
            await held.transaction.close()
        self.transactions.pop(number, None)

    def send_leader_response(self, request):
        """Report when this daemon last proved a group's primary, and its position."""
        group = self.proxy.groups.get(request.group)
        age = group.watch.proof_age() if group is not None else None
        shown = group.floors.highest if group is not None else None
        self.respond(LeaderResponse(call=request.call, proof_age=age, shown=shown))

    async def send_grant_response(self, request):
        """Report how many operations of a workspace may begin."""
        answer = await self.proxy.usage.handle_request(request)
        self.respond(replace(answer, call=request.call))

    def respond_statement(self, request, group, **fields):
        """Send the response to a statement; `fields` of the response."""
        wait, pace = self.report_wait(request, group)
        if not fields["reply"].ok:
            self.proxy.request_log.count_refusal(
                request.route.group, "daemons", fields["reply"]
            )
        answer = StatementResponse(
            call=request.call,
            accepts_abandon=True,
            wait_ms=round(wait * 1000),
            pace_ms=round(pace * 1000),
            **fields,
        )
        if rows_size(answer.reply) <= MESSAGE_LIMIT // 2:
            self.respond(answer)
            return
        if request.transaction:
            self.spawn(self.end_transaction(request.transaction))
        self.respond(replace(answer, reply=too_large_reply(answer.reply)))

    def report_wait(self, request, group):
        """Return the expected wait for work like a request's, and its pace."""
        if group is None:
            return 0.0, 0.0
        writes = request.opens_writing or request.statement.writes
        return report_wait(
            group,
            request.credential.workspace,
            at_leader=needs_leader(request.route, writes),
        )

    def respond(self, answer):
        """Send a response unless the link is closed."""
        if not self.closed:
            self.frames.send(encode(answer))

    # Draining

    def send_leaving(self):
        """Ask the other daemon to send new work elsewhere."""
        drain_state = self.proxy.drain_state
        opens_for = drain_state.opens_for if drain_state else 0.0
        if not self.closed:
            self.frames.send(encode(Leaving(opens_for=opens_for)))

    def expire_transactions(self, idle):
        """Roll back transactions whose callers have paused for over `idle` seconds.

        Their own daemon does so earlier. If the link has gone silent its word does not
        arrive, and each such transaction would hold a connection for good.
        """
        limit = self.proxy.clock() - idle - IDLE_MARGIN
        for number, held in list(self.transactions.items()):
            if held.lock.locked() or held.last_active > limit:
                continue
            self.proxy.log(
                PART, "transaction expired", peer=self.peer, request=held.request
            )
            self.spawn(self.end_transaction(number))

    def end_idle_transactions(self):
        """Roll back transactions that wait for their callers.

        They stay recorded as ended, so that their next statement gets that answer.
        """
        for held in self.transactions.values():
            if not held.lock.locked() and not held.ended:
                held.ended = True
                self.proxy.drain_rollbacks += 1
                self.proxy.log(
                    PART, "transaction ended", peer=self.peer, request=held.request
                )
                self.spawn(held.transaction.close())


def has_connection(request, group):
    """Return whether a statement gets a connection here without a long wait.

    Without this check, when idle transactions hold all connections of one owner, others
    wait for them until their deadline although another owner has idle connections.
    """
    if request.transaction:
        return group.can_open_transaction(writes=request.opens_writing)
    return group.can_open_transaction(writes=request.statement.writes, soon=True)


def may_run_elsewhere(request, job, reply):
    """Return whether to retry at another owner what this owner's queue delays too long.

    Otherwise callers are refused by the owner that is tried first, which may run on a
    slow machine, while other owners could serve them.
    """
    inside = bool(request.transaction) and not request.first
    return (
        not reply.ok and bool(job.queue_wait) and not request.last_resort and not inside
    )


def make_job(request, proxy):
    """Create a statement's job; it arrives now, so that no floor is too old."""
    now = proxy.clock()
    return Job(
        request=request.request,
        statement=request.statement,
        route=request.route,
        arrived=now,
        deadline=proxy.deadline(now + request.left),
        values=request.values,
        prepared=request.prepared,
        own_floor=request.own_floor,
        credential=request.credential,
    )


def rows_size(reply):
    """The number of characters in a reply's rows."""
    return sum(map(len, reply.rows))


def too_large_reply(reply):
    """The refusal in place of an answer that no link can carry."""
    return Reply(
        refusal=Refusal.TOO_LARGE,
        detail=f"the answer has {rows_size(reply)} bytes, too many for another daemon",
    )


def not_run(detail):
    """The reply to a statement that was not started."""
    return Reply(refusal=Refusal.BUSY, detail=f"not run, {detail}")
