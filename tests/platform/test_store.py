"""The store's client and feeds against a stand-in: conditions, watches, faults."""

import asyncio
import time
from dataclasses import replace
from random import Random

import pytest

from gypsum_platform import store as store_module
from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.leases import PlatformPromoter, StoreLeases
from gypsum_platform.object_handlers import (
    ConfigHandler,
    SystemObjectHandler,
    UpstreamHandler,
)
from gypsum_platform.records import StoreRecords
from gypsum_platform.store import (
    Conflict,
    HistoryGone,
    Store,
    StoredObject,
    StoreError,
    read_json,
)
from gypsum_sessions.daemons.peermessages import FeedUpdate
from gypsum_sessions.daemons.relay import Relay
from gypsum_sessions.interfaces import LeaseError, PromoteOutcome
from gypsum_sessions.takeover.lease_view import LeaseView
from gypsum_sessions.upstreams.recorder import MemberRecorder
from gypsum_sessions.upstreams.roster import Member
from tests.sessions.vclock import run
from tests.standins.objectstore import ObjectStore


def with_store(main):
    """Run an async test body with a new stand-in store and its client."""

    async def body():
        object_store = ObjectStore()
        await main(object_store, Store(address=object_store.listen()))

    asyncio.run(body())


def test_objects_are_created_conditionally_replaced_and_deleted():
    async def main(object_store, client):
        made = await client.create("kind", "a", {"x": 1})
        with pytest.raises(Conflict):
            await client.create("kind", "a", {"x": 2})
        changed = await client.replace("kind", "a", {"x": 3}, revision=made.revision)
        with pytest.raises(Conflict) as caught:
            await client.replace("kind", "a", {"x": 4}, revision=made.revision)
        assert caught.value.current.spec == {"x": 3}
        assert (await client.get_object("kind", "a")).revision == changed.revision
        await client.delete("kind", "a")
        assert await client.get_object("kind", "a") is None

    with_store(main)


def test_long_lists_are_paginated():
    async def main(object_store, client):
        for number in range(1201):
            object_store.put("kind", f"n{number:05}", {})
        objects, revision = await client.list_objects("kind")
        assert len(objects) == 1201 and revision == 1201

    with_store(main)


def test_watch_reports_a_change_made_between_two_list_pages():
    """Guards against a missed change of an object on an earlier page of a list.

    The watch continued from the revision of the last page, so a change made between two
    pages was in neither.
    """

    async def main(object_store, client):
        for number in range(700):
            object_store.put("kind", f"n{number:05}", {})
        call, parts = client.call, []

        async def change_after_the_first(*args, **options):
            body = await call(*args, **options)
            parts.append(body)
            if len(parts) == 1:
                object_store.put("kind", "n00001", {"changed": True})
            return body

        client.call = change_after_the_first
        objects, revision = await client.list_objects("kind")
        client.call = call
        assert len(parts) == 2 and len(objects) == 700
        changes, _ = await client.watch("kind", revision)
        assert [change.obj.name for change in changes] == ["n00001"]

    with_store(main)


def test_watch_reports_changes_and_deletions():
    async def main(object_store, client):
        _, revision = await client.list_objects("kind")
        watching = asyncio.create_task(client.watch("kind", revision))
        await asyncio.sleep(0.05)
        object_store.put("kind", "a", {"x": 1})
        changes, revision = await watching
        assert [change.obj.name for change in changes] == ["a"]
        object_store.remove("kind", "a")
        changes, _ = await client.watch("kind", revision)
        assert changes[0].deleted

    with_store(main)


def test_watch_from_a_discarded_revision_raises_history_gone():
    async def main(object_store, client):
        object_store.put("kind", "a", {})
        object_store.forget_history()
        with pytest.raises(HistoryGone):
            await client.watch("kind", 0)

    with_store(main)


@pytest.mark.parametrize("status", [429, 503])
def test_rejected_write_is_reported_as_not_executed(status):
    async def main(object_store, client):
        object_store.refuse = status
        with pytest.raises(StoreError) as caught:
            await client.create("kind", "a", {})
        assert not caught.value.may_be_executed
        assert caught.value.step == "create"

    with_store(main)


def test_unresponsive_store_raises_store_error(monkeypatch):
    """Guards against a configuration that is never updated again.

    The HTTP client raised its own timeout error, although told not to, and that ended
    the task of the watch.
    """
    monkeypatch.setattr(store_module, "WATCH_MARGIN", 0.2)

    async def main(object_store, client):
        object_store.silent = True
        with pytest.raises(StoreError):
            await client.watch("kind", 0, wait_ms=50)

    with_store(main)


class ProxyDouble:
    """Records the configurations and members that feeds apply."""

    def __init__(self):
        self.versions = []
        self.members = {}
        self.lines = []

    def log(self, part, event, **fields):
        """Record the part and event of a log line."""
        self.lines.append((part, event))

    def offer_catalog(self, candidate, source):
        """Record the version of an offered configuration."""
        self.versions.append(candidate.version)

    def update_members(self, members, revision=0):
        """Replace all members."""
        self.members = {member.id: member for member in members}

    def update_member(self, member):
        """Add or replace one member."""
        self.members[member.id] = member

    def remove_member(self, upstream, revision=0):
        """Remove the member of a deleted entry."""
        self.members.pop(upstream, None)


class DaemonsDouble(dict):
    """Registered daemons by id."""

    @property
    def known(self):
        """The daemons by id."""
        return self


class SystemProxyDouble(ProxyDouble):
    """Also keeps the registered daemons and the recorded members by group."""

    def __init__(self):
        super().__init__()
        self.daemons = DaemonsDouble()
        self.lease_view = LeaseView(clock=time.monotonic, takeover_window=4.0)
        self.recorder = MemberRecorder(records=None, log=self.log)
        self.recorded_members = {}

    def update_daemons(self, entries):
        """Replace the registered daemons."""
        self.daemons = DaemonsDouble({entry.id: entry for entry in entries})

    def add_recorded_members(self, group, members):
        """Keep the members that a stored record lists for a group."""
        self.recorded_members[group] = members


def config(version):
    """Return a minimal configuration of the given version."""
    return {
        "configVersion": version,
        "routes": [],
        "services": [],
        "limits": {"txIdleMs": 3000},
    }


def entry(**changes):
    """Return the spec of an upstream entry, with `changes` applied."""
    spec = {
        "service": "g",
        "address": "10.0.0.1:1",
        "zone": "a",
        "capacity": 5,
        "state": "ready",
        "dbRole": "replica",
    }
    return {**spec, **changes}


async def wait_until(condition):
    """Poll a condition every 5 ms, 2000 times; pytest's timeout ends a hang."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("condition not met after 2000 polls")


def test_feed_recovers_from_outage_and_lost_history():
    async def main(object_store, client):
        proxy = ProxyDouble()
        handler = ConfigHandler(proxy=proxy)
        object_store.put("config", "main", config(1))
        feed = Feed(
            store=client,
            kind="config",
            on_list=handler.on_list,
            on_change=handler.on_change,
            log=proxy.log,
            waker=Waker(),
        )
        task = asyncio.create_task(feed.run())
        await wait_until(lambda: proxy.versions == [1])
        object_store.refuse = 503
        object_store.put("config", "main", config(4))
        await wait_until(
            lambda: ("store", "lost") in proxy.lines or 4 in proxy.versions
        )
        object_store.forget_history()
        object_store.refuse = 0
        object_store.put("config", "main", config(9))
        await wait_until(lambda: proxy.versions and proxy.versions[-1] == 9)
        task.cancel()

    with_store(main)


def test_feed_reports_the_revision_it_has_caught_up_to():
    async def main(object_store, client):
        revisions = []
        feed = Feed(
            store=client,
            kind="gypsumhitch",
            on_list=lambda objects, revision: None,
            on_change=lambda change: None,
            log=ProxyDouble().log,
            waker=Waker(),
            on_caught_up=revisions.append,
        )
        first = await client.create("gypsumhitch", "lease.a", {})
        await feed.poll_store()
        second = await client.create("gypsumhitch", "lease.b", {})
        await feed.poll_store()
        assert first.revision <= revisions[0] < second.revision <= revisions[1]
        assert second.created == second.revision

    with_store(main)


def test_feed_that_reaches_the_store_again_wakes_the_others():
    """Guards against a daemon that serves only seconds after the store is back.

    After a long outage each feed waited for the end of its own backoff.
    """

    class SwitchableStore:
        """A store that is unavailable until told otherwise; counts the calls."""

        def __init__(self):
            self.unavailable = True
            self.calls = {"first": 0, "second": 0}

        async def list_objects(self, kind):
            """Return an empty list, or raise while the store is unavailable."""
            self.calls[kind] += 1
            if self.unavailable:
                raise StoreError("unavailable", step="list", peer="store")
            return [], 1

        async def watch(self, kind, revision, *, wait_ms):
            """Block, as a watch without changes does."""
            await asyncio.sleep(1000)

    async def main():
        store, waker, proxy = SwitchableStore(), Waker(), ProxyDouble()
        feeds = [
            Feed(
                store=store,
                kind=kind,
                on_list=lambda objects, revision: None,
                on_change=None,
                log=proxy.log,
                waker=waker,
            )
            for kind in store.calls
        ]
        feeds[0].retry_backoff, feeds[1].retry_backoff = 0.05, 500.0
        tasks = [asyncio.create_task(feed.run()) for feed in feeds]
        await wait_until(lambda: store.calls["second"] == 1)
        store.unavailable = False
        await wait_until(lambda: proxy.lines.count(("store", "regained")) == 2)
        assert store.calls["second"] == 2
        for task in tasks:
            task.cancel()

    asyncio.run(main())


def test_invalid_configuration_or_entry_is_ignored():
    proxy = ProxyDouble()
    broken = store_module.StoredObject(name="main", revision=3, spec={"routes": []})
    ConfigHandler(proxy=proxy).on_list([broken])
    handler = UpstreamHandler(store=None, log=proxy.log)
    handler.proxy = proxy
    good = store_module.StoredObject(name="i-1", revision=1, spec=entry())
    handler.on_list([good, store_module.StoredObject(name="x", revision=2, spec={})])
    assert proxy.versions == []
    assert set(proxy.members) == {"i-1"}
    assert ("store", "unusable configuration") in proxy.lines
    assert ("store", "unusable entry") in proxy.lines


def test_lease_is_acquired_by_only_one_daemon():
    async def main(object_store, client):
        leases = StoreLeases(store=client)
        seen = await leases.read("g")
        assert (seen.holder, seen.token) == ("", 0)
        mine = await leases.acquire("g", "d1", seen)
        assert (mine.holder, mine.token) == ("d1", 1)
        assert await leases.acquire("g", "d2", seen) is None
        next_one = await leases.acquire("g", "d2", await leases.read("g"))
        assert next_one.token == 2

    with_store(main)


def test_late_commands_stay_in_the_lease_under_its_next_holder():
    """Guards against a takeover that relies on a pause which a late command may end."""

    async def main(object_store, client):
        leases = StoreLeases(store=client)
        mine = await leases.acquire("g", "d1", await leases.read("g"))
        resuming = replace(mine, resumes={"u2": 1})
        noted = await leases.update("g", resuming)
        assert await leases.update("g", resuming) is None
        assert noted.resumes == {"u2": 1}
        settled = await leases.settle("g", noted)
        assert settled.settled and settled.resumes == {"u2": 1}
        taken = await leases.acquire("g", "d2", settled)
        assert (taken.token, taken.resumes) == (2, {"u2": 1})
        assert await leases.read("g") == taken

    with_store(main)


def test_recorded_members_are_loaded_only_from_the_first_list():
    async def main(object_store, client):
        records = StoreRecords(store=client, kind="gypsumhitch")
        member = Member(id="u", group="g", address="x:1", domain="a", slots=5, joined=3)
        await records.save("g", [member])
        await records.save("g", [member, replace(member, id="v")])
        objects, _ = await client.list_objects("gypsumhitch")
        proxy = SystemProxyDouble()
        handler = SystemObjectHandler(proxy=proxy, own_name="d")
        handler.on_list(objects)
        assert [item.id for item in proxy.recorded_members["g"]] == ["u", "v"]
        assert proxy.recorded_members["g"][0] == member
        proxy.recorded_members.clear()
        handler.on_list(objects)
        assert proxy.recorded_members == {}
        assert proxy.recorder.recorded["g"] == {("u", "x:1"), ("v", "x:1")}

    with_store(main)


def test_invalid_member_record_is_ignored():
    proxy = SystemProxyDouble()
    handler = SystemObjectHandler(proxy=proxy, own_name="d")
    spec = {"members": [{"id": "u"}]}
    handler.on_list([StoredObject(name="members.g", revision=1, spec=spec)])
    handler.on_list([StoredObject(name="members.g", revision=1, spec={})])
    assert proxy.recorded_members == {}
    assert proxy.lines == [("store", "unusable record")] * 2


def test_unanswered_acquire_raises_lease_error():
    async def main(object_store, client):
        leases = StoreLeases(store=client)
        object_store.lose = 1
        with pytest.raises(LeaseError):
            await leases.acquire("g", "d1", await leases.read("g"))
        assert (await leases.read("g")).holder == "d1"

    with_store(main)


def test_promotion_requests_carry_holder_and_token():
    async def main(object_store, client):
        orders = []

        def promote(group, upstream, token):
            orders.append((group, upstream, token))
            return token > 1

        object_store.promote = promote
        promoter = PlatformPromoter(address=client.address)
        assert await promoter.promote("g", "u", "d", 1) is PromoteOutcome.REFUSED
        assert await promoter.promote("g", "u", "d", 2) is PromoteOutcome.ACCEPTED
        object_store.refuse = 503
        assert await promoter.promote("g", "u", "d", 3) is PromoteOutcome.NOT_DONE
        assert orders == [("g", "u", 1), ("g", "u", 2)]

    with_store(main)


def test_first_watch_after_a_failure_is_short():
    """Guards against a configuration that takes effect seconds late.

    A long watch that was opened while the store was unresponsive was lost, but was
    waited for until its end.
    """

    class SilentStore:
        """Fails the first watch only; records the requested waits."""

        def __init__(self):
            self.waits = []

        async def watch(self, kind, revision, *, wait_ms):
            """Record the wait; raise on the first call."""
            self.waits.append(wait_ms)
            if len(self.waits) == 1:
                raise StoreError("silent", step="watch", peer="store")
            return [], revision

    async def main():
        store = SilentStore()
        proxy = ProxyDouble()
        feed = Feed(
            store=store,
            kind="config",
            on_list=None,
            on_change=None,
            log=proxy.log,
            waker=Waker(),
        )
        feed.revision = 1
        task = asyncio.create_task(feed.run())
        await wait_until(lambda: len(store.waits) >= 3)
        task.cancel()
        assert store.waits[0] == store.waits[2] == store_module.WATCH_MS
        assert store.waits[1] == store_module.SHORT_WATCH_MS

    asyncio.run(main())


class PageStore(Store):
    """A store client that returns the given response bodies in turn."""

    def __init__(self, *pages):
        super().__init__(address="127.0.0.1:1")
        self.pages = list(pages)

    async def call(self, step, kind, **options):
        """Return the next response body."""
        return self.pages.pop(0)


def listed(name):
    """Return a list item at revision 1 with an empty spec."""
    return {"meta": {"name": name, "revision": 1}, "spec": {}}


def test_malformed_list_items_are_skipped():
    """Guards against losing all upstreams because of one malformed entry.

    An object without a name aborted the decoding of the whole list.
    """
    page = {"items": [listed("a"), {"meta": 3}, None, listed("b")], "storeRevision": 7}
    objects, revision = asyncio.run(PageStore(page).list_objects("servers"))
    assert ([obj.name for obj in objects], revision) == (["a", "b"], 7)


def test_page_without_a_continuation_name_raises_store_error():
    page = {"items": [{"meta": 3}], "storeRevision": 7, "more": True}
    with pytest.raises(StoreError):
        asyncio.run(PageStore(page, page).list_objects("servers"))


@pytest.mark.parametrize("page", [{}, {"items": 3, "storeRevision": 7}, {"items": []}])
def test_malformed_list_response_raises_store_error(page):
    with pytest.raises(StoreError):
        asyncio.run(PageStore(page).list_objects("servers"))


def test_malformed_watch_events_are_skipped():
    events = [3, {"object": listed("a"), "deleted": False}, {"object": None}]
    page = {"events": events, "storeRevision": 8}
    changes, revision = asyncio.run(PageStore(page).watch("servers", 7))
    assert ([change.obj.name for change in changes], revision) == (["a"], 8)


def test_invalid_utf8_affects_only_its_own_value():
    assert read_json(b'{"a": "\xff", "b": "x"}')["b"] == "x"


def test_entry_that_becomes_invalid_removes_its_upstream():
    proxy = ProxyDouble()
    handler = UpstreamHandler(store=None, log=proxy.log)
    handler.proxy = proxy
    good = StoredObject(name="i-1", revision=1, spec=entry())
    handler.on_change(store_module.Change(obj=good, deleted=False))
    bad = StoredObject(name="i-1", revision=2, spec={**entry(), "capacity": "5"})
    for _ in range(3):
        handler.on_change(store_module.Change(obj=bad, deleted=False))
    assert proxy.members == {}
    assert proxy.lines.count(("store", "unusable entry")) == 1


class FollowerDouble:
    """Returns the given updates in turn, then has no confirmed watcher."""

    def __init__(self, *updates):
        self.waiting = list(updates)
        self.known = []
        self.daemons = self

    def watches(self):
        """Tell whether this daemon is a watcher: never."""
        return False

    def needs_watcher(self):
        """Tell whether this daemon depends on a watcher: always."""
        return True

    def confirmed_at(self, kind):
        """No time is known."""

    def has_updates(self, kind):
        """Tell whether updates are pending."""
        return bool(self.waiting)

    def has_whole_list(self, kind):
        """Tell whether the next update is a whole list."""
        return bool(self.waiting) and self.waiting[0].whole

    def is_up_to_date(self, kind):
        """Tell whether a watcher confirms that this daemon is up to date."""
        return bool(self.waiting)

    def behind(self, kind):
        """Tell whether the watcher has a newer revision: never."""
        return False

    async def next_update(self, kind, until):
        """Return the next update, or None."""
        return self.waiting.pop(0) if self.waiting else None

    def set_known_revision(self, kind, revision):
        """Record the revision that the feed has applied."""
        self.known.append(revision)

    def store_lost(self, kind):
        """Ignore that the store became unavailable."""

    def store_recovered(self, kind):
        """Ignore that the store is available again."""


def test_relayed_updates_are_applied_like_store_changes():
    def update(revision, names=(), removed=(), whole=False):
        changed = {
            name: {"name": name, "revision": revision, "spec": {}, "created": 1}
            for name in names
        }
        return FeedUpdate(
            feed="k",
            revision=revision,
            changed=changed,
            removed=removed,
            whole=whole,
        )

    async def main(object_store, client):
        object_store.put("k", "a", {})
        lists, changes = [], []
        follower = FollowerDouble(
            update(5, ["b"]), update(6, removed=("a",)), update(9, ["c"], whole=True)
        )
        feed = Feed(
            store=client,
            kind="k",
            on_list=lambda objects, revision: lists.append(
                [obj.name for obj in objects]
            ),
            on_change=lambda change: changes.append((change.obj.name, change.deleted)),
            log=lambda *args, **fields: None,
            waker=Waker(),
            follower=follower,
        )
        task = asyncio.create_task(feed.run())
        await wait_until(lambda: len(lists) == 2)
        task.cancel()
        assert lists == [["a"], ["c"]]
        assert changes == [("b", False), ("a", True)]
        assert follower.known == [1, 5, 6, 9]

    with_store(main)


def test_followers_call_an_unavailable_store_less_often():
    """Guards against the cost of a fleet's calls to an unavailable store.

    Without a confirmed watcher each daemon called for each kind every second, though
    its watchers relay the updates later.
    """

    class UnavailableStore:
        """Fails every watch; counts the calls."""

        calls = 0

        async def watch(self, kind, revision, *, wait_ms):
            """Count the call and raise."""
            self.calls += 1
            raise StoreError("unavailable", step="watch", peer="store")

    async def calls_in(seconds, follower, seed):
        store = UnavailableStore()
        feed = Feed(
            store=store,
            kind="k",
            on_list=None,
            on_change=None,
            log=lambda *args, **fields: None,
            waker=Waker(),
            follower=follower,
        )
        feed.revision = 1
        feed.rng = Random(seed)
        task = asyncio.create_task(feed.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return store.calls

    for seed in range(20):
        watcher = run(calls_in(30.0, None, seed))
        follower = run(calls_in(30.0, FollowerDouble(), seed))
        assert watcher > 18
        assert follower <= 12
        assert 2 * follower <= watcher


def test_new_watcher_relays_only_after_a_full_list():
    """Guards against followers that know only a part of the upstreams (one of thirty).

    A follower that became a watcher during its own watch relayed the change of that
    answer as if it continued a list that it had never relayed.
    """

    class Store:
        """Lists one object; its watch changes another and makes this a watcher."""

        def __init__(self, follower):
            self.follower = follower

        async def list_objects(self, kind):
            """Return the whole list."""
            return [StoredObject(name="a", revision=1, spec={})], 1

        async def watch(self, kind, revision, *, wait_ms):
            """Make this daemon a watcher and return one change."""
            self.follower.watcher = True
            obj = StoredObject(name="b", revision=2, spec={})
            return [store_module.Change(obj=obj, deleted=False)], 2

    class BecomesWatcher(FollowerDouble):
        """A follower that can become a watcher."""

        watcher = False

        def watches(self):
            """Tell whether this daemon is a watcher now."""
            return self.watcher

    async def main():
        follower = BecomesWatcher()
        relay = Relay(clock=time.monotonic, in_touch_for=5.0, watches=lambda: True)
        feed = Feed(
            store=Store(follower),
            kind="k",
            on_list=lambda objects, revision: None,
            on_change=lambda change: None,
            log=lambda *args, **fields: None,
            waker=Waker(),
            relay=relay,
            follower=follower,
        )
        await feed.poll_store()
        await feed.poll_store()
        assert not relay.has_feed("k")
        await feed.poll_store()
        assert set(relay.feeds["k"].objects) == {"a"}

    asyncio.run(main())
