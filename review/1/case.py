"""Case 1: a daemon that restarts promotes a replica that lacks commits."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.world import Client, run_case, running

DEAF, PRIMARY, OTHER = "i-3", "i-1", "i-2"
WRITES = 40
DOWN = 7.0
DEAF_FOR = 6.5
# With KILL=0 the daemons run on, to show that they wait for the absent backends.
KILL = os.environ.get("KILL", "1") != "0"


async def write(world, daemon, name, count, acknowledged):
    """Write through a daemon; keep what was answered with success."""
    client = await Client.connect(world, daemon, "main", name)
    for number in range(count):
        data = f"{name}x{number}"
        _, end, _ = await client.query(f"WRITE {data} {data}")
        if end == "COMPLETE":
            acknowledged.append(data)
    client.close()


def hear_again(backend):
    """Let a backend receive the log again."""
    backend.deaf = False


async def crash_primary_and_replica(world):
    """Crash both backends that have the commits, and kill the daemons meanwhile."""
    group = world.group
    group.crash(PRIMARY)
    group.crash(OTHER)
    if KILL:
        for name in list(world.daemons):
            await world.kill(name)
        await asyncio.sleep(0.5)
        for name in list(world.daemons):
            await world.start_daemon(name)
        await asyncio.sleep(DOWN - 0.5)
    else:
        await asyncio.sleep(DOWN)
    await group.restart(OTHER)
    await group.restart(PRIMARY)


async def case(record, trouble):
    """Return whether each promoted backend had every acknowledged commit."""
    async with running(record, daemons=3) as world:
        group = world.group
        acknowledged = group.acknowledged
        await asyncio.sleep(5.0)
        await write(world, "front-1", "before", 5, acknowledged)
        if trouble:
            group[DEAF].deaf = True
            asyncio.get_running_loop().call_later(DEAF_FOR, hear_again, group[DEAF])
        await write(world, "front-1", "while", WRITES, acknowledged)
        record("acknowledged", count=len(acknowledged))
        if trouble:
            await crash_primary_and_replica(world)
        else:
            await asyncio.sleep(DOWN)
        await asyncio.sleep(8.0)
        await write(world, "front-1", "after", 5, acknowledged)
        world.record_logs("takeover")
        return judge(record, group)


def judge(record, group):
    """Return whether no promoted log lacked a commit acknowledged until then.

    Nor may the last primary's log lack one.
    """
    held = True
    logs = [
        *group.promotions,
        (group.leader.id, group.leader.data(), group.acknowledged),
    ]
    for name, kept, acknowledged in logs:
        lost = [data for data in acknowledged if data not in kept]
        record("judged", log_of=name, acknowledged=len(acknowledged), lost=len(lost))
        held = held and not lost
    return held


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
