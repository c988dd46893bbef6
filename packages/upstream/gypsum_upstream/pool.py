"""A bounded pool of connections to one upstream."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

CONNECTS_AT_ONCE = 2
WARM_RETRY = 0.5


@dataclass(slots=True, kw_only=True, eq=False)
class Pooled:
    """A pooled connection, its generation and whether its session may write."""

    conn: Any
    generation: int
    read_only: bool = False


class Pool:
    """Connections to one upstream, never more than `limit` at once.

    Opening costs tens of milliseconds, so `target` connections are kept open
    before they are needed, and only a few are opened at a time: a mass of
    requests after a promotion must not become a mass of connects.
    """

    def __init__(self, *, connect: Callable[[], Awaitable[Any]], limit, target):
        self.connect = connect
        self.limit = limit
        self.target = target
        self.idle = deque()
        self.opened = 0
        self.peak = 0
        self.waits = 0
        self.generation = 0
        self.waiters = deque()
        self.gate = asyncio.Semaphore(CONNECTS_AT_ONCE)
        self.warming = None
        self.closed = False

    def resize(self, *, limit, target):
        """Take other bounds; surplus connections close as they come back."""
        self.limit = limit
        self.target = target
        while self.idle and self.opened > limit:
            self.shut(self.idle.popleft())
        self.warm()

    async def acquire(self, *, read_only=False):
        """An open connection, if possible one whose session is set as asked.

        Waits for one when the limit is reached.
        """
        if self.idle:
            return self.take_idle(read_only)
        self.waits += 1
        if self.opened < self.limit:
            return await self.open()
        fut = asyncio.get_running_loop().create_future()
        self.waiters.append(fut)
        try:
            pooled = await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.result() is not None:
                self.release(fut.result())
            raise
        return pooled if pooled is not None else await self.open()

    def take_idle(self, read_only):
        """The last used idle connection of the wanted setting, else any."""
        for pooled in reversed(self.idle):
            if pooled.read_only == read_only:
                self.idle.remove(pooled)
                return pooled
        return self.idle.pop()

    async def open(self):
        """Open one more connection; it counts from now on."""
        self.opened += 1
        self.peak = max(self.peak, self.opened)
        generation = self.generation
        try:
            async with self.gate:
                conn = await self.connect()
        except BaseException:
            self.opened -= 1
            self.wake()
            raise
        return Pooled(conn=conn, generation=generation)

    def release(self, pooled):
        """Take a connection back in good order."""
        outdated = pooled.generation != self.generation
        if self.closed or outdated or self.opened > self.limit:
            self.shut(pooled)
            return
        while self.waiters:
            fut = self.waiters.popleft()
            if not fut.done():
                fut.set_result(pooled)
                return
        self.idle.append(pooled)

    def shut(self, pooled):
        """Close a connection for good; never reused after an abnormal end."""
        self.opened -= 1
        pooled.conn.close()
        self.wake()
        self.warm()

    def wake(self):
        """Let a waiter open a connection in the room that has come free."""
        while self.waiters and self.opened < self.limit:
            fut = self.waiters.popleft()
            if not fut.done():
                fut.set_result(None)
                return

    def drop_idle(self):
        """Close what is idle; what is in use closes when it comes back.

        Open connections can go silent for good while new ones work: a reused
        one would swallow a request until its deadline.
        """
        self.generation += 1
        while self.idle:
            self.shut(self.idle.popleft())

    def warm(self):
        """Open connections in the background up to the target."""
        if self.closed or (self.warming and not self.warming.done()):
            return
        if self.opened < min(self.target, self.limit):
            self.warming = asyncio.ensure_future(self.fill())

    async def fill(self):
        """Open one connection after the other until the target is met."""
        while not self.closed and self.opened < min(self.target, self.limit):
            try:
                self.release(await self.open())
            except Exception:
                # The upstream is away; probes report that, here we only wait.
                await asyncio.sleep(WARM_RETRY)

    def close(self):
        """Close everything that is idle; the rest closes when it comes back."""
        self.closed = True
        if self.warming:
            self.warming.cancel()
        self.drop_idle()
