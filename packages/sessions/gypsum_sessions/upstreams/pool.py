"""Pool of this daemon's connections to one upstream."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass

from gypsum_policy.connections import index_to_evict, may_hold
from gypsum_sessions.replies import (
    NoFreeConnection,
    Refusal,
    UpstreamLost,
    UpstreamRefused,
)
from gypsum_sessions.upstreams.pooled import PooledConn


@dataclass(slots=True, kw_only=True, eq=False)
class Waiter:
    """A caller that waits for a connection of a workspace; of any, if that is None."""

    future: asyncio.Future
    workspace: str | None


class ConnPool:
    """At most `limit` connections, given out in the order of requests.

    Opening a connection costs the upstream tens of milliseconds of a slot, so a new one
    is opened only if the workspace has none idle. At the limit, an idle connection of
    another workspace is closed to make room. The daemon's own queries take any
    connection.
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
        # Connections on which a statement still runs that outlasted its timeout. They
        # are not part of `open_count` and give way to new connections.
        self.lingering = []
        # Running mean of the time to open a connection, seconds.
        self.mean_dial_time = tuning.initial_dial_time
        self.in_use_by_workspace = Counter()
        # Idle connections closed to make room for another workspace's.
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
        """Acquire a connection, the one whose values match best; raises UpstreamError.

        An `urgent` caller goes before all that wait and may open one connection beyond
        the limit: for short queries that other work depends on. `prefer_oldest` picks
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
        """Return whether a waiting caller could be served now.

        New requests queue behind it. Otherwise callers of a busy workspace would take
        each connection as it is released, and those of other workspaces would wait
        until their deadline.
        """
        return any(self.can_serve(waiter) for waiter in self.waiting)

    def can_serve(self, waiter):
        """Return whether a waiter could use an idle connection or open a new one."""
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
        """Return whether a connection may be opened; evicts an idle one if needed."""
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
        """Close the idle connections least likely to be needed until below the limit.

        Closes two if an urgent caller has opened one beyond the limit. Returns whether
        a connection may be opened.
        """
        while self.idle and self.open_count >= self.limit:
            index = index_to_evict(
                [(item.workspace, item.idle_since) for item in self.idle]
            )
            self.idle.pop(index).conn.close()
            self.open_count -= 1
            self.displaced += 1
        return self.open_count < self.limit

    def below_limit(self, urgent):
        """Return whether one more connection may be opened."""
        return self.open_count < self.limit + (1 if urgent else 0)

    def set_limit(self, limit):
        """Change the limit and wake a waiter if it was raised."""
        raised = limit > self.limit
        self.limit = limit
        if raised:
            self.wake_next()

    async def open_new(self):
        """Open a connection even if others are idle.

        Raises UpstreamError. If the pool is full, the oldest idle connection is closed.
        """
        if self.idle and not self.below_limit(True):
            self.idle.pop(0).conn.close()
            self.open_count -= 1
        return await self.open_connection()

    def dial_cost(self, workspace):
        """Expected seconds to open a connection, 0 if the workspace has one idle.

        Also 0 without a workspace: any connection will do then, so that few are opened.
        """
        if not workspace or any(item.workspace == workspace for item in self.idle):
            return 0.0
        return self.mean_dial_time

    @property
    def in_use(self):
        """Number of connections in use."""
        return len(self.checked_out)

    def oldest_opened_at(self):
        """When the oldest open connection was opened; None if there is none."""
        opened = [
            item.opened_at for item in (*self.idle, *self.checked_out) if item.alive
        ]
        return min(opened, default=None)

    def may_free_soon(self):
        """Return whether a connection is in use outside of a transaction.

        A transaction may pause between statements and holds its connection meanwhile.
        """
        return any(not item.in_transaction for item in self.checked_out)

    def has_capacity(self):
        """Return whether a connection is idle or may be opened."""
        self.prune_closed()
        return bool(self.idle) or self.open_count < self.limit

    def take_idle(self, values, prefer_oldest=False, workspace=None):
        """Take an idle connection, or None; connections found closed are removed."""
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
        """Mark a connection as in use."""
        self.checked_out.add(pooled)
        self.in_use_by_workspace[pooled.workspace] += 1
        return pooled

    def prune_closed(self):
        """Remove idle connections that the upstream has closed."""
        alive = [item for item in self.idle if item.alive]
        self.open_count -= len(self.idle) - len(alive)
        self.idle = alive

    async def open_unless_full(self, workspace):
        """Open a connection; None if the upstream is at its limit and others are open.

        If that refusal were raised, the statement would fail and the upstream would
        count as failing, although a connection of this pool is free a moment later.
        """
        try:
            return await self.open_connection(workspace)
        except UpstreamRefused as exc:
            if exc.at_limit and self.open_count:
                return None
            raise

    def backoff_error(self):
        """The error for a statement that arrives during the dial backoff."""
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
        """Open a connection; raises UpstreamError."""
        self.open_count += 1
        self.close_lingering(keep=self.limit - self.open_count)
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
        """Delay the next dial after a failed one, longer each time.

        The delay is constant if the upstream is at its connection limit, since it may
        have room again at any moment.
        """
        if self.refused_at_limit:
            self.dial_backoff = self.tuning.redial_delay_at_limit
        else:
            self.dial_backoff = min(
                max(self.tuning.redial_backoff_min, 2 * self.dial_backoff),
                self.tuning.redial_backoff_max,
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
                # Woken while it timed out or was cancelled: wake the next waiter.
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
        """Return a connection to the pool; one that can't be reused is closed."""
        self.checked_out.discard(pooled)
        self.in_use_by_workspace[pooled.workspace] -= 1
        if pooled.unanswered is not None and pooled.alive and not self.closed:
            self.set_aside(pooled)
        elif pooled.alive and not self.closed and not pooled.in_transaction:
            pooled.idle_since = self.clock()
            self.idle.append(pooled)
        else:
            pooled.conn.close()
            self.open_count -= 1
        self.wake_next()

    def set_aside(self, pooled):
        """Keep a connection until the statement that still runs on it has ended."""
        self.open_count -= 1
        self.lingering.append(pooled)
        pooled.unanswered.add_done_callback(lambda _: self.close_aside(pooled))

    def close_aside(self, pooled):
        """Close a connection that was set aside."""
        if pooled in self.lingering:
            self.lingering.remove(pooled)
        pooled.conn.close()

    def close_lingering(self, *, keep):
        """Close the oldest connections that were set aside, all but `keep`."""
        while len(self.lingering) > max(0, keep):
            self.close_aside(self.lingering[0])

    def wake_next(self):
        """Wake the first waiter that could be served."""
        for waiter in self.waiting:
            if self.can_serve(waiter):
                self.waiting.remove(waiter)
                waiter.future.set_result(None)
                return

    def close_surplus(self):
        """Close connections that have been idle too long, but keep one.

        Otherwise every daemon would keep its full share indefinitely after a load peak.
        Together with the connections for proofs of leadership and for commands, that
        exceeds what an upstream accepts.
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
        """Seconds after which an idle connection is closed."""
        tuning = self.tuning
        return (
            tuning.workspace_idle_timeout if pooled.workspace else tuning.idle_timeout
        )

    def close(self):
        """Close idle connections; those in use are closed when they are released."""
        self.closed = True
        self.close_lingering(keep=0)
        for pooled in self.idle:
            pooled.conn.close()
        self.open_count -= len(self.idle)
        self.idle = []
