"""No statement reaches an upstream long after it has reported that it leaves."""

import asyncio
from functools import partial

import pytest

from gypsum_platform.object_handlers import UPSTREAM_KIND
from tests.sessions.fakegroup import FakeConn
from tests.sessions.listedrig import DRAIN, IN_TOUCH_AFTER, ListedRig
from tests.sessions.vclock import run


def test_a_daemon_cut_off_from_the_store_counts_from_the_report():
    """Guards against a leaving upstream that gets its whole time again on late news."""

    async def main():
        rig = ListedRig()
        await asyncio.sleep(2.0)
        rig.store.silent.add("d0")
        await asyncio.sleep(0.5)
        rig.report("u2", "draining")
        reported_at = rig.loop.time()
        await asyncio.sleep(4.5)
        rig.store.silent.clear()
        reached_at = rig.loop.time()
        last = await rig.last_offer(rig.proxy, "u2", reported_at + 16.0)
        assert last <= max(reported_at + DRAIN, reached_at + IN_TOUCH_AFTER)

    run(main())


def test_a_restarted_daemon_does_not_give_a_leaving_upstream_its_time_again():
    """Guards against a start after a report that counts from the first list."""

    async def main():
        rig = ListedRig(daemons=2)
        await asyncio.sleep(2.0)
        rig.report("u2", "draining")
        reported_at = rig.loop.time()
        await asyncio.sleep(4.5)
        late = rig.restart("d1")
        started_at = rig.loop.time()
        last = await rig.last_offer(late, "u2", reported_at + 16.0)
        assert last <= max(reported_at + DRAIN, started_at + IN_TOUCH_AFTER)

    run(main())


async def take_old_list(rig, change, seconds):
    """A takeover's list is answered before a change and arrives seconds after it."""
    await asyncio.sleep(2.0)
    rig.clients["d0"].held = True
    listing = asyncio.create_task(rig.proxy.reload_members())
    await asyncio.sleep(0.1)
    change()
    await asyncio.sleep(seconds)
    rig.clients["d0"].held = False
    await listing


def test_a_list_from_before_a_report_does_not_undo_it():
    """Guards against a takeover's list that makes a leaving upstream ready again."""

    async def main():
        rig = ListedRig()
        await take_old_list(rig, partial(rig.report, "u2", "draining"), 1.0)
        reported_at = rig.reported_at["u2"]
        last = await rig.last_offer(rig.proxy, "u2", reported_at + 16.0)
        assert last <= reported_at + DRAIN

    run(main())


def test_a_list_from_before_a_removal_does_not_undo_it():
    """Guards against an upstream that a takeover's list brings back for good."""

    async def main():
        rig = ListedRig()
        await take_old_list(rig, partial(rig.store.remove, UPSTREAM_KIND, "u2"), 3.5)
        removed_at = rig.loop.time() - 3.5
        last = await rig.last_offer(rig.proxy, "u2", removed_at + 10.0)
        assert last <= removed_at + 3.0

    run(main())


@pytest.fixture
def arrivals(monkeypatch):
    """When statements that take a slot have reached an upstream."""
    times, work = [], FakeConn.work

    async def note_arrival(conn, statement, request):
        times.append(asyncio.get_running_loop().time())
        return await work(conn, statement, request)

    monkeypatch.setattr(FakeConn, "work", note_arrival)
    return times


@pytest.mark.parametrize("texts", [["WRITE a 1"], ["READ a"], ["BEGIN", "READ a"]])
def test_a_statement_that_waits_is_not_sent_after_the_bound(texts, arrivals):
    """Guards against work that is chosen in time and sent after a long wait."""

    async def main():
        rig = ListedRig()
        rig.leases.down = True
        route = {"statement_timeout": 4.0, "latency_target": 4.0, "max_age": 60.0}
        rig.proxy.offer_catalog(rig.configured(2, None, bounded=route), "test")
        await rig.settle()
        await rig.caller("bounded").send("WRITE a 0")
        rig.group["u2"].not_receiving = texts[-1] == "READ a"
        rig.group["u3"].crash()
        if texts[-1] == "READ a":
            rig.group["u2"].crash()
        rig.report("u1", "draining")
        reported_at = rig.loop.time()
        rig.group["u1"].work = 0.3
        await asyncio.sleep(DRAIN - 1.3)
        callers = [rig.caller("bounded") for _ in range(60)]
        await asyncio.gather(*(send_all(caller, texts) for caller in callers))
        assert reported_at + DRAIN - 1.3 < arrivals[-1] <= reported_at + DRAIN

    run(main())


async def send_all(caller, texts):
    """Send statements in order until one is refused."""
    for text in texts:
        reply = await caller.send(text)
        if not reply.ok:
            return
