"""Reads that were answered elsewhere while they waited are not sent."""

import asyncio

from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.statements import Statement, StatementKind
from tests.sessions.rig import Rig, catalog
from tests.sessions.vclock import run


async def acquire_all(pool):
    """Acquire all connections that a pool gives out."""
    held = [await pool.acquire(values={}, timeout=1.0, workspace="")]
    while pool.has_capacity():
        held.append(await pool.acquire(values={}, timeout=1.0, workspace=""))
    return held


def test_a_read_that_got_its_connection_too_late_is_not_sent():
    """Guards against a PINNED failure: a read runs with values that its session lost.

    A read waits for a connection at one replica and is answered by another. Its session
    then sets a value. When the first replica's connection comes free, the read must not
    be sent there: whether it is still needed is checked again after the wait.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        group = rig.proxy.groups["db"]
        caller = rig.caller("bounded")
        await caller.send("READ a")
        rig.group["u1"].work = 0.3
        held = {
            name: await acquire_all(group.upstreams[name].pool) for name in ("u2", "u3")
        }
        reading = asyncio.create_task(caller.send("READ a"))
        await asyncio.sleep(0.01)
        before = rig.group["u2"].runs + rig.group["u3"].runs
        assert (await reading).ok
        for name, connections in held.items():
            for pooled in connections:
                group.upstreams[name].pool.release(pooled)
        await asyncio.sleep(0.2)
        assert rig.group["u2"].runs + rig.group["u3"].runs == before

    run(main())


def test_an_attempt_at_the_end_of_its_time_counts_as_running():
    """An attempt that still runs is reported as running even with no time left."""

    async def main():
        job = Job(
            request="1",
            statement=Statement(kind=StatementKind.READ),
            route=catalog().routes["own"],
            arrived=0.0,
            deadline=1.0,
            values={},
        )
        assert job.attempts_time_left(lambda: 1.0, 0.3) == 0.0
        job.running_attempts.add(asyncio.create_task(asyncio.sleep(9.0)))
        assert job.attempts_time_left(lambda: 1.0, 0.3) == 0.3
        assert job.attempts_time_left(lambda: 0.2, 0.3) == 0.8

    run(main())
