"""The pool of connections to one upstream: limits, order of service, no leaks."""

import asyncio

import pytest

from gypsum_policy.ownership import MIN_CONNECTIONS
from gypsum_sessions.execution.jobs import Job, send_statement
from gypsum_sessions.replies import (
    UpstreamError,
    UpstreamLost,
    UpstreamRefused,
    UpstreamTimeout,
)
from gypsum_sessions.statements import Statement, StatementKind
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from gypsum_sessions.upstreams.pool import ConnPool
from tests.sessions.fakegroup import FakeDialer, FakeGroup
from tests.sessions.rig import Rig, catalog
from tests.sessions.vclock import run


def make_pool(limit=2):
    """A pool of connections to the first member of a group."""
    loop = asyncio.get_running_loop()
    group = FakeGroup().add()
    dialer = FakeDialer(group=group, loop=loop)
    pool = ConnPool(
        member=group.listing()[0],
        dialer=dialer,
        limit=limit,
        clock=loop.clock,
        tuning=DEFAULT_SESSION_TUNING,
    )
    return pool, group, dialer


def test_connections_are_kept_and_used_again():
    async def main():
        pool, _, dialer = make_pool()
        for _ in range(5):
            pool.release(await pool.acquire(values={}, timeout=1.0))
        assert dialer.dials == 1

    run(main())


def test_the_connection_with_the_same_values_is_preferred():
    async def main():
        pool, _, _ = make_pool()
        first = await pool.acquire(values={}, timeout=1.0)
        second = await pool.acquire(values={}, timeout=1.0)
        first.values["tz"] = "x"
        pool.release(first)
        pool.release(second)
        assert await pool.acquire(values={"tz": "x"}, timeout=1.0) is first

    run(main())


def test_waiters_are_served_in_order_of_arrival():
    async def main():
        pool, _, _ = make_pool(limit=1)
        held = await pool.acquire(values={}, timeout=1.0)
        order = []

        async def wait(name):
            pooled = await pool.acquire(values={}, timeout=1.0)
            order.append(name)
            pool.release(pooled)

        tasks = [asyncio.create_task(wait(name)) for name in "abc"]
        await asyncio.sleep(0.01)
        pool.release(held)
        await asyncio.gather(*tasks)
        assert order == ["a", "b", "c"]

    run(main())


def test_a_wait_ends_at_its_time_and_loses_no_connection():
    async def main():
        pool, _, _ = make_pool(limit=1)
        held = await pool.acquire(values={}, timeout=1.0)
        with pytest.raises(UpstreamTimeout):
            await pool.acquire(values={}, timeout=0.2)
        pool.release(held)
        pool.release(await pool.acquire(values={}, timeout=0.2))
        assert pool.in_use == 0 and pool.open_count == 1

    run(main())


def test_a_broken_connection_makes_room_for_a_new_one():
    async def main():
        pool, _, _ = make_pool(limit=1)
        held = await pool.acquire(values={}, timeout=1.0)
        waiting = asyncio.create_task(pool.acquire(values={}, timeout=1.0))
        await asyncio.sleep(0.01)
        held.conn.close()
        pool.release(held)
        assert (await waiting).alive
        assert pool.open_count == 1

    run(main())


def test_failed_dials_are_retried_with_increasing_backoff():
    """Guards against dialling a dead upstream hundreds of times a second.

    After an upstream crashed, each statement routed there dialled again at once.
    """

    async def main():
        pool, group, dialer = make_pool()
        group["u1"].crash()
        for _ in range(200):
            with pytest.raises(UpstreamError):
                await pool.acquire(values={}, timeout=1.0)
            await asyncio.sleep(0.01)
        assert dialer.dials <= 6
        group["u1"].restart()
        await asyncio.sleep(DEFAULT_SESSION_TUNING.redial_backoff_max)
        pool.release(await pool.acquire(values={}, timeout=1.0))
        assert pool.dial_backoff == 0.0

    run(main())


def test_a_refused_acquire_provably_sent_nothing():
    async def main():
        pool, group, _ = make_pool()
        group["u1"].crash()
        with pytest.raises(UpstreamLost):
            await pool.acquire(values={}, timeout=1.0)
        with pytest.raises(UpstreamLost) as caught:
            await pool.acquire(values={}, timeout=1.0)
        assert not caught.value.sent

    run(main())


def test_at_the_upstreams_limit_a_request_waits_for_an_open_connection():
    """Guards against statements failing at healthy upstreams after a power loss.

    The upstream still counts the lost connections and refuses a daemon's second one.
    The refusal must not fail the statement, as the first connection is free a moment
    later.
    """

    async def main():
        pool, group, dialer = make_pool(limit=3)
        held = await pool.acquire(values={}, timeout=1.0)
        group["u1"].limit = 1
        waiting = asyncio.create_task(pool.acquire(values={}, timeout=1.0))
        await asyncio.sleep(0.05)
        pool.release(held)
        assert await waiting is held
        assert dialer.dials == 2

    run(main())


def test_a_refusal_at_the_limit_is_reported_as_one_and_retried_soon():
    async def main():
        pool, group, dialer = make_pool()
        group["u1"].limit = 0
        until = asyncio.get_running_loop().time() + 3.0
        while asyncio.get_running_loop().time() < until:
            with pytest.raises(UpstreamRefused) as caught:
                await pool.acquire(values={}, timeout=1.0)
            assert caught.value.at_limit
            await asyncio.sleep(0.01)
        assert 8 <= dialer.dials <= 11
        group["u1"].limit = 9
        await asyncio.sleep(DEFAULT_SESSION_TUNING.redial_delay_at_limit)
        pool.release(await pool.acquire(values={}, timeout=1.0))

    run(main())


def test_a_closed_pool_closes_returned_connections():
    async def main():
        pool, _, _ = make_pool()
        held = await pool.acquire(values={}, timeout=1.0)
        pool.close()
        pool.release(held)
        assert not held.alive and pool.open_count == 0

    run(main())


def test_connections_idle_for_long_are_closed_but_for_one():
    """Guards against an upstream refusing the connection that proves its leadership.

    If daemons kept their full shares after a load peak, these and the connections for
    proofs and commands would exceed the upstream's limit.
    """

    async def main():
        pool, group, _ = make_pool(limit=3)
        held = [await pool.acquire(values={}, timeout=1.0) for _ in range(3)]
        for pooled in held:
            pool.release(pooled)
        pool.close_surplus()
        assert pool.open_count == 3
        await asyncio.sleep(DEFAULT_SESSION_TUNING.idle_timeout + 0.1)
        pool.close_surplus()
        assert pool.open_count == 1 == len(group["u1"].conns)

    run(main())


def test_a_connection_beyond_the_limit_keeps_no_workspace_out():
    """Guards against statements that time out next to idle connections.

    An urgent caller has opened one connection beyond the limit, all are idle, and none
    belongs to the requesting workspace. Evicting one when exactly at the limit is not
    enough.
    """

    async def main():
        pool, _, _ = make_pool(limit=2)
        held = [
            await pool.acquire(values={}, timeout=1.0, workspace=name) for name in "ab"
        ]
        held.append(await pool.acquire(values={}, timeout=1.0, urgent=True))
        for pooled in held:
            pool.release(pooled)
        third = await pool.acquire(values={}, timeout=0.1, workspace="c")
        assert third.workspace == "c" and pool.open_count <= pool.limit

    run(main())


def test_a_busy_workspace_does_not_starve_the_others():
    """Guards against a workspace whose statements wait until their deadline.

    Callers of a busy workspace release and acquire connections continuously. If a new
    request went before waiting ones, each released connection would go back to them.
    """

    async def main():
        pool, _, _ = make_pool(limit=1)

        async def use():
            pooled = await pool.acquire(values={}, timeout=5.0, workspace="busy")
            await asyncio.sleep(0.01)
            pool.release(pooled)

        async def keep_busy():
            while True:
                await use()

        busy = [asyncio.create_task(keep_busy()) for _ in range(5)]
        await asyncio.sleep(0.1)
        pool.release(await pool.acquire(values={}, timeout=0.5, workspace="small"))
        for task in busy:
            task.cancel()

    run(main())


def test_a_waiter_that_can_not_be_served_blocks_no_other():
    """A workspace that waits during the dial backoff keeps no connection idle."""

    async def main():
        pool, group, _ = make_pool(limit=3)
        pool.release(await pool.acquire(values={}, timeout=1.0, workspace="a"))
        group["u1"].limit = 1
        waiting = asyncio.create_task(
            pool.acquire(values={}, timeout=0.2, workspace="b")
        )
        await asyncio.sleep(0.05)
        pool.release(await pool.acquire(values={}, timeout=0.05, workspace="a"))
        with pytest.raises(UpstreamError):
            await waiting

    run(main())


def test_a_daemon_opens_few_connections_after_its_start():
    """Guards against daemons that find no leader for seconds after they all lost power.

    The upstreams still count the lost connections. If the first daemons to return
    opened their full shares at once, the last would be refused.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        group = rig.proxy.groups["db"]
        tuning = rig.proxy.tuning
        rig.proxy.keep_running(rig.proxy.run_maintenance)
        pool = group.upstreams["u1"].pool
        assert pool.limit == MIN_CONNECTIONS
        held = [await pool.acquire(values={}, timeout=1.0) for _ in range(pool.limit)]
        waiting = asyncio.create_task(pool.acquire(values={}, timeout=9.0))
        await asyncio.sleep(tuning.startup_limit_duration + 0.5)
        assert pool.limit > MIN_CONNECTIONS
        for pooled in (*held, await waiting):
            pool.release(pooled)

    run(main())


async def time_out(pool):
    """Let a statement outlast its timeout; returns its job and connection."""
    pooled = await pool.acquire(values={}, timeout=1.0)
    job = Job(
        request="1",
        statement=Statement(kind=StatementKind.READ, text="READ a"),
        route=catalog().routes["own"],
        arrived=0.0,
        deadline=1.0,
        values={},
    )
    with pytest.raises(UpstreamTimeout):
        await send_statement(pooled, job, timeout=0.1, linger=1.0)
    pool.release(pooled)
    return job, pooled


def test_a_connection_whose_statement_timed_out_is_kept_until_it_ends():
    async def main():
        pool, group, _ = make_pool()
        group["u1"].work = 0.5
        job, pooled = await time_out(pool)
        assert pooled.alive and job.running and pool.open_count == 0
        await job.wait_ended()
        await asyncio.sleep(0)
        assert not (pooled.alive or job.orphaned or pool.lingering)

    run(main())


def test_a_connection_whose_statement_timed_out_gives_way_to_a_new_one():
    """Guards against a pool that silent connections fill beyond their timeout."""

    async def main():
        pool, group, _ = make_pool(limit=1)
        group["u1"].work = 0.5
        _, pooled = await time_out(pool)
        fresh = await pool.acquire(values={}, timeout=0.1)
        assert fresh.alive and not pooled.alive
        assert pool.open_count == 1 and not pool.lingering

    run(main())
