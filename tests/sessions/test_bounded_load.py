"""A workspace that sends five times its usual, next to others that send theirs.

Load: transactions whose callers pause, so that each holds a connection for a fifth of a
second, and single reads. The owner of the hot workspace has connections for its usual
load only; the group's upstreams and the other owners have room.
"""

import asyncio
from collections import defaultdict
from dataclasses import replace
from math import inf
from unittest.mock import patch

from gypsum_sessions.daemons import remote
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

HOT = "north"
OTHERS = ("south", "east", "west")
# Fifteen daemons of which three own the group, with six connections to an upstream.
DAEMONS = 15
MAX_CONNECTIONS = 24
# Operations a second of a workspace; a third of them are transactions.
USUAL_RATE = 30
PAUSE = 0.06
PAUSES = [0.0555 + 0.001 * number for number in range(10)]
STATEMENTS = ("BEGIN", "WRITE a 1", "READ a", "COMMIT")


class Load:
    """Workspaces that send operations through all daemons that own nothing."""

    def __init__(self, rig, pause=PAUSE):
        self.rig = rig
        self.pause = pause
        self.results = defaultdict(list)
        self.running = []
        self.proxies = rig.others()

    async def send(self, rates, seconds):
        """Send operations at rates by workspace, without waiting for replies."""
        senders = [self.send_one(name, rate, seconds) for name, rate in rates.items()]
        await asyncio.gather(*senders)

    async def send_one(self, workspace, rate, seconds):
        """Send one workspace's operations."""
        for number in range(int(rate * seconds)):
            proxy = self.proxies[number % len(self.proxies)]
            caller = self.rig.caller("own", proxy, f"key of {workspace}")
            work = self.transaction if number % 3 == 0 else self.read
            self.running.append(asyncio.create_task(work(workspace, caller)))
            await asyncio.sleep(1 / rate)

    async def transaction(self, workspace, caller):
        """Run a transaction; record whether it met its target, pauses left out."""
        began = self.rig.loop.time()
        for text in STATEMENTS:
            reply = await caller.send(text)
            if not reply.ok:
                break
            await asyncio.sleep(self.pause)
        took = self.rig.loop.time() - began - len(STATEMENTS) * self.pause
        self.record(workspace, caller, reply, took)

    async def read(self, workspace, caller):
        """Run a read; record whether it met its target."""
        began = self.rig.loop.time()
        reply = await caller.send("READ a")
        self.record(workspace, caller, reply, self.rig.loop.time() - began)

    def record(self, workspace, caller, reply, took):
        """Record one operation."""
        in_target = reply.ok and took <= caller.session.route.latency_target
        self.results[workspace].append(in_target)

    async def finish(self):
        """Wait for all replies; the share in target by workspace, and forget them."""
        await asyncio.gather(*self.running)
        results, self.results, self.running = self.results, defaultdict(list), []
        return {name: sum(kept) / len(kept) for name, kept in results.items()}


async def loaded_rig(pause=PAUSE):
    """Daemons whose workspaces all have run their usual load for a second."""
    keys = {name: [f"key of {name}"] for name in (HOT, *OTHERS)}
    tuning = replace(DEFAULT_SESSION_TUNING, startup_limit_duration=0.0)
    rig = Rig(
        daemons=DAEMONS, max_connections=MAX_CONNECTIONS, keys=keys, tuning=tuning
    )
    await rig.settle()
    load = Load(rig, pause)
    await load.send(usual_rates(), 1.0)
    await load.finish()
    return rig, load


def usual_rates(**changed):
    """Rates by workspace."""
    return dict.fromkeys((HOT, *OTHERS), USUAL_RATE) | changed


def dials(rig):
    """Connections that owners have opened."""
    return sum(
        item.pool.dials
        for proxy in rig.owners()
        for item in proxy.groups["db"].upstreams.values()
    )


async def run_burst(factor, pause=PAUSE):
    """Shares in target by workspace while the hot one sends a multiple of its usual."""
    _, load = await loaded_rig(pause)
    await load.send(usual_rates(**{HOT: factor * USUAL_RATE}), 3.0)
    return await load.finish()


def spread(load):
    """Statements that were sent past their preferred owner."""
    return sum(proxy.peers.spread["db"] for proxy in load.proxies)


def hot_owners(load):
    """The owners in the order in which the hot workspace's work goes to them."""
    names = load.proxies[0].access("db").owners(HOT)
    return [load.rig.links.proxies[name] for name in names]


def connections_of_hot(proxy):
    """Idle connections of the hot workspace at an owner."""
    return sum(
        pooled.workspace == HOT
        for item in proxy.groups["db"].upstreams.values()
        for pooled in item.pool.idle
    )


def test_a_hot_workspace_is_served_and_the_others_as_before():
    """Guards against a hot workspace that queues while other owners have room.

    Its owner's connections were held by its transactions, so that the work of all
    workspaces of this owner waited there.
    """

    async def main():
        rig, load = await loaded_rig()
        before = dials(rig)
        await load.send(usual_rates(**{HOT: 5 * USUAL_RATE}), 3.0)
        shares = await load.finish()
        assert min(shares.values()) >= 0.98, shares
        assert spread(load) > 0
        transactions = 3.0 * 5 * USUAL_RATE / 3
        assert dials(rig) - before < transactions

    run(main())


def mean_shares():
    """Mean shares in target of bursts of ten times the usual, each a little different.

    In an overload a difference of a millisecond moves a single run's shares by more
    than the bound.
    """
    found = [run(run_burst(10, pause)) for pause in PAUSES]
    return {name: sum(item[name] for item in found) / len(found) for name in found[0]}


def test_a_hot_workspace_gains_nothing_where_the_upstreams_are_the_bottleneck():
    """Guards against a hot workspace that takes the others' room at every owner.

    At ten times its usual it sends more than the upstreams' slots can run.
    """
    shares = mean_shares()
    with patch.object(remote, "longest_wait", lambda **times: inf):
        at_one_owner = mean_shares()
    for name in OTHERS:
        assert shares[name] >= at_one_owner[name] - 0.05, (shares, at_one_owner)


def test_work_returns_to_its_owner_after_the_burst():
    async def main():
        _, load = await loaded_rig()
        await load.send(usual_rates(**{HOT: 5 * USUAL_RATE}), 3.0)
        await load.finish()
        spread_before = spread(load)
        await load.send(usual_rates(), 3.0)
        shares = await load.finish()
        assert spread_before > 0 and spread(load) == spread_before
        assert min(shares.values()) >= 0.98, shares

    run(main())


def test_usual_load_stays_with_its_owner():
    """Guards against connections of each workspace at every owner."""

    async def main():
        _, load = await loaded_rig()
        await load.send(usual_rates(), 3.0)
        shares = await load.finish()
        assert min(shares.values()) >= 0.98, shares
        first, *rest = hot_owners(load)[:3]
        assert connections_of_hot(first)
        assert spread(load) == 0 and not any(map(connections_of_hot, rest))

    run(main())


def test_the_owner_that_took_the_overflow_dies():
    """Guards against work that is sent on to a dead owner, or waits for its reports."""

    async def main():
        rig, load = await loaded_rig()
        rates = usual_rates(**{HOT: 4 * USUAL_RATE})
        await load.send(rates, 1.0)
        await load.finish()
        assert spread(load) > 0
        second = hot_owners(load)[1]
        rig.links.kill(second.name)
        await load.send(rates, 1.0)
        await load.finish()
        await load.send(rates, 2.0)
        shares = await load.finish()
        assert min(shares.values()) >= 0.9, shares

    run(main())


def test_daemons_whose_lists_differ_spread_the_same_work():
    """Guards against an overflow that depends on daemons agreeing about the owners.

    A third of the daemons don't know the second owner, and ask one that is none.
    """

    async def main():
        rig, load = await loaded_rig()
        missing = hot_owners(load)[1].name
        for proxy in load.proxies[::3]:
            known = [
                entry for name, entry in proxy.daemons.known.items() if name != missing
            ]
            proxy.update_daemons(known)
            proxy.daemons.discard(missing)
        await load.send(usual_rates(**{HOT: 4 * USUAL_RATE}), 3.0)
        shares = await load.finish()
        assert min(shares.values()) >= 0.9, shares

    run(main())
