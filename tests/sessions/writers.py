"""Callers that write one after the other, and what has to come of it."""

import asyncio

from gypsum_sessions.replies import Refusal


async def write_for(rig, proxy, seconds, told):
    """Write one after the other and keep what was acknowledged."""
    caller = rig.caller("own", proxy)
    until = rig.loop.time() + seconds
    number = 0
    while rig.loop.time() < until:
        number += 1
        data = f"{proxy.name}-{number}"
        reply = await caller.send(f"WRITE {data} {data}")
        told.append((data, reply.refusal, rig.loop.time()))
        await asyncio.sleep(0.01)


def start_writers(rig, seconds, told):
    """A writer at each daemon; the tasks."""
    return [
        asyncio.create_task(write_for(rig, proxy, seconds, told))
        for proxy in rig.proxies
    ]


def check_nothing_lost(rig, told):
    """Everything acknowledged is in the leader's log, and nothing twice."""
    kept = [data for item in rig.group.leader.log for _, data in item.writes]
    assert len(kept) == len(set(kept))
    for data, refusal, _ in told:
        if refusal is None:
            assert data in kept
        if refusal is Refusal.BUSY:
            assert data not in kept


def writes_resumed_after(told, moment):
    """Seconds from a moment to the first acknowledged write that began later."""
    return min(at for _, refusal, at in told if refusal is None and at > moment) - (
        moment
    )
