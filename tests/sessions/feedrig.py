"""Daemons in virtual time that keep feeds of one store, as watchers or followers."""

import asyncio
import json
from dataclasses import replace
from random import Random

from gypsum_platform.feeds import Feed, Waker, watch_timeout
from gypsum_platform.object_handlers import CONFIG_KIND, CONFIG_WATCH_MS
from gypsum_platform.store import (
    WATCH_MARGIN,
    WATCH_MS,
    Change,
    HistoryGone,
    StoredObject,
    StoreError,
)
from gypsum_policy.revisions import era_of, make_revision, number_of
from tests.sessions.rig import Rig

KINDS = ("config", "servers")
# Time for a request to the store and its answer, seconds.
ROUND_TRIP = 0.004
# Capacity of a link of 5 Mbit/s, bytes a second.
SLOW_LINK = 600_000


class VirtualStore:
    """Objects by kind with one increasing revision, and a history of changes.

    Calls of a daemon in `busy` fail at once, those of one in `silent` get no answer.
    `rate` is how many bytes a second an answer transfers, 0 for no limit.
    """

    def __init__(self):
        self.revision = 0
        self.kinds = {kind: {} for kind in KINDS}
        self.history = []
        self.changed = asyncio.Event()
        self.busy = set()
        self.silent = set()
        self.rate = 0
        self.oldest = 0
        self.era = 1

    def put(self, kind, name, spec):
        """Write an object."""
        self.revision += 1
        known = self.kinds[kind].get(name)
        obj = StoredObject(
            name=name,
            revision=self.revision,
            spec=spec,
            created=known.created if known else self.revision,
        )
        self.kinds[kind][name] = obj
        self.note(kind, Change(obj=obj, deleted=False))

    def remove(self, kind, name):
        """Delete an object if it exists."""
        obj = self.kinds[kind].pop(name, None)
        if obj is not None:
            self.revision += 1
            self.note(kind, Change(obj=obj, deleted=True))

    def note(self, kind, change):
        """Record a change in the history and wake watches."""
        self.history.append((self.revision, kind, change))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        """Return a copy from which the store can be restored."""
        kinds = {kind: dict(objects) for kind, objects in self.kinds.items()}
        return self.revision, kinds, list(self.history)

    def return_from(self, copy):
        """Restore a copy: later changes are lost and their revisions are reused."""
        self.era += 1
        self.revision, kinds, history = copy
        self.kinds = {kind: dict(objects) for kind, objects in kinds.items()}
        self.history = list(history)

    def forget_history(self):
        """Drop the history: watches from earlier revisions get an error."""
        self.history.clear()
        self.oldest = self.revision


class VirtualClient:
    """One daemon's client of the store, like `gypsum_platform.store.Store`."""

    def __init__(self, *, store, daemon):
        self.store = store
        self.daemon = daemon
        self.calls = 0

    async def arrive(self, step, timeout):
        """Wait until a call reaches the store, or raise StoreError."""
        self.calls += 1
        await asyncio.sleep(ROUND_TRIP)
        if self.daemon in self.store.silent:
            await asyncio.sleep(timeout)
            raise StoreError("silent", step=step, peer="store")
        if self.daemon in self.store.busy:
            raise StoreError("turned away", step=step, peer="store")

    async def transfer(self, objects):
        """Wait until an answer has been transferred over the daemon's link."""
        if self.store.rate:
            size = sum(len(json.dumps(obj.spec)) for obj in objects)
            await asyncio.sleep(size / self.store.rate)

    async def list_objects(self, kind):
        """All objects of a kind, and the store's revision."""
        await self.arrive("list", 2.0)
        found, revision = list(self.store.kinds[kind].values()), self.store.revision
        era = self.store.era
        await self.transfer(found)
        return [with_era(era, obj) for obj in found], make_revision(era, revision)

    async def watch(self, kind, since, *, wait_ms):
        """Changes since a revision, as soon as there is one."""
        wait = wait_ms / 1000
        asked_at = asyncio.get_running_loop().time()
        await self.arrive("watch", wait + WATCH_MARGIN)
        self.check_history(since)
        if number_of(since) > self.store.revision:
            raise HistoryGone("no such revision", step="watch", peer="store")
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while (
            not (found := self.changes_since(kind, number_of(since)))
            and loop.time() < until
        ):
            event = self.store.changed
            try:
                async with asyncio.timeout(until - loop.time()):
                    await event.wait()
            except TimeoutError:
                break
        if self.daemon in self.store.silent:
            await asyncio.sleep(asked_at + wait + WATCH_MARGIN - loop.time())
            raise StoreError("silent", step="watch", peer="store")
        if self.daemon in self.store.busy:
            raise StoreError("cut off", step="watch", peer="store")
        self.check_history(since)
        revision = make_revision(self.store.era, self.store.revision)
        await self.transfer([change.obj for change in found])
        changes = [
            Change(obj=with_era(self.store.era, change.obj), deleted=change.deleted)
            for change in found
        ]
        return changes, revision

    def check_history(self, since):
        """Raise HistoryGone if the store was restored from an older copy."""
        if era_of(since) != self.store.era:
            raise HistoryGone("an earlier era", step="watch", peer="store")

    def changes_since(self, kind, since):
        """Changes of a kind since a revision."""
        if since < self.store.oldest:
            raise HistoryGone("history is gone", step="watch", peer="store")
        return [
            change
            for revision, changed, change in self.store.history
            if revision > since and changed == kind
        ]


def with_era(era, obj):
    """An object with its revisions labelled with an era."""
    return replace(
        obj,
        revision=make_revision(era, obj.revision),
        created=make_revision(era, obj.created),
    )


class FeedCopy:
    """What one daemon has applied of a kind: specs by name."""

    def __init__(self):
        self.specs = {}

    def on_list(self, objects, revision):
        """Replace the copy by a whole list."""
        self.specs = {obj.name: obj.spec for obj in objects}

    def on_change(self, change):
        """Apply a changed or deleted object."""
        if change.deleted:
            self.specs.pop(change.obj.name, None)
        else:
            self.specs[change.obj.name] = change.obj.spec


class FeedRig:
    """A rig whose daemons keep feeds; `copies` has each daemon's copy of each kind."""

    def __init__(self, *, daemons=15, seed=1, **options):
        self.store = VirtualStore()
        self.store.put("config", "main", {"version": 1})
        for number in range(6):
            self.store.put("servers", f"s{number}", {"address": f"a:{number}"})
        self.rig = Rig(daemons=daemons, max_connections=9, **options)
        self.links = self.rig.links
        self.copies = {}
        self.clients = {}
        for number, proxy in enumerate(self.rig.proxies):
            self.start(proxy, Random(f"{seed}:{number}"))

    def start(self, proxy, rng):
        """Run a daemon's feeds."""
        waker = Waker()
        client = VirtualClient(store=self.store, daemon=proxy.name)
        self.clients[proxy.name] = client
        self.copies[proxy.name] = {kind: FeedCopy() for kind in KINDS}
        proxy.relay.set_confirmation_time(CONFIG_KIND, watch_timeout(CONFIG_WATCH_MS))
        for kind, copy in self.copies[proxy.name].items():
            feed = Feed(
                store=client,
                kind=kind,
                on_list=copy.on_list,
                on_change=copy.on_change,
                log=proxy.log,
                waker=waker,
                relay=proxy.relay,
                follower=proxy.feed_follower,
                watch_ms=CONFIG_WATCH_MS if kind == CONFIG_KIND else WATCH_MS,
            )
            feed.rng = rng
            proxy.keep_running(feed.run)
        proxy.keep_running(proxy.relay.run)
        proxy.keep_running(proxy.feed_follower.run)

    @property
    def followers(self):
        """Names of the daemons that do not watch the store."""
        return [p.name for p in self.rig.proxies if not p.daemons.watches()]

    @property
    def watchers(self):
        """Names of the daemons that watch the store."""
        return [p.name for p in self.rig.proxies if p.daemons.watches()]

    def out_of_date(self):
        """Daemons and kinds whose copy differs from the store."""
        return [
            (name, kind)
            for name, copies in self.copies.items()
            if name not in self.links.dead
            for kind, copy in copies.items()
            if copy.specs
            != {obj.name: obj.spec for obj in self.store.kinds[kind].values()}
        ]

    async def wait_in_sync(self, within):
        """Wait until all copies match the store; AssertionError if it takes longer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        while self.out_of_date():
            assert loop.time() < until, self.out_of_date()
            await asyncio.sleep(0.05)


def large_config(version, routes=1600):
    """A configuration too large to be relayed in one update.

    Its names are random, so that it compresses little.
    """
    rng = Random(version)
    return {
        "version": version,
        "routes": [
            {"name": f"{rng.getrandbits(40):x}", "group": "g", "timeoutMs": 1000}
            for _ in range(routes)
        ],
    }
