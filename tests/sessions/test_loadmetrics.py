"""Metrics of load: queues as their owners see them, refusals by cause."""

import asyncio

from gypsum_cli.load import read_metrics
from gypsum_sessions.callers.refusalcauses import cause_of
from gypsum_sessions.daemons.remote import no_owner
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.execution.refusals import (
    abandoned_reply,
    no_leader_reply,
    overloaded_reply,
)
from gypsum_sessions.execution.writes import cannot_confirm_reply, out_of_time_reply
from gypsum_sessions.metrics import SessionMetrics
from gypsum_sessions.replies import Refusal, Reply
from gypsum_sessions.statements import BEGIN_READ_ONLY
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from tests.sessions.owners import first_owner, owners_rig
from tests.sessions.rig import Rig, catalog
from tests.sessions.vclock import run


def load_of(proxy):
    """What a daemon's metrics tell of the group."""
    metrics = SessionMetrics()
    metrics.collect(proxy, 0)
    content, _ = metrics.render(["text/plain"])
    return read_metrics(content.decode(), "db")


def fill(proxy):
    """Leave no room in a daemon's queues."""
    for item in proxy.groups["db"].upstreams.values():
        while item.admission.queue.has_room(0.0):
            item.admission.queue.start_unqueued()


def test_the_queues_of_an_owner_are_shown():
    async def main():
        rig = Rig()
        await rig.settle()
        leader = rig.proxy.groups["db"].watch.leader
        idle = load_of(rig.proxy)["upstreams"]
        assert idle[leader]["leads"] == 1
        assert idle[leader]["waiting"] == idle[leader]["expected_wait"] == 0
        fill(rig.proxy)
        task = asyncio.create_task(rig.caller("own").send("WRITE a 1"))
        await asyncio.sleep(0.05)
        full = load_of(rig.proxy)["upstreams"][leader]
        assert full["running"] == full["limit"] > 0
        assert full["waiting"] == 1 and full["expected_wait"] > 0
        task.cancel()

    run(main())


def test_a_group_that_was_given_up_is_not_shown_any_more():
    """Guards against the last values of a group that moved to other owners."""

    async def main():
        rig = Rig()
        await rig.settle()
        metrics = SessionMetrics()
        metrics.collect(rig.proxy, 0)
        rig.proxy.groups.clear()
        metrics.collect(rig.proxy, 0)
        content, _ = metrics.render(["text/plain"])
        assert read_metrics(content.decode(), "db")["upstreams"] == {}

    run(main())


def test_refusals_are_counted_by_cause_at_the_entry_and_the_owner():
    async def main():
        rig = await owners_rig()
        proxy = rig.others()[0]
        owner = rig.links.proxies[first_owner(rig)]
        for one in rig.owners():
            fill(one)
            for item in one.groups["db"].upstreams.values():
                item.admission.queue.mean_service_time = 30.0
        assert not (await rig.caller("own", proxy).send("READ a")).ok
        entry, at_owner = load_of(proxy)["refusals"], load_of(owner)["refusals"]
        assert {(item["to"], item["cause"]) for item in entry} == {("callers", "queue")}
        assert {(item["to"], item["cause"]) for item in at_owner} == {
            ("daemons", "queue")
        }

    run(main())


def test_every_refusal_under_load_has_a_cause():
    """Guards against refusals that are counted by their kind alone: most are `busy`."""
    tuning = DEFAULT_SESSION_TUNING
    job = Job(
        request="1",
        statement=BEGIN_READ_ONLY,
        route=catalog().routes["own"],
        arrived=0.0,
        deadline=1.0,
        values={},
    )
    replies = {
        "queue": overloaded_reply(job, 0.5),
        "caller left": abandoned_reply(job),
        "no primary": no_leader_reply(tuning),
        "no owner": no_owner(job, tuning),
        "no replica": cannot_confirm_reply(tuning),
        "too late": out_of_time_reply(tuning),
        "upstream full": Reply(refusal=Refusal.BUSY, detail="not run, busy"),
        "cap": Reply(
            refusal=Refusal.BUSY, detail="not run, beyond the workspace's cap"
        ),
        "lagging": Reply(refusal=Refusal.LAGGING, detail="not run, no position"),
    }
    assert {name: cause_of(reply) for name, reply in replies.items()} == {
        name: name for name in replies
    }
