"""Transactions: one upstream connection from the first statement to the end."""

import asyncio
from contextlib import nullcontext
from dataclasses import dataclass

from gypsum_policy.admission import Hopeless
from gypsum_sessions.catalog import Route
from gypsum_sessions.execution.confirm import can_confirm, is_safe
from gypsum_sessions.execution.reads import (
    find_floor,
    no_leader,
    overloaded,
    upstream_order,
    withdrawn,
)
from gypsum_sessions.execution.writes import (
    NotSent,
    level,
    take_live,
    unconfirmable,
    unconfirmed,
)
from gypsum_sessions.replies import (
    Refusal,
    Reply,
    SessionState,
    UpstreamError,
    UpstreamLost,
)
from gypsum_sessions.statements import BEGIN_READ_ONLY, BEGIN_READ_WRITE
from gypsum_sessions.upstreams.group import Group
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.pooled import PooledConn, roll_back

PART = "transaction"
# Pause before a statement that the upstream's full queue turned away is sent again.
BUSY_PAUSE = 0.03


class Withdrawn(Exception):
    """The caller's key was withdrawn while its transaction waited to be opened."""


@dataclass(slots=True, kw_only=True)
class Transaction:
    """A transaction of one session.

    It is opened at an upstream with its first statement, not before, so that a
    caller who pauses after BEGIN holds no connection. `arrived` is when BEGIN came:
    what was acknowledged before then has to be seen.
    """

    group: Group
    route: Route
    writes: bool
    arrived: float
    pooled: PooledConn | None = None
    pool: ConnPool | None = None
    upstream: str = ""
    wrote: bool = False
    values_set: bool = False

    async def run(self, job):
        """Run a statement; anything but success has rolled it back."""
        return await run_in_transaction(self.group, self, job)

    async def commit(self, job):
        """Commit it; it is over either way."""
        return await commit(self.group, self, job)

    async def close(self):
        """Roll it back if it is open."""
        await close(self.group, self)


async def open_at_upstream(group, tx, job):
    """Open the transaction; a Reply if it can't be, else None."""
    opened = open_writing if tx.writes else open_reading
    while True:
        try:
            refused = await opened(group, tx, job)
        except Hopeless as exc:
            return overloaded(job, exc.wait)
        except Withdrawn:
            return withdrawn()
        if refused is None or job.left(group.around.clock) <= 0:
            return refused
        if tx.pooled is None and refused.refusal is not Refusal.LAGGING:
            return refused
        await asyncio.sleep(BUSY_PAUSE)


async def open_writing(group, tx, job):
    """BEGIN at the leader; the upstream refuses if it does not lead."""
    around, clock = group.around, group.around.clock
    wait_until = clock() + job.left(clock) * around.tuning.leader_wait_share
    while clock() < wait_until:
        item = await group.wait_writable(wait_until - clock())
        if item is None:
            break
        patience = wait_until - clock()
        if not await can_confirm(group, item.id, patience=patience):
            return unconfirmable(around.tuning)
        if await begin_at(group, tx, job, item, BEGIN_READ_WRITE):
            return None
        group.watch.doubt(item.id)
        await asyncio.sleep(BUSY_PAUSE)
    return no_leader(around.tuning)


async def open_reading(group, tx, job):
    """BEGIN READ at whichever upstream has the floor."""
    if not await find_floor(group, job):
        return no_leader(group.around.tuning)
    for upstream in upstream_order(group, job):
        item = group.upstreams.get(upstream)
        if item is None:
            continue
        if await begin_at(group, tx, job, item, BEGIN_READ_ONLY, after=job.floor):
            return None
    return Reply(
        refusal=Refusal.LAGGING,
        detail="not run, no upstream has the position yet",
        retry_after_ms=group.around.tuning.busy_retry_after_ms,
    )


async def begin_at(group, tx, job, item, statement, after=None):
    """Open the transaction at one upstream in its turn; tell whether it is open.

    Raises Hopeless. What goes wrong when it takes a connection out of turn: rushes of
    transactions hold all of them while what is worth more waits.
    """
    job.tried.append(item.id)
    async with item.turns.enter(job.claim()):
        if not group.around.catalog.is_valid(job.credential):
            raise Withdrawn
        return await begin_now(group, tx, job, item, statement, after)


async def begin_now(group, tx, job, item, statement, after):
    """Open the transaction at one upstream; tell whether it is open."""
    around, clock = group.around, group.around.clock
    try:
        pooled = await take_live(group, item, job)
    except NotSent as exc:
        item.failed(exc.__cause__, clock(), around.tuning)
        around.log(PART, "not begun", request=job.request, error=str(exc))
        return False
    try:
        await level(group, job, pooled)
        pooled.in_transaction = True
        reply = await pooled.conn.ask(
            statement, timeout=around.tuning.command_timeout, after=after
        )
    except UpstreamError as exc:
        item.failed(exc, clock(), around.tuning)
        pooled.conn.close()
        item.pool.release(pooled)
        around.log(PART, "not begun", request=job.request, error=str(exc))
        return False
    if reply.ok:
        tx.pooled, tx.pool, tx.upstream = pooled, item.pool, item.id
        return True
    if reply.refusal is Refusal.LAGGING:
        item.lacked(clock(), around.tuning)
    await finish(group, item.pool, pooled)
    return False


async def run_in_transaction(group, tx, job):
    """Run a statement; anything but success ends the transaction, rolled back."""
    if tx.pooled is None:
        refused = await open_at_upstream(group, tx, job)
        if refused is not None:
            return refused
    job.tried, job.served_by = [tx.upstream], tx.upstream
    tx.wrote = tx.wrote or job.statement.writes
    try:
        await level(group, job, tx.pooled)
        async with joined(group, tx):
            reply = await ask_until_run(group, tx, job)
    except UpstreamError as exc:
        group.watch.doubt(tx.upstream)
        await abandon(group, tx)
        return aborted(str(exc))
    if reply.ok and reply.state is SessionState.IN_TRANSACTION:
        return reply
    await close(group, tx)
    if reply.refusal is Refusal.READ_ONLY:
        group.watch.doubt(tx.upstream)
    return aborted(f"{reply.refusal} {reply.detail}")


def joined(group, tx):
    """Count a statement at its upstream; it does not wait for a turn.

    What goes wrong when it does: a transaction holds its connection, and at the leader
    what others wait for, longer than it has to.
    """
    item = group.upstreams.get(tx.upstream)
    return item.turns.joined() if item is not None else nullcontext()


async def ask_until_run(group, tx, job):
    """Send a statement, again while the upstream's queue is full."""
    clock = group.around.clock
    while True:
        started = clock()
        reply = await tx.pooled.conn.ask(
            job.statement, timeout=job.left(clock), request=job.request
        )
        if reply.ok:
            item = group.upstreams.get(tx.upstream)
            if item is not None:
                item.answered(
                    clock() - started, reply.position, clock(), group.around.tuning
                )
            return reply
        open_still = reply.state is SessionState.IN_TRANSACTION
        if reply.refusal is not Refusal.BUSY or not open_still:
            return reply
        item = group.upstreams.get(tx.upstream)
        if item is not None:
            item.turns.queue.turned_away(clock())
        if job.left(clock) <= 2 * BUSY_PAUSE:
            return reply
        await asyncio.sleep(BUSY_PAUSE)


async def commit(group, tx, job):
    """COMMIT; the reply says whether it is kept, is not, or is in doubt."""
    if tx.pooled is None:
        refused = await open_at_upstream(group, tx, job)
        if refused is not None:
            return refused
    job.tried, job.served_by = [tx.upstream], tx.upstream
    patience = job.left(group.around.clock) * group.around.tuning.leader_wait_share
    if tx.wrote and not await can_confirm(group, tx.upstream, patience=patience):
        await close(group, tx)
        return aborted("no replica can be asked")
    asked_at = group.around.clock()
    number = group.stall.begin(asked_at) if tx.wrote else 0
    try:
        async with joined(group, tx):
            reply = await ask_until_run(group, tx, job)
        if number:
            group.stall.end(number, group.around.clock())
    except UpstreamError as exc:
        group.watch.doubt(tx.upstream)
        await abandon(group, tx)
        group.around.log(
            PART,
            "commit unanswered",
            request=job.request,
            upstream=tx.upstream,
            wrote=tx.wrote,
            error=str(exc),
        )
        not_sent = isinstance(exc, UpstreamLost) and not exc.sent
        if not_sent or not tx.wrote:
            return aborted(str(exc))
        return Reply(refusal=Refusal.IN_DOUBT, detail=f"may be committed, {exc}")
    tx.pooled.in_transaction = reply.state is not SessionState.IDLE
    await close(group, tx)
    if reply.ok:
        if not tx.wrote:
            return reply
        left = job.left(group.around.clock)
        if not await is_safe(group, reply.position, tx.upstream, patience=left):
            return unconfirmed()
        if reply.position is not None:
            group.floors.learn(reply.position, asked_at)
        return reply
    group.watch.doubt(tx.upstream)
    return refused_commit(tx, reply)


def refused_commit(tx, reply):
    """What the caller is told of a COMMIT that the upstream answered with an error."""
    unclear = reply.refusal in (Refusal.FAILED, Refusal.TIMEOUT, Refusal.IN_DOUBT)
    if unclear and tx.wrote:
        return Reply(refusal=Refusal.IN_DOUBT, detail=f"commit {reply.refusal}")
    return aborted(f"commit {reply.refusal} {reply.detail}")


def aborted(detail):
    """Nothing of the transaction is kept: no COMMIT was sent, or it was refused."""
    return Reply(refusal=Refusal.ABORTED, detail=f"rolled back, {detail}")


async def abandon(group, tx):
    """Close the connection: that rolls back, whatever state it is in."""
    if tx.pooled is None:
        return
    tx.pooled.conn.close()
    await close(group, tx)


async def close(group, tx):
    """Give the connection back, rolled back if anything is open on it."""
    pooled, tx.pooled = tx.pooled, None
    if pooled is None:
        return
    if tx.values_set:
        pooled.dirty = True
    await finish(group, tx.pool, pooled)


async def finish(group, pool, pooled):
    """Roll back if needed, then release."""
    try:
        if pooled.alive and pooled.in_transaction:
            await roll_back(pooled, group.around.tuning.command_timeout)
    except UpstreamError as exc:
        group.around.log(
            PART, "rollback unanswered", upstream=pooled.upstream, error=str(exc)
        )
    finally:
        pool.release(pooled)
