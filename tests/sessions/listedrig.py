"""Daemons that learn of the upstreams by feeds of a store, in virtual time."""

import asyncio

from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.object_handlers import (
    UPSTREAM_BATCH_INTERVAL,
    UPSTREAM_KIND,
    UpstreamHandler,
)
from tests.sessions.feedrig import VirtualClient, VirtualStore
from tests.sessions.rig import Rig

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
    """A rig with a store that has the upstreams' entries.

    `reported_at` is when an upstream reported that it leaves, and `out_of_touch_at`
    when a daemon last was not in touch with the store. Upstreams report `slots`.
    """

    def __init__(self, *, slots=5, **options):
        super().__init__(**options)
        self.slots = slots
        self.store = VirtualStore()
        self.store.era = 0
        self.clients = {}
        self.reported_at = {}
        self.out_of_touch_at = {}
        for name in ("u1", "u2", "u3"):
            self.report(name)
        for proxy in self.proxies:
            self.start(proxy)

    def make_roster(self, roster):
        """The daemon's own roster, which the feed confirms."""
        return roster

    def report(self, name, state="ready"):
        """An upstream writes its entry, as soon as the store accepts it."""
        spec = {
            "service": "db",
            "address": f"10.0.0.{name[1:]}:1",
            "zone": "a",
            "capacity": self.slots,
            "dbRole": "primary" if self.group[name].leads else "replica",
            "state": state,
        }
        if state == "draining":
            self.reported_at.setdefault(name, self.loop.clock())
        # One counter, since takeovers compare entries with leases.
        self.store.revision = max(self.store.revision, self.group.revision)
        self.store.put(UPSTREAM_KIND, name, spec)
        self.group.revision = self.store.revision

    def start(self, proxy):
        """Run a daemon's feed of upstreams."""
        client = HeldClient(store=self.store, daemon=proxy.name)
        self.clients[proxy.name] = client
        self.out_of_touch_at[proxy.name] = self.loop.clock()
        proxy.context.dialer.dialer.daemon = proxy.name
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
        self.catch_up(proxy)
        proxy.keep_running(feed.run)
        proxy.keep_running(proxy.run_maintenance)

    def restart(self, name):
        """Start a daemon that knows nothing of the upstreams yet."""
        names = [proxy.name for proxy in self.proxies]
        proxy = self.make_proxy(name, names, self.proxy.tuning, self.version)
        proxy.roster.members.clear()
        proxy.roster.newest.clear()
        proxy.refresh_members("db")
        self.start(proxy)
        return proxy

    def cut_from_store(self, name):
        """The store gives a daemon no answers; returns what ends that."""
        self.store.silent.add(name)

        def restore():
            self.store.silent.discard(name)
            self.out_of_touch_at[name] = self.loop.clock()

        return restore

    def in_touch(self, name):
        """Whether a daemon has long been up and reached the store."""
        since = self.loop.clock() - self.out_of_touch_at[name]
        return name not in self.store.silent and since >= IN_TOUCH_AFTER

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
