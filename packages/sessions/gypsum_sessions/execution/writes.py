"""Single writes: run at the leader, at most once."""

import asyncio

from gypsum_policy.admission import Hopeless
from gypsum_sessions.execution.confirm import can_confirm, is_safe
from gypsum_sessions.execution.reads import no_leader, overloaded, withdrawn
from gypsum_sessions.replies import (
    NOT_RUN,
    Refusal,
    Reply,
    UpstreamError,
    UpstreamLost,
    UpstreamTimeout,
)
from gypsum_sessions.statements import ROLLBACK
from gypsum_sessions.upstreams.pooled import bring_level

PART = "write"
# Pause after a refusal by the leader, seconds: its queue is full or it steps down.
REFUSED_PAUSE = 0.03


class NotSent(Exception):
    """The statement was not sent; another try is safe."""


async def run_write(group, job):
    """Run a write; it is tried again only while it provably has not run."""
    around, clock = group.around, group.around.clock
    wait_until = clock() + job.left(clock) * around.tuning.leader_wait_share
    last = None
    while clock() < wait_until:
        item = await group.wait_writable(wait_until - clock())
        if item is None:
            break
        patience = wait_until - clock()
        if not await can_confirm(group, item.id, patience=patience):
            return unconfirmable(around.tuning)
        job.tried.append(item.id)
        try:
            async with item.turns.enter(job.claim()):
                if not around.catalog.is_valid(job.credential):
                    return withdrawn()
                reply = await try_write(group, job, item)
        except Hopeless as exc:
            return overloaded(job, exc.wait)
        except NotSent as exc:
            around.log(PART, "not sent", request=job.request, error=str(exc))
            await asyncio.sleep(REFUSED_PAUSE)
            continue
        if reply.refusal not in NOT_RUN or reply.refusal is Refusal.MALFORMED:
            job.served_by = item.id
            return reply
        last = reply
        if reply.refusal is Refusal.BUSY:
            item.turns.queue.turned_away(clock())
        else:
            group.watch.doubt(item.id)
        await asyncio.sleep(REFUSED_PAUSE)
    if last is None:
        return no_leader(around.tuning)
    return Reply(
        refusal=Refusal.BUSY,
        detail=f"not run, {last.refusal}",
        retry_after_ms=around.tuning.busy_retry_after_ms,
    )


async def try_write(group, job, item):
    """One try at the leader; raises NotSent if the write did not leave us."""
    around, clock = group.around, group.around.clock
    pooled = await take_live(group, item, job)
    try:
        try:
            await level(group, job, pooled)
        except UpstreamError as exc:
            group.watch.doubt(item.id)
            raise NotSent(str(exc)) from exc
        asked_at = clock()
        number = group.stall.begin(asked_at)
        try:
            reply = await pooled.conn.ask(
                job.statement, timeout=job.left(clock), request=job.request
            )
        except UpstreamError as exc:
            group.watch.doubt(item.id)
            return lost_write(group, job, item, exc)
        group.stall.end(number, clock())
        if reply.ok:
            item.answered(clock() - asked_at, reply.position, clock(), around.tuning)
            if not await is_safe(
                group, reply.position, item.id, patience=job.left(clock)
            ):
                return unconfirmed()
            if reply.position is not None:
                group.floors.learn(reply.position, asked_at)
        if reply.refusal is Refusal.UNKNOWN_NAME:
            pooled.dirty = True
        return reply
    finally:
        item.pool.release(pooled)


def unconfirmable(tuning):
    """The refusal of a write whose commit no replica could confirm."""
    return Reply(
        refusal=Refusal.BUSY,
        detail="not run, no replica can be asked",
        retry_after_ms=tuning.busy_retry_after_ms,
    )


def unconfirmed():
    """The reply for a commit that a takeover might not find."""
    return Reply(
        refusal=Refusal.IN_DOUBT, detail="may have run, no known replica has it"
    )


def lost_write(group, job, item, exc):
    """The reply for a write that was sent and not answered."""
    if isinstance(exc, UpstreamLost) and not exc.sent:
        raise NotSent(str(exc)) from exc
    item.failed(exc, group.around.clock(), group.around.tuning)
    silent = isinstance(exc, UpstreamTimeout)
    group.around.log(
        PART, "in doubt", request=job.request, upstream=item.id, error=str(exc)
    )
    detail = "no answer in time" if silent else "the connection broke"
    return Reply(refusal=Refusal.IN_DOUBT, detail=f"may have run, {detail}")


async def level(group, job, pooled):
    """Bring a connection to the session's values."""
    tuning = group.around.tuning
    await bring_level(
        pooled,
        job.values,
        job.prepared,
        timeout=tuning.command_timeout,
        prepared_limit=tuning.prepared_limit,
    )


async def take_live(group, item, job):
    """A connection that has just answered; raises NotSent.

    What goes wrong without the trial: something between us and the upstream has
    forgotten the connection, the write on it gets no answer, and its outcome is
    unknown although it never arrived. It takes a round trip, 2 ms, and no slot.
    """
    tuning = group.around.tuning
    while True:
        try:
            pooled = await item.pool.acquire(
                values=job.values,
                timeout=job.left(group.around.clock),
                workspace=job.workspace,
            )
        except UpstreamError as exc:
            group.watch.doubt(item.id)
            raise NotSent(str(exc)) from exc
        try:
            await pooled.conn.ask(ROLLBACK, timeout=tuning.ping_timeout)
            return pooled
        except UpstreamError as exc:
            item.pool.release(pooled)
            group.around.log(PART, "dead connection", upstream=item.id, error=str(exc))
