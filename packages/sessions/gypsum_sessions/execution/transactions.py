"""Transactions: one upstream connection from the first statement to the end."""

import asyncio
from contextlib import nullcontext
from dataclasses import dataclass
from functools import partial

from gypsum_policy.admission import QueueTimeout
from gypsum_policy.rounds import Obstacle, pause_before_round, retry_wait
from gypsum_sessions.catalog import Route
from gypsum_sessions.execution.admission import JobAbandoned, UpstreamUnusable
from gypsum_sessions.execution.confirm import (
    can_confirm,
    has_replicas,
    is_confirmed,
)
from gypsum_sessions.execution.jobs import ask_upstream
from gypsum_sessions.execution.reads import (
    find_floor,
    lagging_obstacle,
    upstream_order,
    withheld_obstacles,
)
from gypsum_sessions.execution.refusals import (
    abandoned_reply,
    key_withdrawn_reply,
    lagging_reply,
    log_refused,
    no_leader_now,
    overloaded_reply,
    unable_reply,
)
from gypsum_sessions.execution.writes import (
    NotSent,
    acquire_verified,
    cannot_confirm_reply,
    sync_session,
    takes_writes,
    unconfirmed_reply,
)
from gypsum_sessions.replies import (
    Refusal,
    Reply,
    SessionState,
    StateRejected,
    UpstreamError,
    UpstreamLost,
)
from gypsum_sessions.statements import BEGIN_READ_ONLY, BEGIN_READ_WRITE
from gypsum_sessions.upstreams.group import Group
from gypsum_sessions.upstreams.pool import ConnPool
from gypsum_sessions.upstreams.pooled import PooledConn, roll_back

PART = "transaction"
# Seconds before a statement is resent that the upstream's full queue rejected.
BUSY_PAUSE = 0.03


class KeyWithdrawn(Exception):
    """The caller's key was withdrawn before its transaction was opened."""


@dataclass(slots=True, kw_only=True)
class Transaction:
    """A transaction of one session.

    It is opened at an upstream with its first statement, so that a caller who pauses
    after BEGIN holds no connection. `arrived` is when BEGIN arrived: commits
    acknowledged before that time must be visible.
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
        """Run a statement; if it does not succeed, the transaction is rolled back."""
        return await run_in_transaction(self.group, self, job)

    async def commit(self, job):
        """Commit; the transaction ends in any case."""
        return await commit(self.group, self, job)

    async def close(self):
        """Roll back if the transaction is open."""
        await close(self.group, self)


async def open_at_upstream(group, tx, job):
    """Open the transaction; returns a refusal if it can't be opened, else None."""
    opened = open_writing if tx.writes else open_reading
    try:
        return await opened(group, tx, job)
    except QueueTimeout as exc:
        return overloaded_reply(job, exc.wait)
    except JobAbandoned:
        return abandoned_reply(job)
    except KeyWithdrawn:
        return key_withdrawn_reply()
    except StateRejected as exc:
        return exc.reply


async def open_writing(group, tx, job):
    """BEGIN at the leader; the upstream refuses if it does not lead."""
    context, clock = group.context, group.context.clock
    wait_until = clock() + job.time_left(clock) * context.tuning.leader_wait_share
    while clock() < wait_until and not job.abandoned:
        item = await group.wait_writable(wait_until - clock())
        if item is None:
            break
        timeout = wait_until - clock()
        if not await can_confirm(group, item.id, timeout=timeout):
            lost = not has_replicas(group, item.id)
            return cannot_confirm_reply(context.tuning, replicas_lost=lost)
        if await begin_at(group, tx, job, item, BEGIN_READ_WRITE) is None:
            return None
        group.watch.recheck(item.id)
        await asyncio.sleep(BUSY_PAUSE)
    return abandoned_reply(job) if job.abandoned else no_leader_now(group)


async def open_reading(group, tx, job):
    """BEGIN READ at any upstream that has reached the minimum position."""
    if not await find_floor(group, job):
        return no_leader_now(group)
    number = 0
    while True:
        if job.abandoned:
            return abandoned_reply(job)
        if not group.candidates():
            return no_leader_now(group)
        obstacles = []
        for upstream in upstream_order(group, job, may_probe=False):
            item = group.upstreams.get(upstream)
            if item is None:
                continue
            try:
                refusal = await begin_at(
                    group, tx, job, item, BEGIN_READ_ONLY, after=job.floor
                )
            except QueueTimeout as exc:
                obstacles.append(Obstacle(queued=True, ready_in=exc.wait))
                continue
            if refusal is None:
                return None
            lagging = refusal is Refusal.LAGGING
            obstacles.append(
                lagging_obstacle(group, job, item) if lagging else Obstacle()
            )
        obstacles += withheld_obstacles(group, job)
        obstacles = obstacles or [Obstacle()]
        time_left = job.time_left(group.context.clock)
        pause = pause_before_round(obstacles, number=number, time_left=time_left)
        if pause is None:
            return refuse_begin(job, obstacles, group.context.tuning)
        await asyncio.sleep(pause)
        number += 1


def refuse_begin(job, obstacles, tuning):
    """The refusal of a read-only transaction that no upstream can open in time."""
    queued = [item for item in obstacles if item.queued]
    if queued:
        return overloaded_reply(job, retry_wait(queued))
    if obstacles and all(item.lagging for item in obstacles):
        return lagging_reply(job, retry_wait(obstacles))
    return unable_reply(tuning)


async def begin_at(group, tx, job, item, statement, after=None):
    """Open the transaction at one upstream once admitted; returns as `send_begin`.

    Raises QueueTimeout or JobAbandoned. Without admission, bursts of transactions would
    hold all connections while statements of higher priority wait.
    """
    job.tried.append(item.id)
    kind = (job.route.name, "begin")
    still_usable = (
        takes_writes(group, item) if statement.writes else partial(group.may_send, item)
    )
    try:
        queued = item.admission.enqueue(job, kind=kind, usable=still_usable)
        async with queued as place:
            if not group.context.catalog.is_valid(job.credential):
                raise KeyWithdrawn
            refusal = await send_begin(group, tx, job, item, statement, after)
            if refusal is not None:
                place.release()
            return refusal
    except QueueTimeout as exc:
        log_refused(group, job, item, exc)
        raise
    except UpstreamUnusable:
        return Refusal.READ_ONLY


async def send_begin(group, tx, job, item, statement, after):
    """Open the transaction at one upstream.

    Returns None once it is open, else the refusal, FAILED if there was no answer.
    Raises UpstreamUnusable if the upstream takes no more work.
    """
    context, clock = group.context, group.context.clock
    try:
        pooled = await acquire_verified(group, item, job)
    except NotSent as exc:
        item.record_failure(exc.__cause__, clock(), context.tuning)
        context.log(PART, "not begun", request=job.request, error=str(exc))
        return Refusal.FAILED
    try:
        await sync_session(group, job, pooled)
        if not group.may_send(item):
            item.pool.release(pooled)
            raise UpstreamUnusable
        group.log_sent(item, job)
        pooled.in_transaction = True
        reply = await pooled.conn.ask(
            statement, timeout=context.tuning.command_timeout, after=after
        )
    except StateRejected:
        item.pool.release(pooled)
        raise
    except UpstreamError as exc:
        item.record_failure(exc, clock(), context.tuning)
        pooled.conn.close()
        item.pool.release(pooled)
        context.log(PART, "not begun", request=job.request, error=str(exc))
        return Refusal.FAILED
    if reply.ok:
        tx.pooled, tx.pool, tx.upstream = pooled, item.pool, item.id
        return None
    if reply.refusal is Refusal.LAGGING:
        item.record_lagging(after, reply.position, clock())
    if reply.refusal is Refusal.BUSY:
        item.admission.queue.record_rejection(clock())
    await roll_back_and_release(group, item.pool, pooled)
    return reply.refusal


async def run_in_transaction(group, tx, job):
    """Run a statement; if it does not succeed, the transaction is rolled back."""
    first = tx.pooled is None
    if first:
        refused = await open_at_upstream(group, tx, job)
        if refused is not None:
            return refused
    if job.abandoned:
        await close(group, tx)
        return aborted_reply("the caller has left")
    job.tried, job.served_by = [tx.upstream], tx.upstream
    tx.wrote = tx.wrote or job.statement.writes
    try:
        await sync_session(group, job, tx.pooled)
        async with count_statement(group, tx):
            reply = await send_until_accepted(group, tx, job, first=first)
    except UpstreamUnusable:
        await close(group, tx)
        return aborted_reply("its upstream leaves")
    except UpstreamError as exc:
        group.watch.recheck(tx.upstream)
        await abandon(group, tx)
        return aborted_reply(str(exc))
    if reply.ok and reply.state is SessionState.IN_TRANSACTION:
        return reply
    await close(group, tx)
    if reply.refusal is Refusal.READ_ONLY:
        group.watch.recheck(tx.upstream)
    return aborted_reply(f"{reply.refusal} {reply.detail}")


def count_statement(group, tx):
    """Count a statement at its upstream; it does not wait for admission.

    If it did, the transaction would hold its connection longer than necessary, and at
    the leader also what other statements wait for.
    """
    item = group.upstreams.get(tx.upstream)
    return item.admission.unqueued() if item is not None else nullcontext()


async def send_until_accepted(group, tx, job, *, first=False):
    """Send a statement, and resend it while the upstream's queue is full.

    Raises UpstreamUnusable if it is the transaction's `first` one and the upstream
    takes no more work.
    """
    clock = group.context.clock
    while True:
        item = group.upstreams.get(tx.upstream)
        if first and (item is None or not group.may_send(item)):
            raise UpstreamUnusable
        started = clock()
        reply = await ask_upstream(tx.pooled.conn, job, timeout=job.time_left(clock))
        if reply.ok:
            item = group.upstreams.get(tx.upstream)
            if item is not None:
                item.record_answer(
                    clock() - started, reply.position, clock(), group.context.tuning
                )
                item.admission.record_answer(job.kind, clock() - started)
            return reply
        open_still = reply.state is SessionState.IN_TRANSACTION
        if reply.refusal is not Refusal.BUSY or not open_still:
            return reply
        item = group.upstreams.get(tx.upstream)
        if item is not None:
            item.admission.queue.record_rejection(clock())
        if job.abandoned or job.time_left(clock) <= 2 * BUSY_PAUSE:
            return reply
        await asyncio.sleep(BUSY_PAUSE)


async def commit(group, tx, job):
    """COMMIT; the reply says whether it is kept, rolled back or in doubt."""
    first = tx.pooled is None
    if first:
        refused = await open_at_upstream(group, tx, job)
        if refused is not None:
            return refused
    job.tried, job.served_by = [tx.upstream], tx.upstream
    timeout = (
        job.time_left(group.context.clock) * group.context.tuning.leader_wait_share
    )
    if tx.wrote and not await can_confirm(group, tx.upstream, timeout=timeout):
        await close(group, tx)
        return aborted_reply("no replica can be asked")
    if job.abandoned:
        await close(group, tx)
        return aborted_reply("the caller has left")
    asked_at = group.context.clock()
    stall_id = group.stall.begin(asked_at) if tx.wrote else 0
    try:
        async with count_statement(group, tx):
            reply = await send_until_accepted(group, tx, job, first=first)
        if stall_id:
            group.stall.end(stall_id, group.context.clock())
    except UpstreamUnusable:
        await close(group, tx)
        return aborted_reply("its upstream leaves")
    except UpstreamError as exc:
        group.watch.recheck(tx.upstream)
        await abandon(group, tx)
        group.context.log(
            PART,
            "no answer to commit",
            request=job.request,
            upstream=tx.upstream,
            wrote=tx.wrote,
            error=str(exc),
        )
        not_sent = isinstance(exc, UpstreamLost) and not exc.sent
        if not_sent or not tx.wrote:
            return aborted_reply(str(exc))
        return Reply(refusal=Refusal.IN_DOUBT, detail=f"may be committed, {exc}")
    tx.pooled.in_transaction = reply.state is not SessionState.IDLE
    await close(group, tx)
    if reply.ok:
        if not tx.wrote:
            return reply
        left = job.time_left(group.context.clock)
        if not await is_confirmed(group, reply.position, tx.upstream, timeout=left):
            return unconfirmed_reply()
        if reply.position is not None:
            group.floors.add(reply.position, asked_at)
        return reply
    group.watch.recheck(tx.upstream)
    return refused_commit(tx, reply)


def refused_commit(tx, reply):
    """The reply for a COMMIT that the upstream answered with an error."""
    unclear = reply.refusal in (Refusal.FAILED, Refusal.TIMEOUT, Refusal.IN_DOUBT)
    if unclear and tx.wrote:
        return Reply(refusal=Refusal.IN_DOUBT, detail=f"commit {reply.refusal}")
    return aborted_reply(f"commit {reply.refusal} {reply.detail}")


def aborted_reply(detail):
    """Nothing of the transaction is kept: COMMIT was not sent, or was refused."""
    return Reply(refusal=Refusal.ABORTED, detail=f"rolled back, {detail}")


async def abandon(group, tx):
    """Close the connection, which rolls back in any state."""
    if tx.pooled is None:
        return
    tx.pooled.conn.close()
    await close(group, tx)


async def close(group, tx):
    """Release the connection, rolled back if a transaction is open on it."""
    pooled, tx.pooled = tx.pooled, None
    if pooled is None:
        return
    if tx.values_set:
        pooled.dirty = True
    await roll_back_and_release(group, tx.pool, pooled)


async def roll_back_and_release(group, pool, pooled):
    """Roll back if needed, then release the connection."""
    try:
        if pooled.alive and pooled.in_transaction:
            await roll_back(pooled, group.context.tuning.command_timeout)
    except UpstreamError as exc:
        group.context.log(
            PART, "no answer to rollback", upstream=pooled.upstream, error=str(exc)
        )
    finally:
        pool.release(pooled)
