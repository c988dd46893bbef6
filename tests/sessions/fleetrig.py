"""A fleet that starts on an empty store in virtual time; counts calls of the store.

The daemons register, find each other, share a key and follow watchers with the code of
the real program. There are no callers, and upstreams refuse every dial.
"""

import asyncio
from collections import Counter
from random import Random

from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.leases import SYSTEM_KIND
from gypsum_platform.object_handlers import (
    CONFIG_KIND,
    CONFIG_WATCH_MS,
    UPSTREAM_BATCH_INTERVAL,
    UPSTREAM_KIND,
    SystemObjectHandler,
)
from gypsum_platform.registrar import Registrar
from gypsum_platform.store import WATCH_MS, Conflict
from gypsum_sessions.catalog import CatalogVersion, GroupSpec
from gypsum_sessions.proxy import Proxy
from gypsum_sessions.replies import UpstreamLost
from gypsum_sessions.tuning import DEFAULT_SESSION_TUNING
from gypsum_sessions.upstreams.roster import Member
from tests.sessions.fakelinks import FakeLinks
from tests.sessions.feedrig import FeedCopy, VirtualClient, VirtualStore

# All processes of a fleet start within this time, seconds: 0.3 between the machines,
# and the duration of the imports on half a core.
STARTS_WITHIN = 1.2
# Connections that an upstream of a large fleet accepts.
MAX_CONNECTIONS = 34


class CountingClient(VirtualClient):
    """A daemon's client that counts its calls by step and kind, and may write."""

    def __init__(self, *, store, daemon, counts):
        super().__init__(store=store, daemon=daemon)
        self.counts = counts

    async def list_objects(self, kind):
        """Count and forward a list call."""
        self.counts["list", kind] += 1
        return await super().list_objects(kind)

    async def watch(self, kind, since, *, wait_ms):
        """Count and forward a watch call."""
        self.counts["watch", kind] += 1
        return await super().watch(kind, since, wait_ms=wait_ms)

    async def create(self, kind, name, spec):
        """Create an object; raises Conflict if it exists."""
        self.counts["create", kind] += 1
        await self.arrive("create", 2.0)
        found = self.store.kinds[kind].get(name)
        if found is not None:
            raise Conflict("is there", step="create", peer="store", current=found)
        self.store.put(kind, name, spec)

    async def replace(self, kind, name, spec, *, revision):
        """Replace an object."""
        self.counts["replace", kind] += 1
        await self.arrive("replace", 2.0)
        self.store.put(kind, name, spec)


class CountingDialer:
    """Counts dials; every dial is refused, so that no leader is found."""

    def __init__(self):
        self.dials = 0

    async def dial(self, member, *, timeout, workspace=""):
        """Refuse after the time that a dial takes."""
        self.dials += 1
        await asyncio.sleep(0.012)
        raise UpstreamLost("refused", step="dial", peer=member.id)


def many_groups(count):
    """A configuration of the given number of groups."""
    groups = {
        f"g{number}": GroupSpec(
            name=f"g{number}", max_connections=MAX_CONNECTIONS, sync_replicas=1
        )
        for number in range(count)
    }
    return CatalogVersion(version=1, routes={}, groups=groups, transaction_idle=3.0)


def members_of(catalog):
    """Three upstreams for each group."""
    return [
        Member(
            id=f"{group}-{number}",
            group=group,
            address=f"{group}:{number}",
            domain=f"z{number}",
            slots=5,
        )
        for group in catalog.groups
        for number in range(3)
    ]


class FleetRig:
    """Daemons in several failure domains that start within STARTS_WITHIN."""

    def __init__(self, *, daemons, domains=5, seed=1, groups=0):
        self.loop = asyncio.get_running_loop()
        self.rng = Random(seed)
        self.store = VirtualStore()
        self.store.kinds[SYSTEM_KIND] = {}
        self.store.put(CONFIG_KIND, "main", {"version": 1})
        for number in range(30):
            self.store.put(UPSTREAM_KIND, f"s{number}", {"address": f"a:{number}"})
        self.links = FakeLinks(loop=self.loop)
        self.dialer = CountingDialer()
        self.catalog = many_groups(groups) if groups else None
        self.counts = Counter()
        self.proxies = []
        self.log = lambda *args, **fields: None
        for number in range(daemons):
            delay = self.rng.random() * STARTS_WITHIN
            name, domain = f"d{number}", f"z{number % domains}"
            self.loop.call_later(delay, self.start, name, domain)

    def start(self, name, domain):
        """Start one daemon."""
        proxy = Proxy(
            name=name,
            domain=domain,
            drain_seconds=7.0,
            clock=self.loop.clock,
            dialer=self.dialer,
            leases=None,
            promoter=None,
            member_list=None,
            records=None,
            tuning=DEFAULT_SESSION_TUNING,
            log=self.log,
            observe=lambda *args: None,
            links=self.links.dialer(name),
            link_address=name,
        )
        self.links.proxies[name] = proxy
        self.proxies.append(proxy)
        client = CountingClient(store=self.store, daemon=name, counts=self.counts)
        system_handler = SystemObjectHandler(
            proxy=proxy, own_name=name, on_rejoined=proxy.daemons.mark_rejoined
        )
        waker = Waker()
        handlers = {
            CONFIG_KIND: (FeedCopy(), 0.0),
            UPSTREAM_KIND: (FeedCopy(), UPSTREAM_BATCH_INTERVAL),
            SYSTEM_KIND: (system_handler, 0.0),
        }
        for kind, (handler, batch_interval) in handlers.items():
            feed = Feed(
                store=client,
                kind=kind,
                on_list=handler.on_list,
                on_change=handler.on_change,
                log=self.log,
                waker=waker,
                batch_interval=batch_interval,
                on_caught_up=proxy.lease_view.record_revision
                if kind == SYSTEM_KIND
                else None,
                relay=proxy.relay,
                follower=proxy.feed_follower,
                watch_ms=CONFIG_WATCH_MS if kind == CONFIG_KIND else WATCH_MS,
            )
            proxy.keep_running(feed.run)
        registrar = Registrar(
            store=client,
            own=proxy.daemons.own,
            handler=system_handler,
            log=self.log,
            waker=waker,
            on_rejoined=proxy.daemons.mark_rejoined,
        )
        for work in (registrar.run, proxy.relay.run, proxy.feed_follower.run):
            proxy.keep_running(work)
        if self.catalog is not None:
            proxy.keep_running(proxy.run_maintenance)
            proxy.offer_catalog(self.catalog, "test")
            proxy.update_members(members_of(self.catalog))

    def calls(self):
        """Calls of all daemons since the previous one, by step and kind."""
        found, self.counts = Counter(self.counts), self.counts
        self.counts.clear()
        return found

    def missing_peers(self):
        """Daemons that do not know all others."""
        return [
            proxy.name
            for proxy in self.proxies
            if len(proxy.daemons.known) < len(self.proxies)
        ]
