"""Check that a commit would survive a takeover.

A primary acknowledges a commit once any replica has it. A takeover pauses the replicas
that are listed. A replica that joins later is unknown to the takeover: a primary that
is being replaced may acknowledge, through that replica, commits that the new primary
will not have. So a commit is reported as done only once a replica has it that every
takeover under way knows, and that is on the group's record, where later takeovers find
it although it is down with the primary. Work is refused while no such replica can be
asked.
"""

import asyncio
from enum import StrEnum

from gypsum_sessions.replies import Refusal, UpstreamError
from gypsum_sessions.statements import BEGIN_READ_ONLY, ROLLBACK, STATUS
from gypsum_sessions.upstreams.upstream import is_connection_shortage

PART = "confirm"


class Evidence(StrEnum):
    """The replicas' answers about a position, combined."""

    HELD = "held"
    LACKING = "lacking"
    UNKNOWN = "unknown"


async def is_confirmed(group, position, leader, *, timeout):
    """Return whether a commit at a position may be reported as done.

    Replicas are queried again until `timeout` seconds have passed: one may lag for a
    moment, or all of this daemon's connections to it may be in use.
    """
    if not group.spec.sync_replicas:
        return True
    context = group.context
    until = context.clock() + timeout
    evidence = Evidence.UNKNOWN
    while position is not None:
        evidence = await find_evidence(group, position, leader)
        if evidence is Evidence.HELD:
            return True
        if context.clock() + context.tuning.confirm_retry_interval >= until:
            break
        await asyncio.sleep(context.tuning.confirm_retry_interval)
    context.log(
        PART,
        "commit not confirmed",
        group=group.name,
        position=str(position or ""),
        evidence=str(evidence),
        takeover=group.takeover_in_progress(),
    )
    return False


async def can_confirm(group, leader, *, timeout):
    """Return whether a commit could be confirmed; retries unreachable replicas once.

    Otherwise a daemon that is cut off from the replicas would go on writing and report
    each outcome as unknown. Refused callers can go to another daemon. If no replica is
    listed that all takeovers know, other daemons can't confirm commits either, so this
    waits up to `timeout` seconds for one, unless the group has lost all replicas.
    """
    if not group.spec.sync_replicas:
        return True
    until = group.context.clock() + timeout
    while not known_replicas(group, leader) and group.context.clock() < until:
        if not has_replicas(group, leader):
            return False
        await asyncio.sleep(group.context.tuning.confirm_apply_wait)
    replicas = known_replicas(group, leader)
    reachable = [item for item in replicas if item.reachable]
    if reachable:
        return lease_can_be_known(group, reachable)
    found = await gather_evidence(
        group, replicas, lambda item: ask_one(group, item, None, ask_alive)
    )
    return Evidence.HELD in found.values()


def lease_can_be_known(group, replicas):
    """Return whether one replica will be trusted when a commit is to be confirmed.

    If all connections are newer than what is known of the lease, the store is asked
    now. The commit would be in doubt if it did not answer.
    """
    view, reader = group.context.lease_view, group.context.lease_reader
    opened = [item.pool.oldest_opened_at() for item in replicas]
    if all(at is not None and view.must_read(group.name, at) for at in opened):
        return reader.request(group.name)
    return True


def has_replicas(group, leader):
    """Return whether any other member is listed, or was until a moment ago."""
    return any(name != leader for name in group.upstreams)


async def have_copies(group, since, names):
    """Return whether replicas have every commit that was acknowledged before a time.

    Only replicas in `names` count, as many as each commit needs. False without a proven
    primary.
    """
    if not group.spec.sync_replicas:
        return True
    floor, leader = group.floors.newest, group.watch.leader
    if not leader or floor is None or floor.asked_at < since:
        return False
    replicas = [item for item in known_replicas(group, leader) if item.id in names]
    found = await find_evidence(group, floor.position, leader, replicas)
    return found is Evidence.HELD


async def find_evidence(group, position, leader, replicas=None):
    """Query the replicas that all takeovers know, until enough have the position.

    Asking whether a position is applied costs an upstream nothing; asking what it has
    received takes a slot. So only lagging replicas are asked the latter, at once if
    they were known to lag.
    """
    tuning = group.context.tuning
    if replicas is None:
        replicas = known_replicas(group, leader)
    until = group.context.clock() + tuning.confirm_apply_wait
    low_lag = [item for item in replicas if item.apply_lag < tuning.confirm_apply_wait]
    needed = group.spec.sync_replicas
    found = await gather_evidence(
        group, low_lag, lambda item: poll_applied(group, item, position, until), needed
    )
    if enough_hold(found, needed):
        return Evidence.HELD
    lagging = [
        item for item in replicas if found.get(item.id) in (None, Evidence.LACKING)
    ]
    found |= await ask_received_hedged(
        group, lagging, position, needed - count_held(found)
    )
    if enough_hold(found, needed):
        return Evidence.HELD
    unknown = len(found) < needed or Evidence.UNKNOWN in found.values()
    return Evidence.UNKNOWN if unknown else Evidence.LACKING


def count_held(found):
    """How many replicas have a position, of the answers by replica."""
    return list(found.values()).count(Evidence.HELD)


def enough_hold(found, needed):
    """Return whether as many replicas as needed have a position."""
    return count_held(found) >= needed


async def ask_received_hedged(group, replicas, position, needed):
    """Ask replicas what they have received, the least loaded first, then the others.

    Asking all at once would take a slot of each replica for every commit.
    """
    ranked = sorted(
        replicas, key=lambda item: (item.admission.queue.load, item.mean_time)
    )
    pause = group.context.tuning.confirm_hedge_delay
    found = {}

    async def ask_after(item):
        await asyncio.sleep(pause * ranked.index(item))
        if enough_hold(found, needed):
            return Evidence.UNKNOWN
        found[item.id] = await ask_received(group, item, position)
        return found[item.id]

    return await gather_evidence(group, ranked, ask_after, needed)


def known_replicas(group, leader):
    """Replicas that count as evidence: known to all takeovers, and not leaving.

    The log of a leaving replica goes with it: a commit that only it has is lost with
    the primary. If all replicas leave, they count all the same. A replica that is not
    listed now may be unknown to a takeover that reads the list now, and one that is not
    on record to a takeover that begins when it is down.
    """
    lease_view, recorder = group.context.lease_view, group.context.recorder
    known = [
        item
        for item in group.upstreams.values()
        if item.id != leader
        and item.member.missing_since is None
        and lease_view.member_known(group.name, item.member.joined)
        and recorder.may_confirm(group.name, item.id)
    ]
    staying = [item for item in known if item.member.active]
    return staying or known


async def gather_evidence(group, replicas, query, needed=1):
    """The answer of each replica by id; ends once as many as needed have the position.

    Waits no longer than an ordinary answer takes: after a failover the old primary does
    not answer, and every commit would wait for it.
    """
    tasks = {asyncio.create_task(query(item)): item.id for item in replicas}
    found = dict.fromkeys(tasks.values(), Evidence.UNKNOWN)
    tuning, clock = group.context.tuning, group.context.clock
    until = clock() + tuning.confirm_apply_wait + tuning.confirm_margin
    pending = set(tasks)
    while pending and not enough_hold(found, needed):
        left = until - clock()
        if left <= 0:
            break
        done, pending = await asyncio.wait(
            pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        found.update({tasks[task]: task.result() for task in done})
    group.track_tasks(pending)
    return found


async def poll_applied(group, item, position, until):
    """Query a replica until it has applied the position or time is up."""
    tuning, clock = group.context.tuning, group.context.clock
    if item.unreachable and clock() < item.avoid_until:
        return Evidence.UNKNOWN
    started_at = clock()
    while True:
        found = await ask_one(group, item, position, ask_applied)
        if found is not Evidence.LACKING or clock() >= until:
            break
        await asyncio.sleep(tuning.confirm_poll_interval)
    if found is Evidence.HELD:
        item.record_apply_lag(clock() - started_at, tuning)
    elif found is Evidence.LACKING:
        item.record_apply_lag(2 * tuning.confirm_apply_wait, tuning)
    return found


async def ask_one(group, item, position, query):
    """One replica's answer about a position; UNKNOWN if it gives none."""
    context = group.context
    try:
        pooled = await item.pool.acquire(
            values={},
            timeout=context.tuning.ping_timeout,
            urgent=True,
            prefer_oldest=True,
        )
        try:
            if not may_be_trusted(group, pooled):
                return Evidence.UNKNOWN
            evidence = await query(item, pooled.conn, position, context.tuning)
        finally:
            item.pool.release(pooled)
        item.record_response(context.clock())
        return evidence if await is_trusted(group, pooled) else Evidence.UNKNOWN
    except UpstreamError as exc:
        item.unreachable = item.unreachable or not is_connection_shortage(exc)
        item.record_failure(exc, context.clock(), context.tuning)
        context.log(PART, "replica query failed", upstream=item.id, error=str(exc))
        return Evidence.UNKNOWN


def may_be_trusted(group, pooled):
    """Return whether a replica may turn out to confirm commits over a connection.

    If the connection is newer than what is known of the group's lease, the store is
    asked meanwhile.
    """
    view, reader = group.context.lease_view, group.context.lease_reader
    if view.must_read(group.name, pooled.opened_at):
        return reader.request(group.name)
    return view.connection_trusted(group.name, pooled.opened_at)


async def is_trusted(group, pooled):
    """Return whether an answer over a connection counts; waits for the lease."""
    view, reader = group.context.lease_view, group.context.lease_reader
    await reader.read(group.name, pooled.opened_at)
    return view.connection_trusted(group.name, pooled.opened_at)


async def ask_alive(item, conn, position, tuning):
    """Whether a replica answers at all."""
    await conn.ask(ROLLBACK, timeout=tuning.ping_timeout)
    return Evidence.HELD


async def ask_applied(item, conn, position, tuning):
    """Whether a replica has applied a position."""
    begun = await conn.ask(BEGIN_READ_ONLY, timeout=tuning.ping_timeout, after=position)
    if begun.ok:
        await conn.ask(ROLLBACK, timeout=tuning.ping_timeout)
        return Evidence.HELD
    return Evidence.LACKING if begun.refusal is Refusal.LAGGING else Evidence.UNKNOWN


async def ask_received(group, item, position):
    """Whether a replica has received a position that it may not have applied yet.

    All commits that wait share one query for a replica's status, since each query takes
    a slot there. One that was under way before may have been answered too early for
    this position, and is followed by another.
    """
    joined = item.status_query is not None
    found = evidence_of(await share_status(group, item), position)
    if joined and found is Evidence.LACKING:
        found = evidence_of(await share_status(group, item), position)
    return found


async def share_status(group, item):
    """The status in answer to the query under way, or to a new one; None: no answer.

    The query goes on if a commit that waits for it is cancelled.
    """
    if item.status_query is None:
        item.status_query = asyncio.create_task(query_status(group, item))
        group.track_tasks([item.status_query])
    return await asyncio.shield(item.status_query)


async def query_status(group, item):
    """Ask a replica for its status; None if it gives none."""
    statuses = []
    try:
        found = await ask_one(group, item, statuses, ask_status)
    finally:
        item.status_query = None
    return statuses[0] if found is Evidence.HELD else None


async def ask_status(item, conn, statuses, tuning):
    """Append a replica's status to a list, if it is not too busy to tell."""
    reply = await conn.ask(STATUS, timeout=tuning.ping_timeout)
    if not reply.ok:
        return Evidence.UNKNOWN
    status = conn.read_status(reply)
    item.record_apply_lag(status.lag_ms / 1000, tuning)
    statuses.append(status)
    return Evidence.HELD


def evidence_of(status, position):
    """Whether a replica with a status has received a position; None is no answer."""
    if status is None:
        return Evidence.UNKNOWN
    received = status.received
    # A log end in another term proves nothing: the position may have been discarded.
    same_term = received.term == position.term
    held = same_term and received.index >= position.index
    return Evidence.HELD if held else Evidence.LACKING
