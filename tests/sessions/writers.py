"""Writers that run concurrently with a fault, and checks of their outcomes."""

import asyncio

from gypsum_sessions.replies import Refusal


async def write_for(rig, proxy, seconds, outcomes):
    """Write sequentially for some seconds; adds (data, refusal, time) to `outcomes`."""
    caller = rig.caller("own", proxy)
    deadline = rig.loop.time() + seconds
    number = 0
    while rig.loop.time() < deadline:
        number += 1
        data = f"{proxy.name}-{number}"
        reply = await caller.send(f"WRITE {data} {data}")
        outcomes.append((data, reply.refusal, rig.loop.time()))
        await asyncio.sleep(0.01)


def start_writers(rig, seconds, outcomes):
    """Start a writer at each daemon; returns the tasks."""
    return [
        asyncio.create_task(write_for(rig, proxy, seconds, outcomes))
        for proxy in rig.proxies
    ]


def check_nothing_lost(rig, outcomes):
    """Check that the leader's log has each acknowledged write and none twice.

    Writes refused as not run must not be there.
    """
    stored = [data for item in rig.group.leader.log for _, data in item.writes]
    assert len(stored) == len(set(stored))
    for data, refusal, _ in outcomes:
        if refusal is None:
            assert data in stored
        if refusal is Refusal.BUSY:
            assert data not in stored


def writes_resumed_after(outcomes, since):
    """Seconds from `since` to the first write acknowledged after it."""
    return min(at for _, refusal, at in outcomes if refusal is None and at > since) - (
        since
    )
