"""Replacing a primary that serves: when it leaves, and when replicas are behind."""

import asyncio
from dataclasses import replace
from random import Random
from unittest.mock import patch

from gypsum_policy.promotion import should_hand_over
from gypsum_sessions.takeover import reasons
from tests.sessions.fakegroup import PROMOTE_TIME
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, start_writers, write_for


def list_as_leaving(rig, name):
    """List a member as leaving."""
    listed = [
        replace(member, leaving=member.id == name) for member in rig.group.listing()
    ]
    for proxy in rig.proxies:
        proxy.update_members(listed)


def longest_gap(results, after):
    """The longest time between two successful writes, from `after` on, in seconds."""
    times = sorted(at for _, refusal, at in results if refusal is None and at >= after)
    return max(late - early for early, late in zip(times, times[1:], strict=False))


def test_writes_go_on_while_a_leaving_primary_hands_over():
    """Guards against writes stalling for a second whenever a primary leaves.

    If a leaving primary had to step down first, no member would lead until the
    promotion took effect.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        results = []
        writers = start_writers(rig, 5.0, results)
        await asyncio.sleep(1.0)
        list_as_leaving(rig, "u1")
        await asyncio.gather(*writers)
        assert rig.group.leader is not rig.group["u1"]
        check_nothing_lost(rig, results)
        assert longest_gap(results, 0.5) < PROMOTE_TIME / 2

    run(main())


def test_a_replica_that_receives_no_log_is_no_handover_target():
    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        results = []
        await write_for(rig, rig.proxy, 0.5, results)
        rig.group["u2"].not_receiving = rig.group["u3"].not_receiving = True
        rig.group["u2"].log = rig.group["u2"].log[:1]
        rig.group["u3"].log = rig.group["u3"].log[:2]
        takeover = rig.proxy.takeovers["db"]
        assert await takeover.replication.prepare_handover("u1", "u2") is None

    run(main())


def test_a_change_needs_both_lagging_replicas_and_a_backlog():
    assert should_hand_over(lagging_for=2.0, backlogged_for=1.0, since_takeover=9.0)
    assert not should_hand_over(lagging_for=2.0, backlogged_for=0.0, since_takeover=9.0)
    assert not should_hand_over(lagging_for=0.0, backlogged_for=1.0, since_takeover=9.0)
    assert not should_hand_over(lagging_for=2.0, backlogged_for=1.0, since_takeover=3.0)


async def send_random_reads(rig, proxy, rng, until, results):
    """Send more reads to a daemon than one upstream can run, at random intervals."""
    running = []
    while rig.loop.time() < until:
        caller = rig.caller("own", proxy)
        running.append(asyncio.create_task(caller.send("READ a")))
        await asyncio.sleep(rng.expovariate(120.0))
    results += await asyncio.gather(*running)


async def run_lagging_replicas():
    """Replicas apply 30 s late and callers send twice the load that one can run.

    Returns the share of reads served and the number of promotions.
    """
    rig = Rig(daemons=2)
    for member in rig.group.members:
        member.slots = 3
    await rig.settle()
    await asyncio.sleep(7.0)
    for member in rig.group.replicas():
        member.lag = 30.0
    writes, results, until = [], [], rig.loop.time() + 10.0
    writers = start_writers(rig, 10.0, writes)
    await asyncio.gather(
        *(
            send_random_reads(rig, proxy, Random(number), until, results)
            for number, proxy in enumerate(rig.proxies)
        )
    )
    await asyncio.gather(*writers)
    check_nothing_lost(rig, writes)
    served = sum(reply.ok for reply in results) / len(results)
    return served, len(rig.group.promotions)


def test_another_member_leads_when_all_replicas_lag_and_reads_are_queued():
    """Guards against refusing half of a group's callers while two upstreams are idle.

    Both replicas apply late for a long time, so all reads go to the primary. Promoting
    a replica makes it apply its whole log and gives the group a second upstream that is
    up to date.
    """
    served, promotions = run(run_lagging_replicas())
    assert promotions >= 1
    with patch.object(reasons, "should_hand_over", lambda **seen: False):
        without, none = run(run_lagging_replicas())
    assert none == 0
    assert served > without + 0.15
