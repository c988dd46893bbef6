"""Statements whose turn comes too late are not sent."""

import asyncio
from dataclasses import replace

from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.replies import Refusal
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


def test_a_write_that_got_its_connection_at_its_deadline_is_not_sent():
    """Guards against a write in doubt that provably has not run.

    It waits for a connection until its time is over. Sent then, it is given up in the
    same moment, and its caller has to find out whether it has run.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        pool = rig.proxy.groups["db"].upstreams["u1"].pool
        held = await acquire_all(pool)
        caller = rig.caller("own")
        route = rig.proxy.catalog.route("own")
        rig.proxy.catalog.current.routes["own"] = replace(route, statement_timeout=0.2)
        writing = asyncio.create_task(caller.send("WRITE a 1"))
        await asyncio.sleep(0.199)
        for pooled in held:
            pool.release(pooled)
        reply = await writing
        assert reply.refusal is Refusal.BUSY and reply.detail.startswith("not run")
        await asyncio.sleep(0.5)
        assert rig.group.acknowledged == []

    run(main())


def test_a_write_is_sent_although_the_only_answer_so_far_took_its_whole_time():
    """Guards against an owner that refuses all writes for good after one slow answer.

    Nothing that is refused can show that the upstream is fast again.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        times = rig.proxy.groups["db"].upstreams["u1"].admission.queue.answer_times
        assert (await rig.caller("own").send("WRITE a 1")).ok
        assert (await rig.caller("primary").send("READ a")).ok
        for kind in times.fastest:
            times.fastest[kind] = 1.2
        assert (await rig.caller("own").send("WRITE a 2")).ok
        assert (await rig.caller("primary").send("READ a")).ok
        assert max(times.fastest.values()) < 0.1

    run(main())
