"""Queue of statements before an upstream; `gypsum_policy` decides the order."""

import asyncio

from gypsum_policy.admission import QueueTimeout, RefusalCause, WorkQueue

# Waiting statements are judged again this often, seconds: an upstream that has become
# silent ends no statement that would give the occasion.
JUDGE_INTERVAL = 0.05


class JobAbandoned(Exception):
    """The caller has left before the statement was sent."""


class UpstreamUnusable(Exception):
    """The upstream can't run a waiting statement any more; it has not been sent."""


class QueuedStatement:
    """A statement's place in the queue; `async with` waits for it and holds it.

    It counts from its creation. Otherwise callers that arrive at the same moment would
    all see the same upstream idle and all go there. `usable` tells whether the upstream
    can still run it.
    """

    def __init__(self, *, admission, job, kind=None, usable=None):
        self.admission = admission
        self.job = job
        self.usable = usable
        self.claim = job.admission_request(kind)
        self.ticket = admission.take_ticket(self.claim)
        self.started_at = admission.clock()
        self.released = False

    async def __aenter__(self):
        """Wait until admitted.

        Raises QueueTimeout if it would come too late, JobAbandoned if the caller leaves
        meanwhile, UpstreamUnusable if the upstream can't run it any more.
        """
        if self.job.abandoned:
            self.release()
            raise JobAbandoned
        if self.ticket is not None:
            await self.wait_admitted()
            self.ticket = None
        self.started_at = self.admission.clock()
        return self

    async def wait_admitted(self):
        """Wait for the ticket's turn, or until the job is abandoned."""
        self.job.withdrawals.add(self.withdraw)
        try:
            await self.admission.wait(self.ticket, self.claim.deadline, self.usable)
        finally:
            self.job.withdrawals.discard(self.withdraw)

    def withdraw(self):
        """Leave the queue: the job was abandoned."""
        self.admission.withdraw(self.ticket, JobAbandoned())

    async def __aexit__(self, kind, exc, trace):
        """Release the place when the statement ends."""
        self.release(answered=exc is None)

    def release(self, answered=False):
        """Release the place; later calls do nothing.

        Only the time of an answer counts as a service time: a refusal takes a round
        trip, and with those among the times forecasts would promise far too much.
        """
        if self.released:
            return
        self.released = True
        if self.ticket is not None:
            self.admission.queue.withdraw(self.ticket)
            return
        now = self.admission.clock()
        seconds = now - self.started_at if answered else None
        self.admission.finished(seconds, self.claim.kind)


class UnqueuedStatement:
    """A statement in an open transaction: it counts but does not wait."""

    def __init__(self, *, admission):
        self.admission = admission

    async def __aenter__(self):
        """Count the statement as running."""
        self.admission.queue.start_unqueued()

    async def __aexit__(self, kind, exc, trace):
        """Stop counting the statement."""
        self.admission.finished(None)


class AdmissionQueue:
    """The queue before one upstream."""

    def __init__(self, *, limit, mean, clock):
        self.queue = WorkQueue(limit=limit, mean_service_time=mean)
        self.clock = clock
        self.futures = {}
        self.usable = {}
        self.timer = None

    def enqueue(self, job, kind=None, usable=None):
        """A place for a statement; raises QueueTimeout if it would come too late.

        `kind` is that of a statement that the proxy sends for the job; see
        QueuedStatement for `usable`.
        """
        return QueuedStatement(admission=self, job=job, kind=kind, usable=usable)

    def unqueued(self):
        """A place for a statement that must not wait."""
        return UnqueuedStatement(admission=self)

    def take_ticket(self, claim):
        """Enter the queue; None for a statement that may start at once."""
        return self.queue.admit(claim, self.clock())

    def finished(self, seconds, kind=""):
        """Record a statement's end; `seconds` is its duration, None if unanswered."""
        self.queue.finish(self.clock(), seconds, kind)
        self.admit_waiting()

    def record_answer(self, kind, seconds):
        """Record the time in which the upstream answered a statement."""
        self.queue.record_answer(kind, seconds)

    def has_time(self, job):
        """Return whether the upstream could answer a job in time if it is sent now.

        By its fastest answer: a mean would hold back a kind whose first one was slow.
        A job that has more than half of its time left is sent in any case: if the only
        answer so far took that long, no other would ever show a faster one.
        """
        shortest = self.queue.answer_times.shortest(job.kind)
        half = job.route.statement_timeout / 2
        return job.time_left(self.clock) > min(shortest, half)

    async def wait(self, ticket, deadline, usable=None):
        """Wait until a ticket is admitted; raises QueueTimeout if that is too late."""
        fut = asyncio.get_running_loop().create_future()
        self.futures[ticket] = fut
        self.usable[ticket] = usable
        self.admit_waiting()
        self.start_timer()
        try:
            async with asyncio.timeout(deadline - self.clock()):
                await fut
        except BaseException as exc:
            refusal = self.refuse(ticket) if isinstance(exc, TimeoutError) else exc
            self.queue.withdraw(ticket)
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                # Admitted while it timed out or was cancelled: admit the next.
                self.finished(None)
            raise refusal from None
        finally:
            self.futures.pop(ticket, None)
            self.usable.pop(ticket, None)

    def refuse(self, ticket):
        """Remove a statement that is too late; returns its QueueTimeout."""
        if ticket in self.queue.waiting:
            return self.queue.refuse(ticket, self.clock())
        wait = self.queue.mean_service_time
        return QueueTimeout(wait, cause=RefusalCause.TOO_LITTLE_TIME)

    def withdraw(self, ticket, exc):
        """End the wait of a statement that is not to be sent any more."""
        self.queue.withdraw(ticket)
        self.resolve(ticket, exc)

    def start_timer(self):
        """Judge the waiting statements again after a while."""
        if self.timer is None and self.futures:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(JUDGE_INTERVAL, self.judge_again)

    def judge_again(self):
        """Refuse what can't be answered in time any more and admit what may start."""
        self.timer = None
        now = self.clock()
        self.withdraw_unusable()
        for ticket in self.queue.timed_out(now):
            if ticket in self.futures:
                self.resolve(ticket, self.queue.refuse(ticket, now))
        self.admit_waiting()
        self.start_timer()

    def admit_waiting(self):
        """Admit statements that may start."""
        now = self.clock()
        while self.admit_next(now):
            pass

    def withdraw_unusable(self):
        """End the waits of statements that the upstream can't run any more."""
        for ticket, usable in list(self.usable.items()):
            if usable is not None and ticket in self.queue.waiting and not usable():
                self.withdraw(ticket, UpstreamUnusable())

    def admit_next(self, now):
        """Admit the next waiting statement; returns whether there was one."""
        ticket = self.queue.start_next(now, self.futures)
        if ticket is None:
            return False
        self.resolve(ticket, None)
        return True

    def resolve(self, ticket, refusal):
        """End the wait of a ticket: admitted, or refused with an exception."""
        fut = self.futures[ticket]
        if fut.done():
            if refusal is None:
                self.queue.finish(self.clock())
        elif refusal is None:
            fut.set_result(None)
        else:
            fut.set_exception(refusal)
