"""The wait that an owner reports, for the work of one workspace."""

import asyncio

from gypsum_sessions.daemons.ownerload import TRANSACTIONS_WAIT, report_wait
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

KEYS = {"north": ["n"], "south": ["s"]}


async def settled_group():
    """The group of a daemon that is its only owner."""
    rig = Rig(keys=KEYS)
    await rig.settle()
    return rig, rig.proxy.groups["db"]


def test_an_idle_owner_reports_no_wait():
    async def main():
        _, group = await settled_group()
        assert report_wait(group, "north", at_leader=True) == (0.0, 0.0)
        assert report_wait(group, "north", at_leader=False) == (0.0, 0.0)

    run(main())


def test_a_full_queue_is_reported_with_what_each_statement_adds():
    async def main():
        rig, group = await settled_group()
        queue = group.upstreams[group.watch.leader].admission.queue
        while queue.has_room(0.0):
            queue.start_unqueued()
        callers = [rig.caller("own", key="n") for _ in range(3)]
        writes = [asyncio.create_task(caller.send("WRITE a 1")) for caller in callers]
        await asyncio.sleep(0.05)
        wait, pace = report_wait(group, "north", at_leader=True)
        assert wait > 2 * pace > 0
        assert report_wait(group, "north", at_leader=False) == (0.0, 0.0)
        for write in writes:
            write.cancel()

    run(main())


def test_connections_held_by_a_workspaces_transactions_are_a_wait_for_it_alone():
    """Guards against a report by the queue only, which has room meanwhile."""

    async def main():
        rig, group = await settled_group()
        pool = group.upstreams[group.watch.leader].pool
        pool.limit = 4
        for _ in range(3):
            caller = rig.caller("own", key="n")
            await caller.send("BEGIN")
            assert (await caller.send("WRITE a 1")).ok
        assert report_wait(group, "north", at_leader=True)[0] == TRANSACTIONS_WAIT
        assert report_wait(group, "south", at_leader=True) == (0.0, 0.0)

    run(main())


def test_without_a_leader_no_wait_is_reported():
    """Guards against work that is spread over all owners while the primary is lost."""

    async def main():
        _, group = await settled_group()
        group.watch.leader = ""
        assert report_wait(group, "north", at_leader=True) == (0.0, 0.0)

    run(main())
