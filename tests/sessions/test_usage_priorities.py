"""Which operations of a workspace pass at its cap, over a fleet."""

import asyncio
from random import Random

import pytest

from gypsum_policy.ratelimit import INITIAL_TOKENS, WINDOW
from gypsum_sessions.daemons.peermessages import GrantRequest, GrantResponse
from tests.sessions.test_usage import (
    CAP,
    KEYS,
    DaemonFaults,
    Load,
    capped_rig,
    home_of,
    max_allowed,
)
from tests.sessions.vclock import run

# Operations per second by database, in order of priority: five times the cap.
DEMAND = {"primary": 20.0, "own": 60.0, "bounded": 120.0}
ALLOWED_PER_SECOND = CAP.rate + CAP.burst / WINDOW


async def priority_rig():
    """A fleet whose routes have three priorities."""
    rig = await capped_rig()
    priorities = {name: {"priority": rank} for rank, name in enumerate(DEMAND)}
    config = rig.configured(2, KEYS, {"north": CAP}, **priorities)
    for proxy in rig.proxies:
        proxy.offer_catalog(config, "test")
    return rig


class PriorityLoad(Load):
    """Reads of one workspace through one database."""

    def __init__(self, *, rig, database, seed=1):
        super().__init__(rig=rig, seed=seed)
        self.database = database

    async def send_read(self, proxy):
        """Run one operation."""
        caller = self.rig.caller(self.database, proxy, key="n1")
        reply = await caller.send("READ a")
        self.replies.append((self.rig.loop.time(), reply))

    def served(self, since=0.0):
        """Number of operations that ran after a point in time."""
        return sum(reply.ok and at >= since for at, reply in self.replies)


class HomeFaults(DaemonFaults):
    """Makes one of the workspace's homes after the other unavailable for a while."""

    async def run(self, times):
        """Make a random home unavailable, one at a time."""
        homes = set(self.rig.proxy.usage.homes.for_workspace("north"))
        found = [proxy for proxy in self.rig.proxies if proxy.name in homes]
        for _ in range(times):
            fault = getattr(self, self.rng.choice(["killed", "frozen", "cut_off"]))
            await fault(self.rng.choice(found))
            await asyncio.sleep(self.rng.random() * 2.5)


def loads_for(rig):
    """One load for each priority, by database."""
    return {name: PriorityLoad(rig=rig, database=name) for name in DEMAND}


async def run_loads(loads, seconds, proxies=None):
    """Run all loads at once, each at its own rate."""
    await asyncio.gather(
        *(load.run(DEMAND[name], seconds, proxies) for name, load in loads.items())
    )


def test_no_urgent_operation_is_refused_at_five_times_the_cap():
    """Guards against a burst of the lowest priority that uses up the cap."""

    async def main():
        rig = await priority_rig()
        loads = loads_for(rig)
        await run_loads(loads, 20.0)
        assert loads["primary"].refused() == []
        assert loads["own"].served() > loads["bounded"].served()
        assert loads["bounded"].served() >= 0.8 * 0.05 * CAP.rate * 20.0

    run(main())


def test_a_workspace_above_its_cap_gets_what_windows_allow():
    """Guards against refusing a sixth of what a cap allows, once its burst is spent."""

    async def main():
        rig = await priority_rig()
        since = rig.loop.time() + 5.0
        await run_loads(loads_for(rig), 20.0)
        ran = sum(at >= since for at in rig.group.observer.times)
        assert ran >= 0.95 * ALLOWED_PER_SECOND * 15.0
        assert rig.group.observer.max_in_window() <= CAP.rate * WINDOW + CAP.burst

    run(main())


def test_urgent_operations_pass_after_the_home_is_lost():
    """Guards against a standby that serves in order of arrival, or beyond the cap."""

    async def main():
        rig = await priority_rig()
        loads, name = loads_for(rig), home_of(rig)
        others = [proxy for proxy in rig.proxies if proxy.name != name]
        running = asyncio.create_task(run_loads(loads, 16.0, others))
        await asyncio.sleep(7.0)
        rig.links.kill(name)
        lost_at = rig.loop.time()
        await running
        urgent = loads["primary"]
        assert len(urgent.refused()) <= 0.05 * len(urgent.replies)
        # The standby may save up a burst once it knows a whole window.
        assert urgent.refused(since=lost_at + WINDOW + 1.0) == []
        assert rig.group.observer.max_in_window() <= max_allowed(CAP)

    run(main())


@pytest.mark.parametrize("seed", range(20))
def test_the_cap_holds_while_the_homes_change_hands(seed):
    """Guards against windows that are exceeded by homes that alternate."""

    async def main():
        rig, rng = await priority_rig(), Random(seed)
        faults = HomeFaults(rig=rig, rng=rng)
        loads = loads_for(rig)
        running = asyncio.create_task(run_loads(loads, 22.0, faults.serving))
        # Homes that know a whole window grant most.
        await asyncio.sleep(6.0)
        await faults.run(5)
        await running
        assert rig.group.observer.max_in_window() <= max_allowed(CAP)

    run(main())


def test_a_brief_excess_waits_instead_of_being_refused():
    """Guards against refusals that a few milliseconds would have avoided."""

    async def main():
        rig = await priority_rig()
        await Load(rig=rig).run(10.0, WINDOW + 2.0)
        proxy = rig.proxies[1]
        load = PriorityLoad(rig=rig, database="bounded")
        count = int(CAP.burst) + 3
        await asyncio.gather(*(load.send_read(proxy) for _ in range(count)))
        assert load.refused() == []
        assert proxy.usage.outcomes["north"].booked >= 2

    run(main())


def test_a_refused_low_priority_does_not_refuse_urgent_operations():
    """Guards against a refusal that a daemon reuses for every priority."""

    async def main():
        rig = await priority_rig()
        await Load(rig=rig).run(300.0, 3.0)
        usage = rig.proxies[1].usage
        while not await usage.acquire("north", priority=2):
            pass
        assert await usage.acquire("north", priority=0) == 0.0

    run(main())


def test_daemons_of_an_earlier_version_are_understood():
    """Guards against a rolling upgrade that refuses or admits everything."""

    async def main():
        rig = await priority_rig()
        home = next(proxy for proxy in rig.proxies if proxy.name == home_of(rig))
        request = GrantRequest(call=0, workspace="north", wanted=2, cap=CAP)
        assert (await home.usage.handle_request(request)).granted == 2
        usage = rig.proxies[1].usage

        async def answer(request):
            return GrantResponse(call=0, granted=1, wait=0.5)

        usage.request_grant = answer
        urgent, lower = await asyncio.gather(
            usage.acquire("north", priority=0), usage.acquire("north", priority=2)
        )
        assert (urgent, lower) == (0.0, 0.5)

    run(main())


def test_a_home_counts_what_its_standby_granted():
    """Guards against a home that adds a window to what its standby has granted."""

    async def main():
        rig = await priority_rig()
        name = home_of(rig)
        asker = next(
            proxy
            for proxy in rig.proxies
            if proxy.name not in proxy.usage.homes.for_workspace("north")
        )
        rig.links.cut.add(frozenset({asker.name, name}))
        for proxy in rig.proxies:
            if proxy is not asker:
                rig.links.cut.add(frozenset({proxy.name, name}))
        for _ in range(20):
            await asker.usage.acquire("north")
            await asyncio.sleep(0.05)
        granted = asker.usage.outcomes["north"].granted
        rig.links.cut.clear()
        await asyncio.sleep(1.0)
        await asker.usage.acquire("north")
        home = next(proxy for proxy in rig.proxies if proxy.name == name)
        assert sum(home.usage.buckets["north"].window.foreign.values()) == granted

    run(main())


def test_a_home_that_is_home_again_has_no_burst_left():
    """Guards against a full burst beside what the home in between has granted."""

    async def main():
        rig = await priority_rig()
        usage = next(p.usage for p in rig.proxies if p.name == home_of(rig))

        def wanted(count):
            request = GrantRequest(
                call=0,
                workspace="north",
                wanted=count,
                cap=CAP,
                forwarded=True,
                waiting=((0, count, 0.0),),
            )
            return usage.grant_as_home(request, count, CAP, 0).granted

        wanted(1)
        await asyncio.sleep(4 * WINDOW)
        usage.daemons_changed()
        assert wanted(round(CAP.burst)) <= INITIAL_TOKENS

    run(main())


def test_a_reused_refusal_tells_when_to_return():
    """Guards against callers who are all told to return within the tenth of a second
    for which a daemon reuses a refusal."""

    async def main():
        rig = await priority_rig()
        usage = rig.proxy.usage
        usage.refuse("north", [Waiting(priority=2)], 0.9)
        await asyncio.sleep(0.05)
        wait = await usage.acquire("north", priority=2)
        assert wait == pytest.approx(0.85, abs=0.01)

    run(main())


class Waiting:
    """An operation that waits, without a caller."""

    def __init__(self, *, priority):
        self.priority = priority

    def resolve(self, verdict):
        """Ignore the verdict."""
