"""Reads are never older than their route allows, whatever state replicas are in."""

import asyncio
from dataclasses import replace

from gypsum_core.records import Position
from gypsum_sessions.takeover.floors import Floors, later
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def test_the_oldest_allowed_floor_is_taken():
    floors = Floors(retention=10.0)
    for at in range(5):
        floors.add(Position(term=1, index=at), float(at))
    assert floors.since(2.0).position == Position(term=1, index=2)
    assert floors.since(4.5) is None


def test_floors_of_a_replaced_primary_are_forgotten():
    """Guards against replicas that refuse reads for seconds after a promotion.

    The old primary reported a position that no replica has received. After its
    replacement that part of its log is discarded, so reads must not require the
    position.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        watch = rig.proxy.groups["db"].watch
        rig.proxy.groups["db"].floors.add(Position(term=1, index=99), rig.loop.clock())
        rig.group.promote("u2")
        await asyncio.sleep(1.0)
        assert watch.leader == "u2"
        assert (await rig.caller("bounded").send("READ a")).ok

    run(main())


def test_later_takes_either_when_one_is_unknown():
    position = Position(term=1, index=1)
    assert later(None, position) == position
    assert later(position, None) == position


def test_own_writes_are_read_though_replicas_are_far_behind():
    async def main():
        rig = Rig()
        await rig.settle()
        for replica in rig.group.replicas():
            replica.lag = 1.2
        caller = rig.caller("own")
        for number in range(5):
            assert (await caller.send(f"WRITE a {number}")).ok
            assert (await caller.send("READ a")).rows == (str(number),)

    run(main())


def test_a_bounded_read_shows_what_was_written_before_its_age():
    async def main():
        rig = Rig()
        await rig.settle()
        for replica in rig.group.replicas():
            replica.lag = 5.0
        await rig.caller("own").send("WRITE a new")
        await asyncio.sleep(1.6)
        assert (await rig.caller("bounded").send("READ a")).rows == ("new",)

    run(main())


def test_a_primary_read_is_not_run_by_a_primary_that_was_replaced():
    """Guards against a read that misses a commit acknowledged before it.

    A daemon misses a promotion and still reaches the old primary, which answers single
    reads like any replica. The new primary acknowledges a commit, then the daemon
    reads.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        old, fresh = rig.proxies
        old.context.dialer.dialer.cut.update({"u2", "u3"})
        for replica in ("u2", "u3"):
            for conn in list(rig.group[replica].conns):
                conn.silent = True
        rig.group["u1"].cut_from.update({"u2", "u3"})
        rig.group.promote("u2")
        rig.group["u1"].not_receiving = True
        await asyncio.sleep(0.5)
        assert (await rig.caller("own", fresh).send("WRITE a new")).ok
        reply = await rig.caller("primary", old).send("READ a")
        assert not reply.ok or reply.rows == ("new",)
        assert all(member != "u1" for _, member, _ in rig.group.reads)

    run(main())


def test_time_spent_suspended_ages_floors():
    """Guards against reads older than allowed after the machine was suspended.

    The clock has to count suspended time. Otherwise a floor that was learnt before the
    suspension would still look recent.
    """

    async def main():
        rig = Rig()
        await rig.settle()
        for replica in rig.group.replicas():
            replica.not_receiving = True
        rig.group.sync = 0
        group = rig.proxy.groups["db"]
        group.spec = replace(group.spec, sync_replicas=0)
        await asyncio.sleep(0.5)
        writer = Rig.caller(rig, "own")
        assert (await writer.send("WRITE a new")).ok
        floors = rig.proxy.groups["db"].floors
        while len(floors.known) > 1:
            floors.known.pop()
        rig.loop.suspended += 10.0
        assert (await rig.caller("bounded").send("READ a")).rows == ("new",)

    run(main())
