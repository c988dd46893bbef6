"""Connections to an upstream: peak over all daemons, waits, storms."""

import asyncio

from bench.report import Figure
from gypsum_core.spec import DEFAULT_TUNING
from gypsum_upstream.pool import Pool

LIMIT = 35
SLOTS = 5
REQUESTS = 400
CONNECT_SECONDS = 0.002


class FakeConnection:
    """A connection that can be closed."""

    def close(self):
        """Nothing to close."""


class Upstream:
    """Counts connects at once; stands for one upstream's listener."""

    def __init__(self):
        self.connecting = 0
        self.most_connecting = 0

    async def connect(self):
        """Open a connection, which takes a moment."""
        self.connecting += 1
        self.most_connecting = max(self.most_connecting, self.connecting)
        await asyncio.sleep(CONNECT_SECONDS)
        self.connecting -= 1
        return FakeConnection()


async def use(pool):
    """One statement on a pooled connection."""
    pooled = await pool.acquire()
    await asyncio.sleep(0)
    pool.release(pooled)


async def storm(warm):
    """Home and standby are asked by many at once, as after a promotion."""
    upstream = Upstream()
    share = DEFAULT_TUNING.home_share
    limits = (int(LIMIT * share), max(1, int(LIMIT * (1 - share))))
    pools = [
        Pool(connect=upstream.connect, limit=limit, target=SLOTS + 2 if warm else 0)
        for limit in limits
    ]
    if warm:
        for pool in pools:
            pool.warm()
        await asyncio.sleep(20 * CONNECT_SECONDS)
    waited = [pool.waits for pool in pools]
    for pool in pools:
        jobs = [use(pool) for _ in range(SLOTS)]
        for _ in range(REQUESTS // SLOTS):
            await asyncio.gather(*jobs)
            jobs = [use(pool) for _ in range(SLOTS)]
        for job in jobs:
            job.close()
    peak = sum(pool.peak for pool in pools)
    waits = sum(pool.waits for pool in pools) - sum(waited)
    for pool in pools:
        pool.close()
    return peak, waits, upstream.most_connecting


def measure():
    """Yield the figures."""
    for name, warm in (("warm", True), ("cold", False)):
        peak, waits, connecting = asyncio.run(storm(warm))
        yield Figure(
            name=f"connections_peak_home_and_standby_{name}",
            value=peak,
            unit="count",
            bound=LIMIT,
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
