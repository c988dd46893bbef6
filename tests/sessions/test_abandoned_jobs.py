"""Jobs whose callers leave: what waits is withdrawn, what was sent is accounted for."""

import asyncio

import pytest

from gypsum_platform.codec import read_statement
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.reads import run_read
from gypsum_sessions.execution.transactions import Transaction
from gypsum_sessions.execution.writes import run_write
from gypsum_sessions.replies import Refusal
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


async def rig_with_full_queues():
    """A rig whose upstreams have no room for another statement."""
    rig = Rig()
    await rig.settle()
    for queue in queues(rig):
        while queue.has_room(0.0):
            queue.start_unqueued()
    return rig


def queues(rig):
    """The queues before the upstreams of the first daemon."""
    return [item.admission.queue for item in rig.proxy.groups["db"].upstreams.values()]


def make_job(rig, text):
    """A job on the first daemon."""
    now = rig.loop.clock()
    route = rig.proxy.catalog.route("bounded")
    return Job(
        request="1-1",
        statement=read_statement(text),
        route=route,
        arrived=now,
        deadline=now + route.statement_timeout,
        values={},
    )


async def open_and_read(group, job):
    """Run a job as the first statement of a transaction."""
    transaction = Transaction(
        group=group, route=job.route, writes=True, arrived=job.arrived
    )
    return await transaction.run(job)


@pytest.mark.parametrize(
    ("text", "execute"),
    [("READ a", run_read), ("WRITE a 1", run_write), ("READ a", open_and_read)],
)
def test_waiting_work_of_a_caller_who_left_is_never_sent(text, execute):
    """Guards against upstreams running statements that nobody waits for."""

    async def main():
        rig = await rig_with_full_queues()
        runs = [member.runs for member in rig.group.members]
        job = make_job(rig, text)
        task = asyncio.create_task(execute(rig.proxy.groups["db"], job))
        await asyncio.sleep(0.05)
        assert sum(len(queue.waiting) for queue in queues(rig)) == 1
        left_at = rig.loop.time()
        job.abandon()
        assert not any(queue.waiting for queue in queues(rig))
        reply = await task
        assert rig.loop.time() - left_at < 0.05
        assert reply.refusal is Refusal.BUSY and reply.detail.startswith("not run")
        assert [member.runs for member in rig.group.members] == runs

    run(main())


def test_a_sent_read_of_a_caller_who_left_is_accounted_for_to_its_end():
    """Guards against a place in the queue that is free while its statement runs."""

    async def main():
        rig = Rig()
        await rig.settle()
        for member in rig.group.members:
            member.work = 0.2
        job = make_job(rig, "READ a")
        task = asyncio.create_task(run_read(rig.proxy.groups["db"], job))
        await asyncio.sleep(0.1)
        job.abandon()
        assert sum(queue.running for queue in queues(rig)) == 1
        assert (await task).ok
        assert job.maybe_run == 1
        assert sum(queue.running for queue in queues(rig)) == 0

    run(main())
