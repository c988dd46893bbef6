"""A bounded pool of connections to one upstream."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

MAX_CONCURRENT_CONNECTS = 2
WARM_RETRY_DELAY = 0.5


@dataclass(slots=True, kw_only=True, eq=False)
class PooledConn:
    """A pooled connection, its generation and whether its session is read only."""

    conn: Any
    generation: int
    read_only: bool = False


class Pool:
    """Connections to one upstream, never more than `limit` at once.

    Opening a connection takes tens of milliseconds, so `target` connections are opened
    in advance. The number of concurrent connects is limited, so that a burst of
    requests after a promotion does not become a burst of connects.
    """

    def __init__(self, *, connect: Callable[[], Awaitable[Any]], limit, target):
        self.connect = connect
        self.limit = limit
        self.target = target
        self.idle = deque()
        self.open_count = 0
        self.peak = 0
        self.waits = 0
        self.generation = 0
        self.waiters = deque()
        self.connect_semaphore = asyncio.Semaphore(MAX_CONCURRENT_CONNECTS)
        self.warm_task = None
        self.closed = False

    def resize(self, *, limit, target):
        """Set the bounds; surplus connections are closed when they are released."""
        self.limit = limit
        self.target = target
        while self.idle and self.open_count > limit:
            self.close_connection(self.idle.popleft())
        self.warm()

    async def acquire(self, *, read_only=False):
        """Return an open connection, preferably with the requested session mode.

        Waits while the limit is reached.
        """
        if self.idle:
            return self.take_idle(read_only)
        self.waits += 1
        if self.open_count < self.limit:
            return await self.open_connection()
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            pooled = await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result() is not None:
                self.release(waiter.result())
            raise
        return pooled if pooled is not None else await self.open_connection()

    def take_idle(self, read_only):
        """Return the most recently used idle connection, if possible of this mode."""
        for pooled in reversed(self.idle):
            if pooled.read_only == read_only:
                self.idle.remove(pooled)
                return pooled
        return self.idle.pop()

    async def open_connection(self):
        """Open a connection; it counts towards the limit while it connects."""
        self.open_count += 1
        self.peak = max(self.peak, self.open_count)
        generation = self.generation
        try:
            async with self.connect_semaphore:
                conn = await self.connect()
        except BaseException:
            self.open_count -= 1
            self.wake_waiter()
            raise
        return PooledConn(conn=conn, generation=generation)

    def release(self, pooled):
        """Return a usable connection to the pool or hand it to a waiter."""
        outdated = pooled.generation != self.generation
        if self.closed or outdated or self.open_count > self.limit:
            self.close_connection(pooled)
            return
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(pooled)
                return
        self.idle.append(pooled)

    def close_connection(self, pooled):
        """Close a connection, as after any error that leaves its state unknown."""
        self.open_count -= 1
        pooled.conn.close()
        self.wake_waiter()
        self.warm()

    def wake_waiter(self):
        """Let the next waiter open a connection if the limit allows it."""
        while self.waiters and self.open_count < self.limit:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def close_idle(self):
        """Close idle connections; those in use are closed when released.

        Open connections can become silent permanently while new ones work. A reused one
        would block a request until its deadline.
        """
        self.generation += 1
        while self.idle:
            self.close_connection(self.idle.popleft())

    def warm(self):
        """Start opening connections in the background up to the target."""
        if self.closed or (self.warm_task and not self.warm_task.done()):
            return
        if self.open_count < min(self.target, self.limit):
            self.warm_task = asyncio.ensure_future(self.open_to_target())

    async def open_to_target(self):
        """Open connections one at a time until the target is reached."""
        while not self.closed and self.open_count < min(self.target, self.limit):
            try:
                self.release(await self.open_connection())
            except Exception:
                # The upstream is unreachable. Probes report that; only retry here.
                await asyncio.sleep(WARM_RETRY_DELAY)

    def close(self):
        """Close idle connections; those in use are closed when released."""
        self.closed = True
        if self.warm_task:
            self.warm_task.cancel()
        self.close_idle()
