"""Connections of this daemon to one upstream: few, kept, and shared in turn."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass

from gypsum_policy.connections import may_hold, to_close
from gypsum_sessions.replies import (
    NoFreeConnection,
    Refusal,
    UpstreamLost,
    UpstreamRefused,
)
from gypsum_sessions.upstreams.pooled import PooledConn


@dataclass(slots=True, kw_only=True, eq=False)
class Waiter:
    """One who waits for a connection of a workspace, of any if that is None."""

    future: asyncio.Future
    workspace: str | None


class ConnPool:
    """At most `limit` connections; who comes first is served first.

    A new connection costs an upstream tens of milliseconds of a slot, so one is
    opened only when no other of its workspace is idle. At the limit an idle one of
    another workspace gives way to it. Questions of our own take any connection.
    """

    def __init__(self, *, member, dialer, limit, clock, tuning):
        self.member = member
        self.dialer = dialer
        self.limit = limit
        self.clock = clock
        self.tuning = tuning
        self.idle = []
        self.open_count = 0
        self.checked_out = set()
        # The usual time of a dial, seconds.
        self.mean_dial_time = tuning.first_dial
        # Connections in use by workspace, and those that gave way to another's.
        self.in_use_by_workspace = Counter()
        self.displaced = 0
        self.dials = 0
        self.waiting = deque()
        self.closed = False
        self.next_dial_at = 0.0
        self.dial_backoff = 0.0
        self.refused_at_limit = False

    async def acquire(
        self, *, values, timeout, urgent=False, prefer_oldest=False, workspace=None
    ):
        """Acquire a connection, preferring one whose values match; raises UpstreamError.

        An `urgent` caller goes before all waiting ones and may open one connection
        beyond the limit: for short queries that others wait for. `prefer_oldest` picks
        the idle connection that was opened first. The connection belongs to
        `workspace`; with None, any connection will do.
        """
        until = self.clock() + timeout
        next_in_line = urgent
        while True:
            if next_in_line or not self.has_servable_waiter():
                pooled = self.take_idle(values, prefer_oldest, workspace)
                if pooled is not None:
                    return pooled
                if self.can_dial(urgent, workspace):
                    opened = await self.open_unless_full(workspace or "")
                    if opened is not None:
                        return opened
                if not self.open_count:
                    raise self.backoff_error()
            await self.wait_for_connection(
                until - self.clock(), next_in_line, workspace
            )
            next_in_line = True

    def has_servable_waiter(self):
        """Tell whether somebody waits who would be served now.

        What goes wrong without it: callers of a busy workspace take each connection as
        it comes back, and those of the others wait until their deadline.
        """
        return any(self.can_serve(waiter) for waiter in self.waiting)

    def can_serve(self, waiter):
        """Tell whether a connection that is free would be of use to who waits."""
        if waiter.future.done():
            return False
        name = waiter.workspace
        if name is None or any(item.workspace == name for item in self.idle):
            return True
        room = self.idle or self.open_count < self.limit
        if not room or self.clock() < self.next_dial_at:
            return False
        return may_hold(self.in_use_by_workspace, workspace=name, limit=self.limit)

    def can_dial(self, urgent, workspace):
        """Tell whether a connection may be opened now; makes room for it if need be."""
        if self.clock() < self.next_dial_at:
            return False
        if not may_hold(
            self.in_use_by_workspace, workspace=workspace or "", limit=self.limit
        ):
            return False
        if self.below_limit(urgent):
            return True
        return workspace is not None and self.evict_idle()

    def evict_idle(self):
        """Close idle connections that will be missed least; tell if one may be opened.

        Two of them where a proof has opened one beyond the limit.
        """
        while self.idle and self.open_count >= self.limit:
            index = to_close([(item.workspace, item.idle_since) for item in self.idle])
            self.idle.pop(index).conn.close()
            self.open_count -= 1
            self.displaced += 1
        return self.open_count < self.limit

    def below_limit(self, urgent):
        """Tell whether one more connection may be opened."""
        return self.open_count < self.limit + (1 if urgent else 0)

    def set_limit(self, limit):
        """Change the limit; who waits may open what it allows now."""
        raised = limit > self.limit
        self.limit = limit
        if raised:
            self.wake_next()

    async def open_new(self):
        """A connection that was just opened, also where others are idle.

        Raises UpstreamError. If the pool is full already the oldest idle one is closed.
        """
        if self.idle and not self.below_limit(True):
            self.idle.pop(0).conn.close()
            self.open_count -= 1
        return await self.open_connection()

    def dial_cost(self, workspace):
        """Seconds that a new connection takes, 0 if a workspace has one idle.

        Where callers show no key any connection will do, and few are opened.
        """
        if not workspace or any(item.workspace == workspace for item in self.idle):
            return 0.0
        return self.mean_dial_time

    @property
    def in_use(self):
        """Connections in use."""
        return len(self.checked_out)

    def may_free_soon(self):
        """Tell whether a connection is used by no transaction, which might pause."""
        return any(not item.in_transaction for item in self.checked_out)

    def has_capacity(self):
        """Tell whether a connection can be had without waiting for another's end."""
        self.prune_closed()
        return bool(self.idle) or self.open_count < self.limit

    def take_idle(self, values, prefer_oldest=False, workspace=None):
        """An idle connection, or None; dead ones are dropped on the way."""
        self.prune_closed()
        indexes = [
            index
            for index, item in enumerate(self.idle)
            if workspace is None or item.workspace == workspace
        ]
        if not indexes:
            return None
        if prefer_oldest:
            best = min(indexes, key=lambda index: self.idle[index].opened_at)
        else:
            best = max(
                indexes, key=lambda index: (self.idle[index].values == values, index)
            )
        return self.check_out(self.idle.pop(best))

    def check_out(self, pooled):
        """Count a connection as in use."""
        self.checked_out.add(pooled)
        self.in_use_by_workspace[pooled.workspace] += 1
        return pooled

    def prune_closed(self):
        """Forget idle connections that were closed by the other end."""
        alive = [item for item in self.idle if item.alive]
        self.open_count -= len(self.idle) - len(alive)
        self.idle = alive

    async def open_unless_full(self, workspace):
        """Open a connection; None if the upstream takes no more and others are open.

        What goes wrong when its refusal is passed on: a statement fails, and the
        upstream counts as failing, though a connection of ours is free in a moment.
        """
        try:
            return await self.open_connection(workspace)
        except UpstreamRefused as exc:
            if exc.at_limit and self.open_count:
                return None
            raise

    def backoff_error(self):
        """The error of a statement that comes while dialling is put off."""
        if self.refused_at_limit:
            return UpstreamRefused(
                "no new dial yet",
                step="acquire",
                peer=self.member.id,
                refusal=Refusal.CONNECTION_LIMIT,
            )
        return UpstreamLost(
            "no new dial yet", step="acquire", peer=self.member.id, sent=False
        )

    async def open_connection(self, workspace=""):
        """Open a connection."""
        self.open_count += 1
        self.dials += 1
        started_at = self.clock()
        try:
            conn = await self.dialer.dial(
                self.member, timeout=self.tuning.dial_timeout, workspace=workspace
            )
        except BaseException as exc:
            self.open_count -= 1
            self.refused_at_limit = isinstance(exc, UpstreamRefused) and exc.at_limit
            self.start_backoff()
            self.wake_next()
            raise
        self.dial_backoff = 0.0
        self.refused_at_limit = False
        spent = self.clock() - started_at
        self.mean_dial_time += self.tuning.mean_weight * (spent - self.mean_dial_time)
        return self.check_out(
            PooledConn(
                upstream=self.member.id,
                conn=conn,
                workspace=workspace,
                opened_at=self.clock(),
            )
        )

    def start_backoff(self):
        """After a failed dial the next one waits, longer each time.

        Not so at an upstream's limit: it has room again at any moment.
        """
        if self.refused_at_limit:
            self.dial_backoff = self.tuning.redial_full
        else:
            self.dial_backoff = min(
                max(self.tuning.redial_first, 2 * self.dial_backoff),
                self.tuning.redial_most,
            )
        self.next_dial_at = self.clock() + self.dial_backoff

    async def wait_for_connection(self, timeout, at_front, workspace):
        """Wait until a connection is free or may be opened."""
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(future=future, workspace=workspace)
        if at_front:
            self.waiting.appendleft(waiter)
        else:
            self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                await future
        except BaseException as exc:
            if future.done() and not future.cancelled():
                # The turn came just as we gave up: it is the next one's.
                self.wake_next()
            if isinstance(exc, TimeoutError):
                raise NoFreeConnection(
                    "no free connection", step="acquire", peer=self.member.id
                ) from None
            raise
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def release(self, pooled):
        """Give a connection back; a closed one makes room for a new one."""
        self.checked_out.discard(pooled)
        self.in_use_by_workspace[pooled.workspace] -= 1
        if pooled.alive and not self.closed and not pooled.in_transaction:
            pooled.idle_since = self.clock()
            self.idle.append(pooled)
        else:
            pooled.conn.close()
            self.open_count -= 1
        self.wake_next()

    def wake_next(self):
        """Let the first who still waits, and would be served, try again."""
        for waiter in self.waiting:
            if self.can_serve(waiter):
                self.waiting.remove(waiter)
                waiter.future.set_result(None)
                return

    def close_surplus(self):
        """Close what was not needed for a while, but for one connection.

        What goes wrong without it: after a rush every daemon holds its full share
        for ever, and together with the connections for proofs and commands that is
        more than an upstream takes.
        """
        now = self.clock()
        old = [
            item
            for item in self.idle
            if now - item.idle_since > self.idle_timeout(item)
        ]
        for pooled in old[: self.open_count - 1]:
            pooled.conn.close()
        self.prune_closed()

    def idle_timeout(self, pooled):
        """Seconds for which a connection that is not needed is kept."""
        tuning = self.tuning
        return tuning.idle_limit_named if pooled.workspace else tuning.idle_limit

    def close(self):
        """Close what is idle; what is in use is closed when it comes back."""
        self.closed = True
        for pooled in self.idle:
            pooled.conn.close()
        self.open_count -= len(self.idle)
        self.idle = []
