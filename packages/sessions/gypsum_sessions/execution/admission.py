"""Statements wait here for their turn at an upstream; `gypsum_policy` decides whose."""

import asyncio

from gypsum_policy.admission import Hopeless, WorkQueue


class QueuedStatement:
    """A statement's place in the queue; `async with` waits for it and holds it.

    It counts from the moment at which it is made. What goes wrong otherwise: callers
    that come in the same instant all see the same upstream idle, and all go there.
    """

    def __init__(self, *, admission, claim):
        self.admission = admission
        self.claim = claim
        self.ticket = admission.take_ticket(claim)
        self.started_at = admission.clock()
        self.released = False

    async def __aenter__(self):
        """Wait until it is our turn; raises Hopeless if it would come too late."""
        if self.ticket is not None:
            await self.admission.wait(self.ticket, self.claim.deadline)
            self.ticket = None
        self.started_at = self.admission.clock()

    async def __aexit__(self, kind, exc, trace):
        """The statement has ended."""
        self.release(answered=exc is None)

    def release(self, answered=False):
        """Give the place up, once."""
        if self.released:
            return
        self.released = True
        if self.ticket is not None:
            self.admission.queue.leave(self.ticket)
            return
        now = self.admission.clock()
        self.admission.finished(now - self.started_at if answered else None)


class UnqueuedStatement:
    """A statement whose transaction is open: it counts and does not wait."""

    def __init__(self, *, admission):
        self.admission = admission

    async def __aenter__(self):
        """It starts."""
        self.admission.queue.join()

    async def __aexit__(self, kind, exc, trace):
        """It has ended."""
        self.admission.finished(None)


class AdmissionQueue:
    """The queue before one upstream."""

    def __init__(self, *, limit, mean, clock):
        self.queue = WorkQueue(limit=limit, mean=mean)
        self.clock = clock
        self.futures = {}

    def enqueue(self, claim):
        """A place for a statement; raises Hopeless if it would come too late."""
        return QueuedStatement(admission=self, claim=claim)

    def unqueued(self):
        """A place for a statement that may not wait."""
        return UnqueuedStatement(admission=self)

    def take_ticket(self, claim):
        """Enter the queue; None for a statement that may start at once."""
        return self.queue.enter(claim, self.clock())

    def finished(self, seconds):
        """A statement has ended, after so many seconds if it was answered."""
        self.queue.done(self.clock(), seconds)
        self.admit_waiting()

    async def wait(self, ticket, deadline):
        """Wait until a ticket may start; raises Hopeless at the end of its time."""
        fut = asyncio.get_running_loop().create_future()
        self.futures[ticket] = fut
        self.admit_waiting()
        try:
            async with asyncio.timeout(deadline - self.clock()):
                await fut
        except BaseException as exc:
            self.queue.leave(ticket)
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                # The turn came just as we gave up: it is the next one's.
                self.finished(None)
            if isinstance(exc, TimeoutError):
                raise Hopeless(self.queue.mean) from None
            raise
        finally:
            self.futures.pop(ticket, None)

    def admit_waiting(self):
        """Start whoever may, and refuse whom no turn would help any more."""
        now = self.clock()
        for ticket in self.queue.hopeless(now):
            if ticket in self.futures:
                self.queue.leave(ticket)
                self.resolve(ticket, Hopeless(self.queue.expected_wait(None, now)))
        while self.admit_next(now):
            pass

    def admit_next(self, now):
        """Start the next that waits; tell whether there was one."""
        ticket = self.queue.start_next(now, self.futures)
        if ticket is None:
            return False
        self.resolve(ticket, None)
        return True

    def resolve(self, ticket, refusal):
        """End the wait of a ticket."""
        fut = self.futures[ticket]
        if fut.done():
            if refusal is None:
                self.queue.done(self.clock())
        elif refusal is None:
            fut.set_result(None)
        else:
            fut.set_exception(refusal)
