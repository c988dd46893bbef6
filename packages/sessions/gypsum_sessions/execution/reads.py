"""Single reads: a floor, an order of upstreams, and a second try when one is slow."""

import asyncio
from dataclasses import dataclass

from gypsum_policy.admission import Hopeless, retry_after_ms
from gypsum_policy.routing import order_for_read
from gypsum_sessions.catalog import ReadRule
from gypsum_sessions.replies import KEY_WITHDRAWN, Refusal, Reply, UpstreamError
from gypsum_sessions.takeover.floors import later
from gypsum_sessions.upstreams.pooled import bring_level

PART = "read"
# Refusals that another upstream may well answer differently.
ELSEWHERE = frozenset(
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
# When all upstreams refused, the next round starts after this many seconds.
ROUND_PAUSE = 0.02


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """What one upstream made of a read; `reply` is None if it gave none.

    `wait`: it was not asked, for its queue takes that many seconds; None if it was.
    """

    upstream: str
    reply: Reply | None
    detail: str = ""
    wait: float | None = None

    @property
    def final(self):
        """Tell whether the caller gets this."""
        return self.reply is not None and self.reply.refusal not in ELSEWHERE


async def find_floor(group, job):
    """Set the position that the job's read has to show; False if none is proven."""
    around = group.around
    wait = job.left(around.clock) * around.tuning.leader_wait_share
    floor = await group.watch.floor_since(job.arrived - job.route.max_age, wait)
    if floor is None:
        return False
    job.floor_age = around.clock() - floor.asked_at
    job.floor = later(floor.position, job.own_floor)
    return True


async def run_read(group, job):
    """Run a read wherever it lawfully may; returns the caller's reply."""
    if not await find_floor(group, job):
        return no_leader(group.around.tuning)
    while job.left(group.around.clock) > 0:
        if not group.candidates():
            return no_leader(group.around.tuning)
        attempt = await race(group, job)
        if attempt is not None and attempt.final:
            job.served_by = attempt.upstream
            return attempt.reply
        if attempt is not None and attempt.wait is not None:
            return overloaded(job, attempt.wait)
        await asyncio.sleep(ROUND_PAUSE)
    return Reply(refusal=Refusal.TIMEOUT, detail="no upstream answered in time")


async def race(group, job):
    """One round over the upstreams: the next is asked when one refuses or is slow.

    Returns the first final attempt, else the last one, None if there was none.
    """
    running = set()
    try:
        return await run_race(group, job, running)
    except asyncio.CancelledError:
        for task in running:
            task.cancel()
        raise


async def run_race(group, job, running):
    """The round; `running` holds the attempts that are under way."""
    order, last = upstream_order(group, job), None
    while order or running:
        if order:
            upstream = next_upstream(group, order, must=not running)
            running |= start_attempt(group, job, upstream)
        if not running:
            continue
        wait = hedge_delay(group, job) if order else job.left(group.around.clock)
        done, _ = await asyncio.wait(
            running, timeout=wait, return_when=asyncio.FIRST_COMPLETED
        )
        running -= done
        for task in done:
            last = better(last, task.result())
            if last.final:
                leave_running(group, job, running)
                return last
        if job.left(group.around.clock) <= 0:
            break
    leave_running(group, job, running)
    return last


def next_upstream(group, order, *, must):
    """Take the next upstream to ask out of the order; None if it is better to wait.

    What goes wrong when a slow read is asked elsewhere whatever waits there: under a
    load that all feel, every read is run twice, and nothing is answered any more.
    """
    now = group.around.clock()
    for upstream in order if not must else order[:1]:
        item = group.upstreams.get(upstream)
        if must or (item is not None and item.turns.queue.has_room(now)):
            order.remove(upstream)
            return upstream
    return None


def better(first, second):
    """Of two attempts the one that says more: an answer, else a shorter queue."""
    if first is None or second.final:
        return second
    if first.wait is None:
        return first
    if second.wait is None:
        return second
    return min(first, second, key=lambda item: item.wait)


def leave_running(group, job, tasks):
    """Let attempts that are not needed any more end on their own."""
    job.over = True
    group.keep_tasks(tasks)
    job.leftovers |= tasks


def start_attempt(group, job, upstream):
    """Ask one upstream in a task of its own; no task if it is gone meanwhile."""
    item = group.upstreams.get(upstream)
    if item is None:
        return set()
    job.tried.append(upstream)
    try:
        turn = item.turns.enter(job.claim())
    except Hopeless as exc:
        return {asyncio.create_task(give_up(item, exc))}
    task = asyncio.create_task(attempt_read(group, job, item, turn))
    task.add_done_callback(lambda _: turn.release())
    return {task}


async def give_up(item, exc):
    """The attempt at an upstream whose queue is too long."""
    return Attempt(upstream=item.id, reply=None, detail=str(exc), wait=exc.wait)


def upstream_order(group, job):
    """Upstreams in the order in which they are asked."""
    order = order_for_read(
        group.candidates(job.workspace), far_cost=group.around.tuning.far_cost
    )
    if job.route.rule is ReadRule.PRIMARY and group.watch.leader in order:
        order.remove(group.watch.leader)
        order.insert(0, group.watch.leader)
    return order


def hedge_delay(group, job):
    """Seconds after which a second upstream is asked as well."""
    tuning = group.around.tuning
    last = group.upstreams.get(job.tried[-1]) if job.tried else None
    mean = last.mean if last else tuning.initial_mean
    delay = max(tuning.hedge_min_delay, tuning.hedge_factor * mean)
    return min(delay, job.left(group.around.clock))


async def attempt_read(group, job, item, turn):
    """Ask one upstream in its turn; never raises an UpstreamError."""
    try:
        async with turn:
            if job.over:
                return Attempt(upstream=item.id, reply=None, detail="answered before")
            if not group.around.catalog.is_valid(job.credential):
                return Attempt(upstream=item.id, reply=withdrawn())
            return await attempt_now(group, job, item)
    except Hopeless as exc:
        return await give_up(item, exc)


async def attempt_now(group, job, item):
    """Ask one upstream now."""
    around, clock = group.around, group.around.clock
    try:
        pooled = await item.pool.acquire(
            values=job.values,
            timeout=job.left(clock) or around.tuning.ping_timeout,
            workspace=job.workspace,
        )
    except UpstreamError as exc:
        item.failed(exc, clock(), around.tuning)
        return Attempt(upstream=item.id, reply=None, detail=str(exc))
    try:
        reply = await ask_read(group, job, item, pooled)
    except asyncio.CancelledError:
        pooled.conn.close()
        raise
    except UpstreamError as exc:
        item.failed(exc, clock(), around.tuning)
        group.watch.doubt(item.id)
        around.log(
            PART,
            "attempt failed",
            request=job.request,
            upstream=item.id,
            error=str(exc),
        )
        return Attempt(upstream=item.id, reply=None, detail=str(exc))
    finally:
        item.pool.release(pooled)
    return Attempt(upstream=item.id, reply=reply, detail="" if reply else "too late")


async def ask_read(group, job, item, pooled):
    """Run the read on a connection and note what it tells of the upstream.

    None if it is not needed any more.
    """
    around, clock = group.around, group.around.clock
    await bring_level(
        pooled,
        job.values,
        job.prepared,
        timeout=around.tuning.command_timeout,
        prepared_limit=around.tuning.prepared_limit,
    )
    if job.over:
        # Answered elsewhere while this attempt waited for its connection. What goes
        # wrong when it is sent: it runs after its session's values have changed.
        return None
    started = clock()
    reply = await pooled.conn.ask(
        job.statement,
        timeout=max(job.left(clock), around.tuning.ping_timeout),
        request=job.request,
        after=job.floor,
    )
    if reply.ok:
        item.answered(clock() - started, reply.position, clock(), around.tuning)
    note_refusal(around, item, pooled, reply)
    return reply


def note_refusal(around, item, pooled, reply):
    """Draw conclusions from a refused read."""
    if reply.refusal is Refusal.LAGGING:
        item.lacked(around.clock(), around.tuning)
    if reply.refusal is Refusal.UNKNOWN_NAME:
        pooled.dirty = True
    if reply.refusal is Refusal.BUSY:
        item.turns.queue.turned_away(around.clock())


def overloaded(job, wait):
    """The refusal of work that cannot be answered in time; it has not run."""
    job.queue = wait
    return Reply(
        refusal=Refusal.BUSY,
        detail=f"not run, the queue takes {wait * 1000:.0f} ms",
        retry_after_ms=retry_after_ms(wait, job.request),
    )


def withdrawn():
    """The refusal of work whose caller's key was withdrawn while it waited."""
    return Reply(refusal=Refusal.UNKNOWN_KEY, detail=f"not run, {KEY_WITHDRAWN}")


def no_leader(tuning):
    """The refusal of work that needs a leader while there is none."""
    return Reply(
        refusal=Refusal.BUSY,
        detail="not run, the group has no proven primary",
        retry_after_ms=tuning.retry_after_ms,
    )
