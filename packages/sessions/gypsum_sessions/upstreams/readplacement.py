"""Chooses the upstreams that a read is sent to, and keeps what that rests on current.

`gypsum_policy` decides: by the position that the read requires, by how far each replica
is known or expected to be, and by the results of earlier reads.
"""

import asyncio

from gypsum_policy.replica_progress import READY, Readiness
from gypsum_policy.routing import order_for_read
from gypsum_sessions.catalog import ReadRule
from gypsum_sessions.replies import UpstreamError
from gypsum_sessions.statements import ROLLBACK

PART = "placement"
# Reason in `Job.left_out` of an upstream whose results are worse than others'.
SUSPECTED = "suspected"
# An upstream that was not probed for this long, seconds, is probed by a read that may
# miss its latency target: where all targets are short it would never recover.
NEGLECTED_AFTER = 5.0


def place_read(group, job, *, may_probe):
    """Ids of the upstreams to ask for a read, the best first; empty: wait a moment.

    Replicas that are not expected to have the floor are left out; those of which
    nothing can be learned are asked last. `may_probe`: the read may try an upstream
    that is avoided.
    """
    now, tuning = group.context.clock(), group.context.tuning
    reached_at = group.floors.expected_reached_at(job.floor, now)
    job.left_out = {}
    ready, unknown = [], []
    for item in group.upstreams.values():
        if not group.accepts_work(item.member):
            continue
        readiness = readiness_of(group, item, job.floor, reached_at, now)
        if readiness in READY:
            ready.append(item)
            continue
        if job.route.rule is not ReadRule.PRIMARY:
            withhold(group, item, job, readiness, now)
        if readiness is Readiness.UNKNOWN:
            unknown.append(item)
    suspects = judge(group, ready, job, now)
    usable = [
        item for item in ready if item.id not in suspects and now >= item.avoid_until
    ]
    probed = probe_target(group, job, ready, usable, now) if may_probe else None
    order = order_for_read(
        [
            group.candidate(
                item,
                now,
                job.workspace,
                suspected=item.id in suspects,
                probed=item is probed,
            )
            for item in ready
        ],
        far_cost=tuning.far_cost,
    )
    if probed is not None:
        probed.results.start_probe(now)
    return order + order_for_read(
        [group.candidate(item, now, job.workspace, lagging=True) for item in unknown],
        far_cost=tuning.far_cost,
    )


def readiness_of(group, item, floor, reached_at, now):
    """Whether an upstream has a floor; the primary has every floor."""
    if item.id == group.watch.leader:
        return Readiness.SHOWN
    return item.progress.readiness(floor, reached_at, now)


def withhold(group, item, job, readiness, now):
    """Record that a read is not sent to a replica; ask for its position if due."""
    job.left_out[item.id] = str(readiness)
    item.reads_withheld += 1
    item.record_behind(now)
    if not item.probing and item.progress.probe_due(now):
        item.progress.start_probe(now)
        item.position_probes += 1
        group.track_tasks([asyncio.create_task(probe_position(group, item))])


async def probe_position(group, item):
    """Ask a replica for its position; the query takes no slot there."""
    tuning, clock = group.context.tuning, group.context.clock
    item.probing = True
    try:
        pooled = await item.pool.acquire(
            values={}, timeout=tuning.ping_timeout, prefer_oldest=True
        )
        try:
            asked_at = clock()
            reply = await pooled.conn.ask(ROLLBACK, timeout=tuning.ping_timeout)
        finally:
            item.pool.release(pooled)
        item.record_position(reply.position, asked_at, clock())
    except UpstreamError as exc:
        group.context.log(
            PART,
            "no position",
            group=group.name,
            upstream=item.id,
            error=str(exc),
        )
    finally:
        item.probing = False


def judge(group, ready, job, now):
    """Ids of the upstreams that are suspected, compared with others that are ready."""
    suspects = set()
    for item in ready:
        item.results.count_overdue(now, group.hedge_delay(item))
        before = item.results.suspected
        others = [other.results for other in ready if other is not item]
        if not item.results.judge(others, now):
            suspected = False
        else:
            suspected = True
            suspects.add(item.id)
            job.left_out[item.id] = SUSPECTED
        if suspected != before:
            log_suspicion(group, item, suspected, now)
    return suspects


def log_suspicion(group, item, suspected, now):
    """Log that an upstream is avoided by reads, or that it no longer is."""
    group.context.log(
        PART,
        "avoided" if suspected else "no longer avoided",
        group=group.name,
        upstream=item.id,
        failure_share=round(item.results.failure_share, 2),
        latency_ms=round(1000 * (item.results.expected_latency(now) or 0.0)),
    )


def probe_target(group, job, ready, usable, now):
    """The upstream that this read may try though others are better, or None.

    Usually only a read that can still be answered within its latency target if the
    attempt hangs and a second upstream, which has room, is asked.
    """
    if job.route.rule is ReadRule.PRIMARY:
        return None
    for item in ready:
        needs_probes = item.results.needs_probes and (
            item.results.suspected or item.id != group.watch.leader
        )
        if not needs_probes or now < item.avoid_until:
            continue
        others = [
            other.mean_time
            for other in usable
            if other is not item and other.admission.queue.has_room(now)
        ]
        lost = group.hedge_delay(item) + min(others, default=float("inf"))
        in_time = now + lost <= job.admission_request().target_time
        neglected = others and now - item.results.probe_at > NEGLECTED_AFTER
        if (in_time or neglected) and item.results.probe_due(now):
            return item
    return None
