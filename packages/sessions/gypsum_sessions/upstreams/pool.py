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

    turn: asyncio.Future
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
        self.opened = 0
        self.used = set()
        # The usual time of a dial, seconds.
        self.dial_mean = tuning.initial_dial_time
        # Connections in use by workspace, and those that gave way to another's.
        self.held = Counter()
        self.displaced = 0
        self.dials = 0
        self.waiting = deque()
        self.closed = False
        self.redial_at = 0.0
        self.redial_after = 0.0
        self.at_limit = False

    async def acquire(
        self, *, values, timeout, first=False, oldest=False, workspace=None
    ):
        """A connection, the one whose values fit best; raises UpstreamError.

        `first` goes before all that wait, and may open one connection beyond the limit:
        for short questions on which others wait. `oldest` prefers the connection that
        was opened first. It is one of `workspace`; any will do where that is None.
        """
        until = self.clock() + timeout
        next_in_line = first
        while True:
            if next_in_line or not self.others_wait():
                pooled = self.take_idle(values, oldest, workspace)
                if pooled is not None:
                    return pooled
                if self.may_dial(first, workspace):
                    opened = await self.open_or_wait(workspace or "")
                    if opened is not None:
                        return opened
                if not self.opened:
                    raise self.no_dial_yet()
            await self.wait_turn(until - self.clock(), next_in_line, workspace)
            next_in_line = True

    def others_wait(self):
        """Tell whether somebody waits who would be served now.

        What goes wrong without it: callers of a busy workspace take each connection as
        it comes back, and those of the others wait until their deadline.
        """
        return any(self.can_serve(waiter) for waiter in self.waiting)

    def can_serve(self, waiter):
        """Tell whether a connection that is free would be of use to who waits."""
        if waiter.turn.done():
            return False
        name = waiter.workspace
        if name is None or any(item.workspace == name for item in self.idle):
            return True
        room = self.idle or self.opened < self.limit
        if not room or self.clock() < self.redial_at:
            return False
        return may_hold(self.held, workspace=name, limit=self.limit)

    def may_dial(self, first, workspace):
        """Tell whether a connection may be opened now; makes room for it if need be."""
        if self.clock() < self.redial_at:
            return False
        if not may_hold(self.held, workspace=workspace or "", limit=self.limit):
            return False
        if self.may_open(first):
            return True
        return workspace is not None and self.make_room()

    def make_room(self):
        """Close idle connections that will be missed least; tell if one may be opened.

        Two of them where a proof has opened one beyond the limit.
        """
        while self.idle and self.opened >= self.limit:
            place = to_close([(item.workspace, item.idle_since) for item in self.idle])
            self.idle.pop(place).conn.close()
            self.opened -= 1
            self.displaced += 1
        return self.opened < self.limit

    def may_open(self, first):
        """Tell whether one more connection may be opened."""
        return self.opened < self.limit + (1 if first else 0)

    def set_limit(self, limit):
        """Change the limit; who waits may open what it allows now."""
        raised = limit > self.limit
        self.limit = limit
        if raised:
            self.wake_one()

    async def open_fresh(self):
        """A connection that was just opened, also where others are idle.

        Raises UpstreamError. If the pool is full already the oldest idle one is closed.
        """
        if self.idle and not self.may_open(True):
            self.idle.pop(0).conn.close()
            self.opened -= 1
        return await self.open_one()

    def opening_cost(self, workspace):
        """Seconds that a new connection takes, 0 if a workspace has one idle.

        Where callers show no key any connection will do, and few are opened.
        """
        if not workspace or any(item.workspace == workspace for item in self.idle):
            return 0.0
        return self.dial_mean

    @property
    def in_use(self):
        """Connections in use."""
        return len(self.used)

    def frees_soon(self):
        """Tell whether a connection is used by no transaction, which might pause."""
        return any(not item.in_transaction for item in self.used)

    def has_room(self):
        """Tell whether a connection can be had without waiting for another's end."""
        self.drop_dead()
        return bool(self.idle) or self.opened < self.limit

    def take_idle(self, values, oldest=False, workspace=None):
        """An idle connection, or None; dead ones are dropped on the way."""
        self.drop_dead()
        places = [
            place
            for place, item in enumerate(self.idle)
            if workspace is None or item.workspace == workspace
        ]
        if not places:
            return None
        if oldest:
            best = min(places, key=lambda place: self.idle[place].opened_at)
        else:
            best = max(
                places, key=lambda place: (self.idle[place].values == values, place)
            )
        return self.take(self.idle.pop(best))

    def take(self, pooled):
        """Count a connection as in use."""
        self.used.add(pooled)
        self.held[pooled.workspace] += 1
        return pooled

    def drop_dead(self):
        """Forget idle connections that were closed by the other end."""
        alive = [item for item in self.idle if item.alive]
        self.opened -= len(self.idle) - len(alive)
        self.idle = alive

    async def open_or_wait(self, workspace):
        """Open a connection; None if the upstream takes no more and others are open.

        What goes wrong when its refusal is passed on: a statement fails, and the
        upstream counts as failing, though a connection of ours is free in a moment.
        """
        try:
            return await self.open_one(workspace)
        except UpstreamRefused as exc:
            if exc.at_limit and self.opened:
                return None
            raise

    def no_dial_yet(self):
        """The error of a statement that comes while dialling is put off."""
        if self.at_limit:
            return UpstreamRefused(
                "no new dial yet",
                step="acquire",
                peer=self.member.id,
                refusal=Refusal.CONNECTION_LIMIT,
            )
        return UpstreamLost(
            "no new dial yet", step="acquire", peer=self.member.id, sent=False
        )

    async def open_one(self, workspace=""):
        """Open a connection."""
        self.opened += 1
        self.dials += 1
        began = self.clock()
        try:
            conn = await self.dialer.dial(
                self.member, timeout=self.tuning.dial_timeout, workspace=workspace
            )
        except BaseException as exc:
            self.opened -= 1
            self.at_limit = isinstance(exc, UpstreamRefused) and exc.at_limit
            self.put_off_dialling()
            self.wake_one()
            raise
        self.redial_after = 0.0
        self.at_limit = False
        spent = self.clock() - began
        self.dial_mean += self.tuning.mean_weight * (spent - self.dial_mean)
        return self.take(
            PooledConn(
                upstream=self.member.id,
                conn=conn,
                workspace=workspace,
                opened_at=self.clock(),
            )
        )

    def put_off_dialling(self):
        """After a failed dial the next one waits, longer each time.

        Not so at an upstream's limit: it has room again at any moment.
        """
        if self.at_limit:
            self.redial_after = self.tuning.redial_delay_at_limit
        else:
            self.redial_after = min(
                max(self.tuning.redial_backoff_min, 2 * self.redial_after),
                self.tuning.redial_backoff_max,
            )
        self.redial_at = self.clock() + self.redial_after

    async def wait_turn(self, timeout, first, workspace):
        """Wait until a connection is free or may be opened."""
        turn = asyncio.get_running_loop().create_future()
        waiter = Waiter(turn=turn, workspace=workspace)
        if first:
            self.waiting.appendleft(waiter)
        else:
            self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                await turn
        except BaseException as exc:
            if turn.done() and not turn.cancelled():
                # The turn came just as we gave up: it is the next one's.
                self.wake_one()
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
        self.used.discard(pooled)
        self.held[pooled.workspace] -= 1
        if pooled.alive and not self.closed and not pooled.in_transaction:
            pooled.idle_since = self.clock()
            self.idle.append(pooled)
        else:
            pooled.conn.close()
            self.opened -= 1
        self.wake_one()

    def wake_one(self):
        """Let the first who still waits, and would be served, try again."""
        for waiter in self.waiting:
            if self.can_serve(waiter):
                self.waiting.remove(waiter)
                waiter.turn.set_result(None)
                return

    def trim(self):
        """Close what was not needed for a while, but for one connection.

        What goes wrong without it: after a rush every daemon holds its full share
        for ever, and together with the connections for proofs and commands that is
        more than an upstream takes.
        """
        now = self.clock()
        old = [item for item in self.idle if now - item.idle_since > self.keeps(item)]
        for pooled in old[: self.opened - 1]:
            pooled.conn.close()
        self.drop_dead()

    def keeps(self, pooled):
        """Seconds for which a connection that is not needed is kept."""
        tuning = self.tuning
        return (
            tuning.workspace_idle_timeout if pooled.workspace else tuning.idle_timeout
        )

    def close(self):
        """Close what is idle; what is in use is closed when it comes back."""
        self.closed = True
        for pooled in self.idle:
            pooled.conn.close()
        self.opened -= len(self.idle)
        self.idle = []
