"""Where reads go while replicas lag, and while an upstream is slow or fails reads.

The load: hundreds of reads a second of three read rules, and writes, over three daemons
that own the group.
"""

import asyncio
from random import Random
from unittest.mock import patch

import pytest

from gypsum_policy.admission import QueueTimeout, RefusalCause
from gypsum_sessions.execution import transactions
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.refusals import no_leader_reply, truthful_refusal
from gypsum_sessions.replies import Refusal
from gypsum_sessions.statements import STATUS
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from gypsum_sessions.upstreams import readplacement
from tests.sessions.rig import Rig, catalog
from tests.sessions.vclock import run

DAEMONS = 3
USUAL_LAG = 0.15
# One in so many operations is a write.
WRITE_EVERY = 8


async def make_rig():
    """Three owners of a group whose replicas apply late by a usual lag."""
    rig = Rig(daemons=DAEMONS)
    for member in rig.group.members:
        member.slots, member.work = 8, 0.01
    for member in rig.group.replicas():
        member.lag = USUAL_LAG
    await rig.settle()
    return rig


async def run_session(rig, proxy, database, rng, until, results):
    """One session's operations, one after the other; each read sees its writes."""
    caller, number, known = rig.caller(database, proxy), 0, True
    item = f"i{caller.number}"
    while rig.loop.time() < until:
        await asyncio.sleep(rng.expovariate(8.0))
        began = rig.loop.time()
        if rng.randrange(WRITE_EVERY) == 0 and database != "bounded":
            number += 1
            reply = await caller.send(f"WRITE {item} {number}")
            # A write without a result may have run or not.
            known = reply.ok
        else:
            reply = await caller.send(f"READ {item}")
            if reply.ok and known and database != "bounded":
                assert reply.rows == ((str(number) if number else ""),)
        results.append((began, rig.loop.time() - began, reply))


def start_load(rig, seconds, results, sessions=20):
    """Start sessions of each rule at each daemon."""
    until = rig.loop.time() + seconds
    return [
        asyncio.create_task(
            run_session(rig, proxy, database, Random(number), until, results)
        )
        for proxy in rig.proxies
        for number, database in enumerate(["primary", "bounded", "own"] * sessions)
    ]


def share_turned_away(rig):
    """The share of all callers' statements that an upstream refused unrun."""
    members = rig.group.members
    arrivals = sum(member.arrivals for member in members)
    return sum(member.turned_away for member in members) / arrivals


async def lag_for(rig, lag, seconds):
    """Let the replicas lag; what they received meanwhile is applied at the end."""
    for member in rig.group.replicas():
        member.lag = lag
    await asyncio.sleep(seconds)
    for member in rig.group.replicas():
        member.lag = USUAL_LAG
        rig.loop.call_later(USUAL_LAG, rig.group.apply, member, len(member.log))


def test_replicas_that_lag_for_seconds_turn_few_reads_away():
    """Guards against sending reads time and again to replicas that lack their floor."""

    async def main():
        rig = await make_rig()
        results = []
        load = start_load(rig, 12.0, results)
        await asyncio.sleep(3.0)
        await lag_for(rig, 10.0, 6.0)
        before = [member.runs for member in rig.group.replicas()]
        await asyncio.sleep(1.0)
        after = [member.runs for member in rig.group.replicas()]
        await asyncio.gather(*load)
        assert share_turned_away(rig) < 0.02
        assert all(late - early > 20 for early, late in zip(before, after, strict=True))
        assert sum(not reply.ok for _, _, reply in results) < 0.01 * len(results)

    run(main())


def test_replicas_with_their_usual_lag_turn_few_reads_away():
    """Guards against reads that follow a commit to replicas that can't have it yet."""

    async def main():
        rig = await make_rig()
        results = []
        began = rig.loop.time()
        await asyncio.gather(*start_load(rig, 6.0, results))
        assert share_turned_away(rig) < 0.02
        assert sum(member.runs for member in rig.group.replicas()) > 2000
        assert mean_time(results, began) < 0.03

    run(main())


def mean_time(results, since):
    """The mean time of the reads and writes begun since a moment."""
    times = [seconds for began, seconds, _ in results if began >= since]
    return sum(times) / len(times)


async def run_with_fault(rig, fault, repair):
    """Load with a faulty replica for four seconds, then without; returns results.

    Also returns the replica's share of the replicas' reads: during the fault after its
    first second, and after the repair's first two seconds.
    """
    results, shares = [], []
    load = start_load(rig, 10.0, results, sessions=12)
    await asyncio.sleep(2.0)
    for change, pause, length in ((fault, 1.0, 3.0), (repair, 2.0, 1.5)):
        change(rig.group["u2"])
        await asyncio.sleep(pause)
        before = [member.runs for member in rig.group.replicas()]
        await asyncio.sleep(length)
        after = [member.runs for member in rig.group.replicas()]
        grown = [late - early for early, late in zip(before, after, strict=True)]
        shares.append(grown[0] / sum(grown))
    await asyncio.gather(*load)
    return results, shares


def make_slow(member):
    """Let a member take eight times as long for each statement."""
    member.work = 0.24


def make_failing(member):
    """Let a member fail a third of its reads."""
    member.fail_every = 3


def make_hanging(member):
    """Let a member leave a third of its reads unanswered."""
    member.fail_every, member.hangs = 3, True


def repair(member):
    """End a member's fault."""
    member.fail_every, member.hangs, member.work = 0, False, 0.03


@pytest.mark.parametrize("fault", [make_slow, make_failing, make_hanging])
def test_a_faulty_replica_gets_few_reads_until_it_has_recovered(fault):
    """Guards against reads at an upstream that is slow, or fails part of them."""

    async def main():
        rig = await make_rig()
        for member in rig.group.members:
            member.work, member.slots = 0.03, 12
        results, (during, after) = await run_with_fault(rig, fault, repair)
        print(
            during,
            after,
            sum(not r.ok for _, _, r in results),
            len(results),
            mean_time(results, 3.0),
        )
        assert during < 0.1
        assert after > 0.25
        assert all(reply.ok for _, _, reply in results)

    run(main())


def test_a_replica_is_asked_again_although_no_query_for_its_position_was_answered():
    """Guards against a replica that is left out for ever once its probes are lost."""

    async def main():
        rig = Rig()
        await rig.settle()
        results = []
        load = start_load(rig, 6.0, results, sessions=10)
        await asyncio.sleep(1.0)
        replicas = rig.group.replicas()
        with patch.object(readplacement, "ROLLBACK", STATUS):
            for member in replicas:
                member.lag, member.status_work = 10.0, 5.0
            await asyncio.sleep(2.0)
            for member in replicas:
                member.lag = 0.008
                rig.group.apply(member, len(member.log))
            before = [member.runs for member in replicas]
            await asyncio.sleep(2.0)
            after = [member.runs for member in replicas]
        await asyncio.gather(*load)
        assert all(late - early > 10 for early, late in zip(before, after, strict=True))
        # Commits ask for the status as well, and are not confirmed.
        assert all(
            reply.ok or reply.refusal is Refusal.IN_DOUBT for _, _, reply in results
        )

    run(main())


def test_reads_go_on_when_the_primary_is_lost_while_replicas_lag():
    """Guards against knowledge of an old term that keeps reads from all upstreams."""

    async def main():
        rig = await make_rig()
        results = []
        load = start_load(rig, 9.0, results, sessions=8)
        await asyncio.sleep(2.0)
        for member in rig.group.replicas():
            member.lag = 1.0
        await asyncio.sleep(1.0)
        rig.group["u1"].crash()
        await asyncio.sleep(3.0)
        rig.group["u1"].restart()
        await asyncio.gather(*load)
        assert rig.group.leader is not rig.group["u1"]
        late = [reply for began, _, reply in results if began > 6.5]
        assert all(reply.ok for reply in late)
        assert share_turned_away(rig) < 0.02

    run(main())


def test_reads_that_need_the_primary_do_not_make_replicas_count_as_behind():
    """Guards against a handover because of replicas that no read was meant for."""

    async def main():
        rig = await make_rig()
        caller = rig.caller("primary")
        for number in range(40):
            assert (await caller.send(f"WRITE a {number}")).ok
            assert (await caller.send("READ a")).rows == (str(number),)
        for item in rig.proxy.groups["db"].upstreams.values():
            assert item.behind_since is None
            assert item.reads_withheld == 0

    run(main())


def test_a_read_waits_for_a_replica_when_nobody_has_its_position_yet():
    """Guards against asking replicas time and again while the primary is away."""

    async def main():
        rig = await make_rig()
        caller = rig.caller("own")
        await asyncio.gather(*start_load(rig, 2.0, []))
        before = sum(member.turned_away for member in rig.group.members)
        assert (await caller.send("WRITE a 5")).ok
        rig.group["u1"].crash()
        assert (await caller.send("READ a")).rows == ("5",)
        asked = sum(member.turned_away for member in rig.group.members) - before
        assert asked <= len(rig.group.replicas())

    run(main())


def test_a_read_waits_for_a_replica_when_the_primary_has_no_room():
    """Guards against refusals at once although a replica is ready in a moment."""

    async def main():
        rig = Rig()
        for member in rig.group.replicas():
            member.lag = USUAL_LAG
        await rig.settle()
        caller = rig.caller("own")
        for number in range(20):
            await caller.send(f"WRITE a {number}")
            await caller.send("READ a")
        group = rig.proxy.groups["db"]
        primary = group.upstreams[group.watch.leader].admission
        full = QueueTimeout(0.6, cause=RefusalCause.QUEUE_TOO_LONG)
        await caller.send("WRITE a last")
        with patch.object(primary, "enqueue", side_effect=full):
            began = rig.loop.time()
            reply = await caller.send("READ a")
        assert reply.rows == (("last"),)
        assert rig.loop.time() - began < 2 * USUAL_LAG

    run(main())


def test_refused_begins_lower_the_limit_and_back_off():
    """Guards against a hundred BEGINs a second of one caller at full upstreams."""

    async def main():
        rig = Rig()
        await rig.settle()
        caller, begins = rig.caller("bounded"), 0

        async def refuse(group, tx, job, item, statement, after):
            nonlocal begins
            begins += 1
            return Refusal.BUSY

        with patch.object(transactions, "send_begin", refuse):
            await caller.send("BEGIN READ")
            reply = await caller.send("READ a")
        assert reply.refusal in (Refusal.ABORTED, Refusal.BUSY)
        assert begins < 40

    run(main())


def test_a_refusal_does_not_say_not_run_after_a_lost_attempt():
    """Guards against "not run" from a second owner while the first may have run it."""
    job = Job(
        request="1",
        statement=STATUS,
        route=catalog().routes["own"],
        arrived=0.0,
        deadline=1.0,
        values={},
    )
    refused = no_leader_reply(DEFAULT_SESSION_TUNING)
    assert truthful_refusal(job, refused) == refused
    job.orphaned = True
    assert "not run" not in truthful_refusal(job, refused).detail
