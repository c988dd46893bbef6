"""Queue of statements before an upstream; `gypsum_policy` decides the order."""

import asyncio

from gypsum_policy.admission import QueueTimeout, WorkQueue


class JobAbandoned(Exception):
    """The caller has left before the statement was sent."""


class QueuedStatement:
    """A statement's place in the queue; `async with` waits for it and holds it.

    It counts from its creation. Otherwise callers that arrive at the same moment would
    all see the same upstream idle and all go there.
    """

    def __init__(self, *, admission, job):
        self.admission = admission
        self.job = job
        self.claim = job.admission_request()
        self.ticket = admission.take_ticket(self.claim)
        self.started_at = admission.clock()
        self.released = False

    async def __aenter__(self):
        """Wait until admitted.

        Raises QueueTimeout if it would come too late, JobAbandoned if the caller leaves
        meanwhile.
        """
        if self.job.abandoned:
            self.release()
            raise JobAbandoned
        if self.ticket is not None:
            await self.wait_admitted()
            self.ticket = None
        self.started_at = self.admission.clock()

    async def wait_admitted(self):
        """Wait for the ticket's turn, or until the job is abandoned."""
        self.job.withdrawals.add(self.withdraw)
        try:
            await self.admission.wait(self.ticket, self.claim.deadline)
        finally:
            self.job.withdrawals.discard(self.withdraw)

    def withdraw(self):
        """Leave the queue: the job was abandoned."""
        self.admission.withdraw(self.ticket)

    async def __aexit__(self, kind, exc, trace):
        """Release the place when the statement ends."""
        self.release(answered=exc is None)

    def release(self, answered=False):
        """Release the place; later calls do nothing."""
        if self.released:
            return
        self.released = True
        if self.ticket is not None:
            self.admission.queue.withdraw(self.ticket)
            return
        now = self.admission.clock()
        self.admission.finished(now - self.started_at if answered else None)


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

    def enqueue(self, job):
        """A place for a job's statement; raises QueueTimeout if it comes too late."""
        return QueuedStatement(admission=self, job=job)

    def unqueued(self):
        """A place for a statement that must not wait."""
        return UnqueuedStatement(admission=self)

    def take_ticket(self, claim):
        """Enter the queue; None for a statement that may start at once."""
        return self.queue.admit(claim, self.clock())

    def finished(self, seconds):
        """Record a statement's end; `seconds` is its duration, None if unanswered."""
        self.queue.finish(self.clock(), seconds)
        self.admit_waiting()

    async def wait(self, ticket, deadline):
        """Wait until a ticket is admitted; raises QueueTimeout at the deadline."""
        fut = asyncio.get_running_loop().create_future()
        self.futures[ticket] = fut
        self.admit_waiting()
        try:
            async with asyncio.timeout(deadline - self.clock()):
                await fut
        except BaseException as exc:
            self.queue.withdraw(ticket)
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                # Admitted while it timed out or was cancelled: admit the next.
                self.finished(None)
            if isinstance(exc, TimeoutError):
                raise QueueTimeout(self.queue.mean_service_time) from None
            raise
        finally:
            self.futures.pop(ticket, None)

    def withdraw(self, ticket):
        """End the wait of a statement whose caller has left."""
        self.queue.withdraw(ticket)
        self.resolve(ticket, JobAbandoned())

    def admit_waiting(self):
        """Admit statements that may start and refuse those that would be too late."""
        now = self.clock()
        for ticket in self.queue.timed_out(now):
            if ticket in self.futures:
                self.queue.withdraw(ticket)
                self.resolve(ticket, QueueTimeout(self.queue.expected_wait(None, now)))
        while self.admit_next(now):
            pass

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
