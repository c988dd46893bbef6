"""Connections to an upstream: peak over all daemons, waits, concurrent connects."""

import asyncio

from bench.report import Figure
from gypsum_core.spec import DEFAULT_TUNING
from gypsum_upstream.pool import Pool

CONNECTION_LIMIT = 35
SLOTS = 5
REQUESTS = 400
CONNECT_SECONDS = 0.002


class FakeConnection:
    """A connection that can be closed."""

    def close(self):
        """Do nothing."""


class CountingUpstream:
    """Stand-in of an upstream's listener that counts concurrent connects."""

    def __init__(self):
        self.connecting = 0
        self.peak_connecting = 0

    async def connect(self):
        """Open a connection, which takes CONNECT_SECONDS."""
        self.connecting += 1
        self.peak_connecting = max(self.peak_connecting, self.connecting)
        await asyncio.sleep(CONNECT_SECONDS)
        self.connecting -= 1
        return FakeConnection()


async def run_statement(pool):
    """Run a statement on a pooled connection."""
    pooled = await pool.acquire()
    await asyncio.sleep(0)
    pool.release(pooled)


async def run_burst(warm):
    """Send many concurrent requests to home and standby, as after a promotion.

    Returns the peak of open connections, the number of requests that waited for one,
    and the peak of concurrent connects. `warm` opens connections beforehand.
    """
    upstream = CountingUpstream()
    share = DEFAULT_TUNING.home_share
    limits = (
        int(CONNECTION_LIMIT * share),
        max(1, int(CONNECTION_LIMIT * (1 - share))),
    )
    pools = [
        Pool(connect=upstream.connect, limit=limit, target=SLOTS + 2 if warm else 0)
        for limit in limits
    ]
    if warm:
        for pool in pools:
            pool.warm()
        await asyncio.sleep(20 * CONNECT_SECONDS)
    waits_before = [pool.waits for pool in pools]
    for pool in pools:
        jobs = [run_statement(pool) for _ in range(SLOTS)]
        for _ in range(REQUESTS // SLOTS):
            await asyncio.gather(*jobs)
            jobs = [run_statement(pool) for _ in range(SLOTS)]
        for job in jobs:
            job.close()
    peak = sum(pool.peak for pool in pools)
    waits = sum(pool.waits for pool in pools) - sum(waits_before)
    for pool in pools:
        pool.close()
    return peak, waits, upstream.peak_connecting


def measure():
    """Yield the figures."""
    for name, warm in (("warm", True), ("cold", False)):
        peak, waits, connecting = asyncio.run(run_burst(warm))
        yield Figure(
            name=f"connections_peak_home_and_standby_{name}",
            value=peak,
            unit="count",
            bound=CONNECTION_LIMIT,
        )
        yield Figure(
            name=f"connections_requests_that_waited_{name}",
            value=waits,
            unit="count",
            bound=0 if warm else None,
        )
        yield Figure(
            name=f"connections_opened_at_once_{name}",
            value=connecting,
            unit="count",
            bound=4,
        )
