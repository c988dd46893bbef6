"""Overload in virtual time: who is served in time, who is refused, and how soon."""

import asyncio
from dataclasses import dataclass
from random import Random
from statistics import median
from unittest.mock import patch

from gypsum_platform.codec import read_statement
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.reads import run_read
from gypsum_sessions.replies import Refusal
from gypsum_sessions.takeover import reasons
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

TARGET = 0.4
# A refusal this close to the deadline of one second has made its caller wait it out.
WAITED_OUT = 0.9
WRITES = {"database": "primary", "text": "WRITE a 1"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """One statement's database, reply and seconds until the reply."""

    database: str
    reply: object
    seconds: float


def share_in_time(outcomes, database=None):
    """The share of statements answered within the latency target."""
    chosen = [item for item in outcomes if database in (None, item.database)]
    good = [item for item in chosen if item.reply.ok and item.seconds <= TARGET]
    return len(good) / len(chosen)


def waited_out(outcomes):
    """The statements that failed after their caller had waited to the deadline."""
    return [
        item for item in outcomes if not item.reply.ok and item.seconds > WAITED_OUT
    ]


async def send(rig, rng, database, text, outcomes):
    """Send one statement from a new caller at a random daemon."""
    caller = rig.caller(database, rng.choice(rig.proxies))
    started_at = rig.loop.time()
    reply = await caller.send(text)
    seconds = rig.loop.time() - started_at
    outcomes.append(Outcome(database=database, reply=reply, seconds=seconds))


async def arrivals(rig, rng, *, rate, seconds, database, text, outcomes):
    """Send statements at random intervals and wait for all replies."""
    tasks, until = [], rig.loop.time() + seconds
    while rig.loop.time() < until:
        tasks.append(asyncio.create_task(send(rig, rng, database, text, outcomes)))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)


async def rig_with_priorities(daemons=2):
    """A rig with three slots an upstream, and reads of `own` at the lower priority."""
    rig = Rig(daemons=daemons)
    for proxy in rig.proxies:
        proxy.offer_catalog(rig.configured(2, None, own={"priority": 1}), "test")
    for member in rig.group.members:
        member.slots = 3
    for proxy in rig.proxies:
        proxy.update_members(rig.group.listing())
    await rig.settle()
    await asyncio.sleep(5.0)
    for proxy in rig.proxies:
        proxy.groups["db"].adjust_connections()
    return rig


async def primary_alone(load, seconds=6.0):
    """Replicas lag by 30 s; the primary gets `load` times what it can run.

    A quarter of that is of the higher priority.
    """
    rig = await rig_with_priorities()
    capacity = 3 / 0.02
    for member in rig.group.replicas():
        member.lag = 30.0
    outcomes, rng = [], Random(5)
    # Until no replica has a position that a read requires.
    await arrivals(rig, rng, rate=10, seconds=3.0, outcomes=[], **WRITES)
    rates = {"primary": 0.25 * load * capacity, "own": 0.75 * load * capacity - 10}
    common = {"seconds": seconds, "outcomes": outcomes}
    writes = arrivals(rig, rng, rate=10, **common, **WRITES)
    reads = [
        arrivals(rig, rng, rate=rate, database=name, text="READ a", **common)
        for name, rate in rates.items()
    ]
    with patch.object(reasons, "should_hand_over", lambda **seen: False):
        await asyncio.gather(writes, *reads)
    return outcomes


def test_a_primary_alone_serves_most_of_an_overload_in_time():
    """Guards against callers of an overloaded primary who all wait to their deadline.

    Both replicas lag, so the primary gets 1.2 times what it can run.
    """
    outcomes = run(primary_alone(1.2))
    assert not waited_out(outcomes)
    assert share_in_time(outcomes, "primary") > 0.98
    assert share_in_time(outcomes) > 0.8
    refused = [item.seconds for item in outcomes if not item.reply.ok]
    assert median(refused) < 0.05


def test_a_load_that_a_primary_alone_can_carry_is_served_whole():
    """Guards against refusing callers who could be served."""
    outcomes = run(primary_alone(0.9))
    assert share_in_time(outcomes) > 0.99


async def sudden(change, *, text):
    """Callers of one daemon fill the queues; then `change` is applied to the group.

    Returns the outcomes of the statements that wait at that time.
    """
    rig = await rig_with_priorities(daemons=1)
    for member in rig.group.replicas():
        member.lag = 30.0
    await arrivals(rig, Random(5), rate=10, seconds=3.0, outcomes=[], **WRITES)
    outcomes, rng = [], Random(7)
    tasks = [
        asyncio.create_task(send(rig, rng, "primary", text, outcomes))
        for _ in range(40)
    ]
    await asyncio.sleep(0.05)
    queue = rig.proxy.groups["db"].upstreams["u1"].admission.queue
    assert len(queue.waiting) > 15
    served = len(outcomes)
    change(rig.group)
    await asyncio.gather(*tasks)
    return rig, outcomes[served:]


def slow_down(group):
    """Let the primary take eight times as long for each statement."""
    group["u1"].work *= 8


def test_callers_queued_at_an_upstream_that_turns_slow_are_refused_early():
    """Guards against callers in the queue of a slow upstream who wait to the deadline.

    The primary turns eight times slower while its queue is full; no other upstream has
    the position that the reads need. Only those that it runs already wait to the end.
    """
    rig, outcomes = run(sudden(slow_down, text="READ a"))
    refused = [item for item in outcomes if item.reply.refusal is Refusal.BUSY]
    assert len(refused) >= 8
    assert max(item.seconds for item in refused) < 0.7
    assert all(item.reply.detail.startswith("not run") for item in refused)
    assert all(item.reply.retry_after_ms > 0 for item in refused)
    others = len([item for item in outcomes if not item.reply.ok]) - len(refused)
    assert others <= rig.proxy.groups["db"].upstreams["u1"].admission.queue.limit


def test_writes_queued_at_a_lost_primary_leave_its_queue():
    """Guards against writes that wait to the deadline for a primary that is gone.

    The primary becomes silent while its queue is full. What was not sent is refused
    before the deadline or runs at the next primary; nothing is written twice.
    """

    def fall_silent(group):
        group["u1"].unresponsive = True

    rig, outcomes = run(sudden(fall_silent, text="WRITE a 1"))
    refused = [item for item in outcomes if item.reply.refusal is Refusal.BUSY]
    assert len(refused) > 10
    assert max(item.seconds for item in refused) < WAITED_OUT
    assert all(item.reply.detail.startswith("not run") for item in refused)
    waiting = rig.proxy.groups["db"].upstreams["u1"].admission.queue.waiting
    assert not waiting


def test_a_read_that_all_upstreams_refused_is_served_in_a_later_round():
    """Guards against later rounds of a read in which no upstream is asked.

    The replicas lag by 0.2 s and the primary's own queue is full for 0.1 s.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        for member in rig.group.replicas():
            member.lag = 0.2
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).ok
        rig.group["u1"].full = True
        rig.loop.call_later(0.1, setattr, rig.group["u1"], "full", False)
        started_at = rig.loop.time()
        reply = await caller.send("READ a")
        assert reply.ok and reply.rows == ("1",)
        assert rig.loop.time() - started_at < 0.3

    run(main())


def test_refusals_are_no_service_times():
    """Guards against forecasts that take the time of refusals for that of answers."""

    async def main():
        rig = Rig()
        await rig.settle()
        outcomes, rng = [], Random(1)
        await arrivals(
            rig,
            rng,
            rate=50,
            seconds=1.0,
            database="own",
            text="READ a",
            outcomes=outcomes,
        )
        rig.group["u2"].full = rig.group["u3"].full = True
        await arrivals(
            rig,
            rng,
            rate=50,
            seconds=1.0,
            database="own",
            text="READ a",
            outcomes=outcomes,
        )
        assert all(item.reply.ok for item in outcomes)
        for item in rig.proxy.groups["db"].upstreams.values():
            assert item.admission.queue.times.expected(("own", "read")) > 0.015

    run(main())


def test_a_read_is_not_sent_when_its_time_is_over():
    """Guards against upstreams that run reads whose callers have gone.

    A read has 5 ms left when its turn comes; answers take 20 ms.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        rng, served = Random(1), []
        reads = [send(rig, rng, "bounded", "READ a", served) for _ in range(60)]
        await asyncio.gather(*reads)
        runs = sum(member.runs for member in rig.group.members)
        now = rig.loop.clock()
        job = Job(
            request="1-1",
            statement=read_statement("READ a"),
            route=rig.proxy.catalog.route("bounded"),
            arrived=now,
            deadline=now + 0.005,
            values={},
        )
        reply = await run_read(rig.proxy.groups["db"], job)
        await asyncio.sleep(0.5)
        assert reply.refusal is Refusal.BUSY and reply.detail.startswith("not run")
        assert sum(member.runs for member in rig.group.members) == runs

    run(main())
