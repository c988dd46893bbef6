"""No statement reaches an upstream long after it has reported that it leaves."""

import asyncio

import pytest

from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.object_handlers import (
    UPSTREAM_BATCH_INTERVAL,
    UPSTREAM_KIND,
    UpstreamHandler,
)
from tests.sessions.fakegroup import FakeConn
from tests.sessions.feedrig import VirtualClient, VirtualStore
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

# Seconds after the store has accepted its report, as in the rig's settings.
DRAIN = 7.0
# What users promise of a daemon holds once it has been up, or has reached the store
# again, for this many seconds.
IN_TOUCH_AFTER = 4.0


class HeldClient(VirtualClient):
    """A client whose lists, while `held`, are answered late with what was true then."""

    held = False

    async def list_objects(self, kind):
        """A list, delivered once it is no longer held."""
        found = await super().list_objects(kind)
        while self.held:
            await asyncio.sleep(0.01)
        return found


class ListedRig(Rig):
    """Daemons that learn of the upstreams by feeds of a store."""

    def __init__(self, **options):
        super().__init__(**options)
        self.store = VirtualStore()
        self.store.era = 0
        self.clients = {}
        for name in ("u1", "u2", "u3"):
            self.report(name)
        for proxy in self.proxies:
            self.start(proxy)

    def make_roster(self, roster):
        """The daemon's own roster, which the feed confirms."""
        return roster

    def report(self, name, state="ready"):
        """An upstream writes its entry."""
        spec = {
            "service": "db",
            "address": f"10.0.0.{name[1:]}:1",
            "zone": "a",
            "capacity": 5,
            "dbRole": "primary" if self.group[name].leads else "replica",
            "state": state,
        }
        self.store.put(UPSTREAM_KIND, name, spec)

    def start(self, proxy):
        """Run a daemon's feed of upstreams."""
        client = HeldClient(store=self.store, daemon=proxy.name)
        self.clients[proxy.name] = client
        handler = UpstreamHandler(store=client, log=proxy.log)
        handler.proxy = proxy
        proxy.member_list = handler
        feed = Feed(
            store=client,
            kind=UPSTREAM_KIND,
            on_list=handler.on_list,
            on_change=handler.on_change,
            on_caught_up=proxy.members_caught_up,
            on_confirmed=proxy.roster.confirm,
            clock=proxy.clock,
            log=proxy.log,
            waker=Waker(),
            batch_interval=UPSTREAM_BATCH_INTERVAL,
        )
        proxy.keep_running(feed.run)
        proxy.keep_running(proxy.run_maintenance)

    def restart(self, name):
        """Start a daemon that knows nothing of the upstreams yet."""
        names = [proxy.name for proxy in self.proxies]
        proxy = self.make_proxy(name, names, self.proxy.tuning, self.version)
        proxy.roster.members.clear()
        proxy.roster.newest.clear()
        self.start(proxy)
        return proxy

    def offers(self, proxy, name):
        """Whether a daemon would send new work to an upstream now."""
        return name in {item.id for item in proxy.groups["db"].candidates()}

    async def last_offer(self, proxy, name, until):
        """When a daemon last offered work to an upstream, looking until a time."""
        last = 0.0
        while self.loop.time() < until:
            if self.offers(proxy, name):
                last = self.loop.time()
            await asyncio.sleep(0.05)
        return last


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


def test_a_list_from_before_a_report_does_not_undo_it():
    """Guards against a takeover's list that makes a leaving upstream ready again."""

    async def main():
        rig = ListedRig()
        await asyncio.sleep(2.0)
        rig.clients["d0"].held = True
        listing = asyncio.create_task(rig.proxy.reload_members())
        await asyncio.sleep(0.1)
        rig.report("u2", "draining")
        reported_at = rig.loop.time()
        await asyncio.sleep(1.0)
        rig.clients["d0"].held = False
        await listing
        last = await rig.last_offer(rig.proxy, "u2", reported_at + 16.0)
        assert last <= reported_at + DRAIN

    run(main())


def test_a_list_from_before_a_removal_does_not_undo_it():
    """Guards against an upstream that a takeover's list brings back for good."""

    async def main():
        rig = ListedRig()
        await asyncio.sleep(2.0)
        rig.clients["d0"].held = True
        listing = asyncio.create_task(rig.proxy.reload_members())
        await asyncio.sleep(0.1)
        rig.store.remove(UPSTREAM_KIND, "u2")
        removed_at = rig.loop.time()
        await asyncio.sleep(3.5)
        rig.clients["d0"].held = False
        await listing
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
