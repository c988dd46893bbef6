"""Connections of this daemon to one upstream: few, kept, and shared in turn."""

import asyncio
from collections import deque

from gypsum_sessions.pooled import PooledConn
from gypsum_sessions.replies import UpstreamSilent


class ConnPool:
    """At most `limit` connections; who comes first is served first.

    A new connection costs an upstream tens of milliseconds of a slot, so one is
    opened only when all others are in use, and none is closed for being idle.
    """

    def __init__(self, *, member, dialer, limit, tuning):
        self.member = member
        self.dialer = dialer
        self.limit = limit
        self.tuning = tuning
        self.idle = []
        self.opened = 0
        self.in_use = 0
        self.dials = 0
        self.waiting = deque()
        self.closed = False

    async def acquire(self, *, values, timeout):
        """A connection, the one whose values fit best; raises UpstreamError."""
        pooled = self.take_idle(values)
        if pooled is not None:
            return pooled
        if self.opened < self.limit:
            return await self.open_one()
        return await self.wait_turn(values, timeout)

    def take_idle(self, values):
        """An idle connection, or None; dead ones are dropped on the way."""
        self.drop_dead()
        if not self.idle:
            return None
        best = max(
            range(len(self.idle)),
            key=lambda place: (self.idle[place].values == values, place),
        )
        self.in_use += 1
        return self.idle.pop(best)

    def drop_dead(self):
        """Forget idle connections that were closed by the other end."""
        alive = [item for item in self.idle if item.alive]
        self.opened -= len(self.idle) - len(alive)
        self.idle = alive

    async def open_one(self):
        """Open a connection."""
        self.opened += 1
        self.dials += 1
        try:
            conn = await self.dialer.dial(self.member, timeout=self.tuning.dial_timeout)
        except BaseException:
            self.opened -= 1
            self.wake_one()
            raise
        self.in_use += 1
        return PooledConn(upstream=self.member.id, conn=conn)

    async def wait_turn(self, values, timeout):
        """Wait until a connection is free or may be opened."""
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            async with asyncio.timeout(timeout):
                await turn
        except TimeoutError:
            if turn.done() and not turn.cancelled():
                self.wake_one()
            raise UpstreamSilent(
                "no free connection", step="acquire", peer=self.member.id
            ) from None
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.wake_one()
            raise
        finally:
            if turn in self.waiting:
                self.waiting.remove(turn)
        return await self.acquire(values=values, timeout=timeout)

    def release(self, pooled):
        """Give a connection back; a closed one makes room for a new one."""
        self.in_use -= 1
        if pooled.alive and not self.closed and not pooled.in_transaction:
            self.idle.append(pooled)
        else:
            pooled.conn.close()
            self.opened -= 1
        self.wake_one()

    def wake_one(self):
        """Let the first who still waits try again."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def close(self):
        """Close what is idle; what is in use is closed when it comes back."""
        self.closed = True
        for pooled in self.idle:
            pooled.conn.close()
        self.opened -= len(self.idle)
        self.idle = []
