"""Single reads: a minimum position, an order of upstreams, and hedged attempts."""

import asyncio
from dataclasses import dataclass
from functools import partial

from gypsum_policy.admission import QueueTimeout
from gypsum_policy.rounds import (
    Obstacle,
    expected_lag,
    pause_before_round,
    retry_wait,
)
from gypsum_sessions.catalog import ReadRule
from gypsum_sessions.execution.admission import JobAbandoned, UpstreamUnusable
from gypsum_sessions.execution.jobs import send_statement
from gypsum_sessions.execution.refusals import (
    abandoned_reply,
    key_withdrawn_reply,
    lagging_reply,
    log_refused,
    no_leader_now,
    overloaded_reply,
    truthful_refusal,
    unable_reply,
)
from gypsum_sessions.replies import (
    NOT_RUN,
    Refusal,
    Reply,
    StateRejected,
    UpstreamError,
)
from gypsum_sessions.takeover.floors import later
from gypsum_sessions.upstreams.pooled import sync_session_state
from gypsum_sessions.upstreams.readplacement import SUSPECTED, place_read

PART = "read"
# Refusals after which another upstream may still answer the read.
RETRY_ELSEWHERE = frozenset(
    {
        Refusal.BUSY,
        Refusal.LAGGING,
        Refusal.CONNECTION_LIMIT,
        Refusal.WRONG_UPSTREAM,
        Refusal.UNKNOWN_NAME,
        Refusal.FAILED,
        Refusal.TIMEOUT,
        Refusal.READ_ONLY,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """The result of a read at one upstream; `reply` is None if it gave none.

    `wait` is set if the upstream was not asked because its queue takes that many
    seconds.
    """

    upstream: str
    reply: Reply | None
    detail: str = ""
    wait: float | None = None

    @property
    def final(self):
        """Return whether this is the caller's reply."""
        return self.reply is not None and self.reply.refusal not in RETRY_ELSEWHERE


async def find_floor(group, job):
    """Set the minimum position that the read must show; False if none is proven."""
    context = group.context
    wait = job.time_left(context.clock) * context.tuning.leader_wait_share
    floor = await group.watch.wait_floor(job.arrived - job.route.max_age, wait)
    if floor is None:
        return False
    job.floor_age = context.clock() - floor.asked_at
    job.floor = later(floor.position, job.own_floor)
    return True


async def run_read(group, job):
    """Run a read at any upstream that may serve it; returns the caller's reply."""
    return truthful_refusal(job, await run_rounds(group, job))


async def run_rounds(group, job):
    """Run rounds of a read until one gives a reply or no further one can."""
    if not await find_floor(group, job):
        return no_leader_now(group)
    number = 0
    while True:
        if not group.candidates():
            return no_leader_now(group)
        attempts = await run_round(group, job)
        if attempts and attempts[-1].final:
            job.served_by = attempts[-1].upstream
            return attempts[-1].reply
        if job.abandoned:
            return abandoned_reply(job)
        obstacles = [obstacle_of(group, job, item) for item in attempts]
        obstacles += withheld_obstacles(group, job)
        obstacles = obstacles or [Obstacle()]
        time_left = job.time_left(group.context.clock)
        pause = pause_before_round(obstacles, number=number, time_left=time_left)
        if pause is None:
            return refuse_read(group, job, obstacles)
        await asyncio.sleep(pause)
        number += 1


def obstacle_of(group, job, attempt):
    """Why an upstream gave no answer, for the decision about another round."""
    if attempt.wait is not None:
        return Obstacle(queued=True, ready_in=attempt.wait)
    item = group.upstreams.get(attempt.upstream)
    lagging = attempt.reply is not None and attempt.reply.refusal is Refusal.LAGGING
    if lagging and item is not None:
        return lagging_obstacle(group, job, item)
    return Obstacle()


def withheld_obstacles(group, job):
    """When replicas that a read was not sent to are expected to have its position."""
    items = [
        group.upstreams[name]
        for name, why in job.left_out.items()
        if why != SUSPECTED and name in group.upstreams
    ]
    return [lagging_obstacle(group, job, item) for item in items]


def lagging_obstacle(group, job, item):
    """When an upstream that lacked a read's position is expected to have it.

    One that shows no progress is expected to lack it for as long again.
    """
    now, tuning = group.context.clock(), group.context.tuning
    reached_at = group.floors.expected_reached_at(job.floor, now)
    usual = max(0.0, item.progress.ready_in(reached_at, now))
    behind_for = item.behind_for(now, tuning) if item.progress.stopped else 0.0
    ready_in = expected_lag(usual=usual, behind_for=behind_for)
    return Obstacle(lagging=True, ready_in=ready_in)


def refuse_read(group, job, obstacles):
    """The refusal of a read that no upstream can run in time."""
    if job.may_have_run:
        return Reply(refusal=Refusal.TIMEOUT, detail="no upstream answered in time")
    if obstacles and all(item.lagging for item in obstacles):
        return lagging_reply(job, retry_wait(obstacles))
    queued = [item for item in obstacles if item.queued]
    if queued:
        return overloaded_reply(job, retry_wait(queued))
    return unable_reply(group.context.tuning)


async def run_round(group, job):
    """One round over the upstreams: the next is asked if one refuses or is slow.

    Returns the attempts that ended, the final one last if there is one.
    """
    running = set()
    try:
        return await run_attempts(group, job, running)
    except asyncio.CancelledError:
        for task in running:
            task.cancel()
        raise


async def run_attempts(group, job, running):
    """Run the round; `running` holds the attempts under way."""
    order, ended, asked = upstream_order(group, job), [], set()
    while order or running:
        if order:
            upstream = next_upstream(group, order, force=not running)
            running |= start_attempt(group, job, upstream)
            asked.add(upstream)
        if not running:
            continue
        done, _ = await asyncio.wait(
            running,
            timeout=hedge_delay(group, job),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done and not order:
            order = newly_ready(group, job, asked)
        running -= done
        for task in done:
            ended.append(task.result())
            if ended[-1].final:
                detach_attempts(group, job, running)
                return ended
        if job.abandoned or job.time_left(group.context.clock) <= 0:
            break
    if running:
        detach_attempts(group, job, running)
    return ended


def newly_ready(group, job, asked):
    """Upstreams that have come to have the read's position since the round began."""
    ready = upstream_order(group, job, may_probe=False)
    return [upstream for upstream in ready if upstream not in asked]


def next_upstream(group, order, *, force):
    """Take the next upstream to ask out of the order; None if it is better to wait.

    Hedging skips upstreams whose queue is full. Otherwise, when all are overloaded,
    every read would run twice and none would be answered in time. `force` takes the
    first.
    """
    now = group.context.clock()
    for upstream in order if not force else order[:1]:
        item = group.upstreams.get(upstream)
        if force or (item is not None and item.admission.queue.has_room(now)):
            order.remove(upstream)
            return upstream
    return None


def detach_attempts(group, job, tasks):
    """Let attempts that are no longer needed end on their own."""
    job.answered = True
    group.track_tasks(tasks)
    job.running_attempts |= tasks


def start_attempt(group, job, upstream):
    """Ask one upstream in a new task; no task if it has been removed meanwhile."""
    item = group.upstreams.get(upstream)
    if item is None:
        return set()
    job.tried.append(upstream)
    try:
        place = item.admission.enqueue(job, usable=partial(group.may_send, item))
    except QueueTimeout as exc:
        return {asyncio.create_task(rejected_attempt(group, job, item, exc))}
    task = asyncio.create_task(attempt_read(group, job, item, place))
    task.add_done_callback(lambda _: place.release())
    return {task}


async def rejected_attempt(group, job, item, exc):
    """The attempt at an upstream whose queue is too long."""
    log_refused(group, job, item, exc)
    return Attempt(upstream=item.id, reply=None, detail=str(exc), wait=exc.wait)


def upstream_order(group, job, *, may_probe=True):
    """Upstreams in the order in which they are asked; empty if it is better to wait."""
    order = place_read(group, job, may_probe=may_probe)
    if job.route.rule is ReadRule.PRIMARY and group.watch.leader in order:
        order.remove(group.watch.leader)
        order.insert(0, group.watch.leader)
    return order


def hedge_delay(group, job):
    """Seconds until a further upstream is asked as well."""
    last = group.upstreams.get(job.tried[-1]) if job.tried else None
    return min(group.hedge_delay(last), job.time_left(group.context.clock))


async def attempt_read(group, job, item, place):
    """Ask one upstream once admitted; never raises an UpstreamError."""
    try:
        async with place:
            if job.answered:
                return Attempt(upstream=item.id, reply=None, detail="answered before")
            if not group.context.catalog.is_valid(job.credential):
                return Attempt(upstream=item.id, reply=key_withdrawn_reply())
            attempt = await send_attempt(group, job, item)
            if attempt.reply is None or not attempt.reply.ok:
                place.release()
            return attempt
    except QueueTimeout as exc:
        return await rejected_attempt(group, job, item, exc)
    except JobAbandoned:
        return Attempt(upstream=item.id, reply=None, detail="the caller has left")
    except UpstreamUnusable:
        return Attempt(upstream=item.id, reply=None, detail="it takes no more work")


async def send_attempt(group, job, item):
    """Ask one upstream now."""
    context, clock = group.context, group.context.clock
    try:
        pooled = await item.pool.acquire(
            values=job.values,
            timeout=job.time_left(clock) or context.tuning.ping_timeout,
            workspace=job.workspace,
        )
    except UpstreamError as exc:
        item.record_failure(exc, clock(), context.tuning)
        return Attempt(upstream=item.id, reply=None, detail=str(exc))
    try:
        reply = await ask_read(group, job, item, pooled)
    except asyncio.CancelledError:
        pooled.conn.close()
        raise
    except StateRejected as exc:
        return Attempt(upstream=item.id, reply=exc.reply)
    except UpstreamError as exc:
        item.record_failure(exc, clock(), context.tuning)
        group.watch.recheck(item.id)
        context.log(
            PART,
            "attempt failed",
            request=job.request,
            upstream=item.id,
            error=str(exc),
        )
        return Attempt(upstream=item.id, reply=None, detail=str(exc))
    finally:
        item.pool.release(pooled)
    if reply is None:
        # Not tried again: the time left only gets shorter.
        wait = item.admission.queue.mean_service_time
        return Attempt(upstream=item.id, reply=None, detail="too late", wait=wait)
    return Attempt(upstream=item.id, reply=reply)


async def ask_read(group, job, item, pooled):
    """Run the read on a connection and update the upstream's statistics.

    None if the read is no longer needed. Raises UpstreamUnusable if the upstream takes
    no more work.
    """
    context, clock = group.context, group.context.clock
    await sync_session_state(
        pooled,
        job.values,
        job.prepared,
        timeout=context.tuning.command_timeout,
        prepared_limit=context.tuning.prepared_limit,
    )
    if job.answered or job.abandoned:
        # Answered elsewhere while this attempt waited for its connection. If it were
        # sent, it could run after its session's values have changed.
        return None
    if not item.admission.has_time(job):
        return None
    if not group.may_send(item):
        raise UpstreamUnusable
    group.log_sent(item, job)
    started = clock()
    job.maybe_run += 1
    with item.measure_attempt(job.request, clock) as attempt:
        attempt.reply = reply = await send_statement(
            pooled,
            job,
            timeout=max(job.time_left(clock), context.tuning.ping_timeout),
            linger=context.tuning.running_attempt_wait,
            after=job.floor,
        )
    if reply.ok:
        item.record_answer(clock() - started, reply.position, clock(), context.tuning)
        item.record_served(job.floor)
        item.admission.record_answer(job.kind, clock() - started)
    if reply.refusal in NOT_RUN:
        job.maybe_run -= 1
    record_refusal(context, item, pooled, reply, job.floor)
    return reply


def record_refusal(context, item, pooled, reply, floor=None):
    """Update the state of the upstream and the connection after a refused read."""
    if reply.refusal is Refusal.LAGGING:
        item.record_lagging(floor, reply.position, context.clock())
    if reply.refusal is Refusal.UNKNOWN_NAME:
        pooled.dirty = True
    if reply.refusal is Refusal.BUSY:
        item.admission.queue.record_rejection(context.clock())
