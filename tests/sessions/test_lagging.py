"""Cost of commits and reads while replicas apply late.

The load: a group of three whose replicas apply a commit 150 ms after they received it,
and callers that write sequentially.
"""

import asyncio

from tests.sessions.rig import Rig
from tests.sessions.vclock import run

LAG = 0.15


async def make_lagging_rig():
    """A group whose replicas apply late."""
    rig = Rig()
    for member in rig.group.replicas():
        member.lag = LAG
    await rig.settle()
    return rig


async def measure(rig, text, count):
    """Seconds that each of `count` statements took, run sequentially."""
    caller, times = rig.caller("own"), []
    for number in range(count):
        began = rig.loop.time()
        assert (await caller.send(f"{text} {number}")).ok
        times.append(rig.loop.time() - began)
    return times


def test_commits_do_not_wait_for_replicas_that_are_known_to_lag():
    """Guards against commits that take 50 ms longer than their work.

    Each commit first waited for a replica to apply it, then asked what was received.
    The replicas' usual lag has to shorten that wait.
    """

    async def main():
        rig = await make_lagging_rig()
        times = await measure(rig, "WRITE a", 12)
        assert times[0] > 0.07
        assert max(times[4:]) < 0.035

    run(main())


def test_commits_wait_again_once_replicas_have_caught_up():
    async def main():
        rig = await make_lagging_rig()
        await measure(rig, "WRITE a", 6)
        for member in rig.group.replicas():
            member.lag = 0.005
        await measure(rig, "WRITE a", 30)
        replicas = [
            item
            for item in rig.proxy.groups["db"].upstreams.values()
            if item.id != "u1"
        ]
        assert (
            min(item.apply_lag for item in replicas)
            < rig.proxy.tuning.confirm_apply_wait
        )

    run(main())


def test_one_replica_is_asked_for_a_commit_and_the_other_only_if_it_is_slow():
    async def main():
        rig = await make_lagging_rig()
        await measure(rig, "WRITE a", 6)
        asked = []
        for member in rig.group.replicas():
            for conn in member.conns:
                conn.status = count(asked, member.id, conn.status)
        await measure(rig, "WRITE a", 10)
        assert len(asked) == 10

    run(main())


def count(asked, name, status):
    """Count the queries for a member's status."""

    def counted():
        asked.append(name)
        return status()

    return counted


def test_commits_that_wait_together_share_the_queries_for_a_replicas_status():
    """Guards against commits that fill the slots of busy replicas with queries."""

    async def main():
        rig = await make_lagging_rig()
        await measure(rig, "WRITE a", 6)
        for member in rig.group.replicas():
            member.status_work, member.status_queries = 0.03, 0
        callers = [rig.caller("own") for _ in range(20)]
        replies = await asyncio.gather(*(each.send("WRITE b 1") for each in callers))
        asked = sum(member.status_queries for member in rig.group.replicas())
        assert all(reply.ok for reply in replies)
        assert asked <= len(callers)

    run(main())
