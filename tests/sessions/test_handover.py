"""A primary that serves is replaced: as it leaves, and for its load's sake."""

import asyncio
from dataclasses import replace
from random import Random
from unittest.mock import patch

from gypsum_policy.succession import worth_changing
from gypsum_sessions.takeover import reasons
from tests.sessions.fakegroup import PROMOTE_TIME
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, start_writers, write_for


def leave(rig, name):
    """The list shows that a member leaves."""
    listed = [
        replace(member, leaving=member.id == name) for member in rig.group.listing()
    ]
    for proxy in rig.proxies:
        proxy.update_members(listed)


def longest_gap(told, after):
    """The longest time without a write that was done, from a time on."""
    times = sorted(at for _, refusal, at in told if refusal is None and at >= after)
    return max(late - early for early, late in zip(times, times[1:], strict=False))


def test_writes_go_on_while_a_leaving_primary_hands_over():
    """Symptom: writes stand still for a second whenever a primary leaves.

    Sequence: the primary says that it leaves, is told to step down, and the promotion
    takes its time. Cause: nobody led in between.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        told = []
        writers = start_writers(rig, 5.0, told)
        await asyncio.sleep(1.0)
        leave(rig, "u1")
        await asyncio.gather(*writers)
        assert rig.group.leader is not rig.group["u1"]
        check_nothing_lost(rig, told)
        assert longest_gap(told, 0.5) < PROMOTE_TIME / 2

    run(main())


def test_an_heir_that_does_not_receive_is_not_handed_over_to():
    async def main():
        rig = Rig(daemons=1)
        await rig.settle()
        told = []
        await write_for(rig, rig.proxy, 0.5, told)
        rig.group["u2"].deaf = rig.group["u3"].deaf = True
        rig.group["u2"].log = rig.group["u2"].log[:1]
        rig.group["u3"].log = rig.group["u3"].log[:2]
        takeover = rig.proxy.takeovers["db"]
        assert await takeover.control.spare_heir("u1", "u2") is None

    run(main())


def test_it_takes_both_far_replicas_and_a_queue():
    assert worth_changing(behind_for=2.0, pressed_for=1.0, led_for=9.0)
    assert not worth_changing(behind_for=2.0, pressed_for=0.0, led_for=9.0)
    assert not worth_changing(behind_for=0.0, pressed_for=1.0, led_for=9.0)
    assert not worth_changing(behind_for=2.0, pressed_for=1.0, led_for=3.0)


async def read_at_random(rig, proxy, rng, until, told):
    """Reads of a daemon's callers, more than one upstream can run."""
    running = []
    while rig.loop.time() < until:
        caller = rig.caller("own", proxy)
        running.append(asyncio.create_task(caller.send("READ a")))
        await asyncio.sleep(rng.expovariate(120.0))
    told += await asyncio.gather(*running)


async def play_far_replicas():
    """Replicas apply thirty seconds late, callers ask for twice what one can run."""
    rig = Rig(daemons=2)
    for member in rig.group.members:
        member.slots = 3
    await rig.settle()
    await asyncio.sleep(7.0)
    for member in rig.group.replicas():
        member.lag = 30.0
    writes, told, until = [], [], rig.loop.time() + 10.0
    writers = start_writers(rig, 10.0, writes)
    await asyncio.gather(
        *(
            read_at_random(rig, proxy, Random(number), until, told)
            for number, proxy in enumerate(rig.proxies)
        )
    )
    await asyncio.gather(*writers)
    check_nothing_lost(rig, writes)
    served = sum(reply.ok for reply in told) / len(told)
    return served, len(rig.group.promotions)


def test_the_lead_changes_when_all_replicas_are_far_behind_and_reads_pile_up():
    """Symptom: half of a group's callers are refused while two upstreams idle.

    Sequence: both replicas apply late for long, all reads fall on the primary. Cause:
    nobody gives the group a second upstream that is level, though a promotion does.
    """
    served, promotions = run(play_far_replicas())
    assert promotions >= 1
    with patch.object(reasons, "worth_changing", lambda **seen: False):
        without, none = run(play_far_replicas())
    assert none == 0
    assert served > without + 0.15
