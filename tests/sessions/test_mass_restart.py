"""All daemons restart at once while upstreams still count their lost connections.

The load: nine daemons, a group of three members with 34 connections and 5 slots each,
72 operations a second. All daemons lose power. The upstreams count the connections that
were open for three more seconds. The daemons start within a quarter of a second, and
each gets requests at once from the callers that wait for it.
"""

import asyncio
from dataclasses import replace
from random import Random

from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

DAEMONS = 9
CONNECTIONS = 34
LINGER = 3.0
# Operations a second at each daemon, before the power loss and after the restart.
NORMAL_RATE, RETURN_RATE = 4.0, 12.0
# Callers that wait for each daemon at its restart, and the time between two starts.
WAITING_CALLERS = 24
START_GAP = 0.03


async def run_load(rig, proxy, rng, rate, seconds, results, waiting=0):
    """Run operations at a daemon: a third are writes, a quarter in transactions."""
    until = rig.loop.time() + seconds
    running = [
        asyncio.create_task(run_operation(rig, proxy, rng, results))
        for _ in range(waiting)
    ]
    while rig.loop.time() < until:
        running.append(asyncio.create_task(run_operation(rig, proxy, rng, results)))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*running)


async def run_operation(rig, proxy, rng, results):
    """Run one operation; append the refusal of its last statement and its seconds."""
    caller = rig.caller(rng.choice(["own", "bounded", "primary"]), proxy)
    began = rig.loop.time()
    transaction = rng.random() < 0.25
    if transaction:
        await caller.send("BEGIN")
    text = f"WRITE {caller.next_request} 1" if rng.random() < 0.33 else "READ a"
    reply = await caller.send(text)
    if transaction and reply.ok:
        await asyncio.sleep(rng.random() * 0.3)
        reply = await caller.send("COMMIT")
    results.append((reply.refusal, rig.loop.time() - began))
    await proxy.close_session(caller.session)


async def run_normal_load(rig):
    """Run a period of normal load at all daemons."""
    await asyncio.gather(
        *(
            run_load(rig, proxy, Random(number), NORMAL_RATE, 8.0, [])
            for number, proxy in enumerate(rig.proxies)
        )
    )


def lose_power(rig):
    """Stop all daemons; the upstreams count their connections for LINGER seconds."""
    for member in rig.group.members:
        member.lingering = len(member.conns)
        rig.loop.call_later(LINGER, setattr, member, "lingering", 0)
    for proxy in rig.proxies:
        proxy.stop()
    for member in rig.group.members:
        for conn in list(member.conns):
            conn.close()


async def restart_daemon(rig, number, tuning, results):
    """Restart one daemon with waiting callers; seconds until it found the leader."""
    await asyncio.sleep(number * START_GAP)
    names = [proxy.name for proxy in rig.proxies]
    proxy = rig.make_proxy(names[number], names, tuning, 1)
    proxy.keep_running(proxy.run_maintenance)
    began = rig.loop.time()
    calling = asyncio.create_task(
        run_load(rig, proxy, Random(number), RETURN_RATE, 2.0, results, WAITING_CALLERS)
    )
    assert await proxy.groups["db"].watch.wait_leader(5.0)
    found = rig.loop.time() - began
    await calling
    return found


async def run_power_loss(tuning, connections=CONNECTIONS):
    """Normal load, power loss, restart: (seconds to each leader, callers' results)."""
    rig = Rig(daemons=DAEMONS, tuning=tuning)
    for member in rig.group.members:
        member.limit = connections
    for proxy in rig.proxies:
        proxy.keep_running(proxy.run_maintenance)
    await rig.settle()
    await run_normal_load(rig)
    lose_power(rig)
    await asyncio.sleep(1.0)
    results = []
    found = await asyncio.gather(
        *(restart_daemon(rig, number, tuning, results) for number in range(DAEMONS))
    )
    assert rig.group.promotions == []
    return found, results


def refused(results):
    """The number of operations that were refused."""
    return sum(refusal is not None for refusal, _ in results)


def test_few_connections_leave_room_for_all_daemons():
    """Guards against refusing callers two to four seconds after a power loss.

    The daemons that restart first would take all connections that the upstreams have
    left, and many idle connections open before the loss would still be counted.
    """
    full_shares = replace(
        DEFAULT_SESSION_TUNING, startup_limit_duration=0.0, idle_timeout=60.0
    )
    _, results = run(run_power_loss(DEFAULT_SESSION_TUNING))
    _, results_with_full_shares = run(run_power_loss(full_shares))
    assert refused(results) <= 0.6 * refused(results_with_full_shares)


def test_daemons_serve_at_once_where_connections_are_not_scarce():
    """Without a shortage of connections the daemons serve without delay."""
    found, results = run(run_power_loss(DEFAULT_SESSION_TUNING, connections=100))
    assert max(found) < 0.1
    assert refused(results) <= 0.02 * len(results)
