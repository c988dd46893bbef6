"""Single writes: run at the leader, at most once."""

import asyncio

from gypsum_policy.admission import QueueTimeout
from gypsum_sessions.execution.admission import JobAbandoned, UpstreamUnusable
from gypsum_sessions.execution.confirm import (
    can_confirm,
    has_replicas,
    is_confirmed,
)
from gypsum_sessions.execution.jobs import send_statement
from gypsum_sessions.execution.refusals import (
    abandoned_reply,
    key_withdrawn_reply,
    log_refused,
    no_leader_now,
    overloaded_reply,
)
from gypsum_sessions.replies import (
    NOT_RUN,
    Refusal,
    Reply,
    StateRejected,
    UpstreamError,
    UpstreamLost,
    UpstreamTimeout,
)
from gypsum_sessions.statements import ROLLBACK
from gypsum_sessions.upstreams.pooled import sync_session_state

PART = "write"
# Seconds before a retry if the leader refused: its queue is full or it steps down.
REFUSED_PAUSE = 0.03
# Seconds; no upstream commits a write and answers within less.
MIN_WRITE_TIME = 0.005


class NotSent(Exception):
    """The statement was not sent, so it is safe to retry."""


class OutOfTime(Exception):
    """The write was not sent: too little of its time was left."""


async def run_write(group, job):
    """Run a write; it is retried only while it provably has not run."""
    context, clock = group.context, group.context.clock
    wait_until = clock() + job.time_left(clock) * context.tuning.leader_wait_share
    last = None
    while clock() < wait_until and not job.abandoned:
        item = await group.wait_writable(wait_until - clock())
        if item is None:
            break
        timeout = wait_until - clock()
        if not await can_confirm(group, item.id, timeout=timeout):
            lost = not has_replicas(group, item.id)
            return cannot_confirm_reply(context.tuning, replicas_lost=lost)
        job.tried.append(item.id)
        try:
            queued = item.admission.enqueue(job, usable=takes_writes(group, item))
            async with queued as place:
                if not context.catalog.is_valid(job.credential):
                    return key_withdrawn_reply()
                reply = await try_write(group, job, item)
                if not reply.ok:
                    place.release()
        except QueueTimeout as exc:
            log_refused(group, job, item, exc)
            return overloaded_reply(job, exc.wait)
        except UpstreamUnusable:
            continue
        except JobAbandoned:
            return abandoned_reply(job)
        except OutOfTime:
            return out_of_time_reply(context.tuning)
        except NotSent as exc:
            context.log(PART, "not sent", request=job.request, error=str(exc))
            await asyncio.sleep(REFUSED_PAUSE)
            continue
        if reply.refusal not in NOT_RUN or reply.refusal is Refusal.MALFORMED:
            job.served_by = item.id
            return reply
        last = reply
        if reply.refusal is Refusal.BUSY:
            item.admission.queue.record_rejection(clock())
        else:
            group.watch.recheck(item.id)
        await asyncio.sleep(REFUSED_PAUSE)
    if job.abandoned:
        return abandoned_reply(job)
    if last is None:
        return no_leader_now(group)
    return Reply(
        refusal=Refusal.BUSY,
        detail=f"not run, {last.refusal}",
        retry_after_ms=context.tuning.busy_retry_after_ms,
    )


def takes_writes(group, item):
    """Return a check of whether an upstream still is the primary and accepts work.

    Statements that wait for one that does not look for the next primary instead.
    """
    return lambda: group.watch.leader == item.id and group.may_send(item)


async def try_write(group, job, item):
    """One attempt; raises an exception if it was not sent.

    That is NotSent, OutOfTime, JobAbandoned, or UpstreamUnusable if the upstream takes
    no more work.

    A write that is sent with no time left is in doubt at once, although nobody waits
    for it any more.
    """
    context, clock = group.context, group.context.clock
    pooled = await acquire_verified(group, item, job)
    try:
        try:
            await sync_session(group, job, pooled)
        except StateRejected as exc:
            return exc.reply
        except UpstreamError as exc:
            group.watch.recheck(item.id)
            raise NotSent(str(exc)) from exc
        if job.abandoned:
            raise JobAbandoned
        too_late = job.time_left(clock) < MIN_WRITE_TIME
        if too_late or not item.admission.has_time(job):
            raise OutOfTime
        if not group.may_send(item):
            raise UpstreamUnusable
        group.log_sent(item, job)
        asked_at = clock()
        stall_id = group.stall.begin(asked_at)
        try:
            reply = await send_statement(
                pooled,
                job,
                timeout=job.time_left(clock),
                linger=context.tuning.running_attempt_wait,
            )
        except UpstreamError as exc:
            group.watch.recheck(item.id)
            return lost_write(group, job, item, exc)
        group.stall.end(stall_id, clock())
        if reply.ok:
            item.record_answer(
                clock() - asked_at, reply.position, clock(), context.tuning
            )
            item.admission.record_answer(job.kind, clock() - asked_at)
            if not await is_confirmed(
                group, reply.position, item.id, timeout=job.time_left(clock)
            ):
                return unconfirmed_reply()
            if reply.position is not None:
                group.floors.add(reply.position, asked_at)
        if reply.refusal is Refusal.UNKNOWN_NAME:
            pooled.dirty = True
        return reply
    finally:
        item.pool.release(pooled)


def cannot_confirm_reply(tuning, *, replicas_lost=False):
    """The refusal of a write whose commit no replica could confirm.

    Replicas that don't answer may do so in a moment; lost ones have to be replaced.
    """
    busy, lost = tuning.busy_retry_after_ms, tuning.retry_after_ms
    return Reply(
        refusal=Refusal.BUSY,
        detail="not run, no replica can be asked",
        retry_after_ms=lost if replicas_lost else busy,
    )


def out_of_time_reply(tuning):
    """The refusal of a write whose turn came at its deadline."""
    return Reply(
        refusal=Refusal.BUSY,
        detail="not run, its turn came too late",
        retry_after_ms=tuning.busy_retry_after_ms,
    )


def unconfirmed_reply():
    """The reply for a commit that a takeover might lose."""
    return Reply(
        refusal=Refusal.IN_DOUBT, detail="may have run, no known replica has it"
    )


def lost_write(group, job, item, exc):
    """The reply for a write that got no answer; raises NotSent if it was not sent."""
    if isinstance(exc, UpstreamLost) and not exc.sent:
        raise NotSent(str(exc)) from exc
    item.record_failure(exc, group.context.clock(), group.context.tuning)
    silent = isinstance(exc, UpstreamTimeout)
    group.context.log(
        PART, "in doubt", request=job.request, upstream=item.id, error=str(exc)
    )
    detail = "no answer in time" if silent else "the connection broke"
    return Reply(refusal=Refusal.IN_DOUBT, detail=f"may have run, {detail}")


async def sync_session(group, job, pooled):
    """Set a connection's values and prepared statements to the session's."""
    tuning = group.context.tuning
    await sync_session_state(
        pooled,
        job.values,
        job.prepared,
        timeout=tuning.command_timeout,
        prepared_limit=tuning.prepared_limit,
    )


async def acquire_verified(group, item, job):
    """A connection that has just answered a round trip; raises NotSent.

    Without that check, a write could be sent on a connection that a middlebox has
    dropped: it would get no answer and its outcome would be unknown, although it never
    arrived. The check takes a round trip, 2 ms, and no slot.
    """
    tuning = group.context.tuning
    while True:
        try:
            pooled = await item.pool.acquire(
                values=job.values,
                timeout=job.time_left(group.context.clock),
                workspace=job.workspace,
            )
        except UpstreamError as exc:
            group.watch.recheck(item.id)
            raise NotSent(str(exc)) from exc
        try:
            await pooled.conn.ask(ROLLBACK, timeout=tuning.ping_timeout)
            return pooled
        except UpstreamError as exc:
            item.pool.release(pooled)
            group.context.log(PART, "dead connection", upstream=item.id, error=str(exc))
