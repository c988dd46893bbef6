"""Whether a commit is where a takeover would find it.

A primary acknowledges a commit once any replica has it. A takeover pauses the
replicas that the list names. A replica that joins in between is named by nobody yet:
a primary that is being replaced acknowledges through it what the new one will not
have. So a commit is passed on as done once a replica that every takeover under way
knows has it, and work is turned away while no such replica can be asked.
"""

import asyncio
from enum import StrEnum

from gypsum_sessions.replies import Refusal, UpstreamError
from gypsum_sessions.statements import BEGIN_READ_ONLY, ROLLBACK, STATUS
from gypsum_sessions.upstreams.upstream import is_ours

PART = "confirm"


class Evidence(StrEnum):
    """What the replicas say of a position."""

    HELD = "held"
    LACKING = "lacking"
    UNKNOWN = "unknown"


async def is_safe(group, position, leader, *, patience):
    """Tell whether a commit at a position may be passed on as done.

    The replicas are asked again for `patience` seconds: one may be behind for a moment,
    or all our connections to it in use.
    """
    if not group.spec.sync_replicas:
        return True
    around = group.around
    until = around.clock() + patience
    evidence = Evidence.UNKNOWN
    while position is not None:
        evidence = await find_evidence(group, position, leader)
        if evidence is Evidence.HELD:
            return True
        if around.clock() + around.tuning.confirm_retry_interval >= until:
            break
        await asyncio.sleep(around.tuning.confirm_retry_interval)
    around.log(
        PART,
        "commit not confirmed",
        group=group.name,
        position=str(position or ""),
        evidence=str(evidence),
        takeover=group.takeover_under_way(),
    )
    return False


async def can_confirm(group, leader, *, patience):
    """Tell whether a commit could be confirmed; asks silent replicas once more.

    What goes wrong without it: a daemon that is cut off from the replicas goes on
    writing, and has to tell each caller that the outcome is not known. Turned away,
    the callers come back at another daemon. While no replica is listed, or none that
    all takeovers know, another daemon is no better: that is waited for, for `patience`
    seconds at most.
    """
    if not group.spec.sync_replicas:
        return True
    until = group.around.clock() + patience
    while not known_replicas(group, leader) and group.around.clock() < until:
        await asyncio.sleep(group.around.tuning.confirm_apply_wait)
    replicas = known_replicas(group, leader)
    if any(item.askable for item in replicas):
        return True
    found = await gather_evidence(
        group, replicas, lambda item: ask_one(group, item, None, ask_alive)
    )
    return Evidence.HELD in found.values()


async def find_evidence(group, position, leader):
    """Ask the replicas that any takeover knows of, until one has the position.

    Asking whether a position is applied costs an upstream nothing, asking what it has
    received takes a slot: so the second is asked only of those that lag, at once where
    they were seen to.
    """
    tuning = group.around.tuning
    replicas = known_replicas(group, leader)
    until = group.around.clock() + tuning.confirm_apply_wait
    quick = [item for item in replicas if item.lag < tuning.confirm_apply_wait]
    found = await gather_evidence(
        group, quick, lambda item: poll_applied(group, item, position, until)
    )
    if Evidence.HELD in found.values():
        return Evidence.HELD
    lagging = [
        item for item in replicas if found.get(item.id) in (None, Evidence.LACKING)
    ]
    found |= await ask_in_turn(group, lagging, position)
    if Evidence.HELD in found.values():
        return Evidence.HELD
    found = found.values()
    unknown = not found or Evidence.UNKNOWN in found
    return Evidence.UNKNOWN if unknown else Evidence.LACKING


async def ask_in_turn(group, replicas, position):
    """Ask what replicas have received, the least loaded first, then the others.

    What goes wrong when all are asked at once: every commit takes a slot of each.
    """
    ranked = sorted(replicas, key=lambda item: (item.turns.queue.load, item.mean))
    pause = group.around.tuning.confirm_hedge_delay
    found = []

    async def ask_after(item):
        await asyncio.sleep(pause * ranked.index(item))
        if Evidence.HELD in found:
            return Evidence.UNKNOWN
        found.append(await ask_one(group, item, position, ask_received))
        return found[-1]

    return await gather_evidence(group, ranked, ask_after)


def known_replicas(group, leader):
    """Replicas whose word counts: known to any takeover under way, and staying.

    The log of one that leaves goes with it: a commit that only it has is lost with the
    primary. Where all leave, their word is better than none. One that is not listed
    now may be unknown to a takeover that reads the list now.
    """
    board = group.around.board
    known = [
        item
        for item in group.upstreams.values()
        if item.id != leader
        and item.member.missing_since is None
        and board.knows(group.name, item.member.joined)
    ]
    staying = [item for item in known if item.member.stays]
    return staying or known


async def gather_evidence(group, replicas, question):
    """What each replica says, by id; ends with the first that has the position.

    One that is silent is not waited for beyond the time of an ordinary answer: after
    a failover the old primary is, and every commit would wait for it.
    """
    tasks = {asyncio.create_task(question(item)): item.id for item in replicas}
    found = dict.fromkeys(tasks.values(), Evidence.UNKNOWN)
    tuning, clock = group.around.tuning, group.around.clock
    until = clock() + tuning.confirm_apply_wait + tuning.confirm_margin
    pending = set(tasks)
    while pending and Evidence.HELD not in found.values():
        left = until - clock()
        if left <= 0:
            break
        done, pending = await asyncio.wait(
            pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        found.update({tasks[task]: task.result() for task in done})
    group.keep_tasks(pending)
    return found


async def poll_applied(group, item, position, until):
    """Ask a replica again until it has applied the position or time is up."""
    tuning, clock = group.around.tuning, group.around.clock
    if item.unreachable and clock() < item.avoid_until:
        return Evidence.UNKNOWN
    began = clock()
    while True:
        found = await ask_one(group, item, position, ask_applied)
        if found is not Evidence.LACKING or clock() >= until:
            break
        await asyncio.sleep(tuning.confirm_poll_interval)
    if found is Evidence.HELD:
        item.applied_after(clock() - began, tuning)
    elif found is Evidence.LACKING:
        item.applied_after(2 * tuning.confirm_apply_wait, tuning)
    return found


async def ask_one(group, item, position, question):
    """What one replica says of a position."""
    around = group.around
    try:
        pooled = await item.pool.acquire(
            values={}, timeout=around.tuning.ping_timeout, first=True, oldest=True
        )
        try:
            if not around.board.trusts(group.name, pooled.opened_at):
                return Evidence.UNKNOWN
            evidence = await question(item, pooled.conn, position, around.tuning)
        finally:
            item.pool.release(pooled)
        item.heard(around.clock())
        return evidence
    except UpstreamError as exc:
        item.unreachable = item.unreachable or not is_ours(exc)
        item.failed(exc, around.clock(), around.tuning)
        around.log(PART, "replica not asked", upstream=item.id, error=str(exc))
        return Evidence.UNKNOWN


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


async def ask_received(item, conn, position, tuning):
    """Whether a replica has received what it may not have applied yet."""
    reply = await conn.ask(STATUS, timeout=tuning.ping_timeout)
    if not reply.ok:
        return Evidence.UNKNOWN
    status = conn.read_status(reply)
    item.applied_after(status.lag_ms / 1000, tuning)
    received = status.received
    # An end of another term tells nothing: the position may have been cut off there.
    same_term = received.term == position.term
    held = same_term and received.index >= position.index
    return Evidence.HELD if held else Evidence.LACKING
