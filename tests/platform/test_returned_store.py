"""The store's client while the store is restored from an older copy."""

import asyncio

import pytest

from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.leases import StoreLeases
from gypsum_platform.store import Conflict, HistoryGone, Store, StoreError
from gypsum_policy.revisions import era_of, make_revision, number_of
from gypsum_sessions.interfaces import LeaseError
from tests.standins.objectstore import ObjectStore

KIND = "kind"


def with_store(main):
    """Run a test against a store of its own that has eras."""

    async def body():
        object_store = ObjectStore()
        object_store.era = 1
        await main(object_store, Store(address=object_store.listen()))

    asyncio.run(body())


def test_a_watch_from_a_lost_era_fails():
    """Guards against missed changes with revisions below one of the lost era."""

    async def main(object_store, client):
        object_store.put(KIND, "a", {"x": 1})
        copy = object_store.copy()
        object_store.put(KIND, "a", {"x": 2})
        _, known = await client.list_objects(KIND)
        object_store.return_from(copy)
        for number in range(5):
            object_store.put(KIND, f"n{number}", {})
        with pytest.raises(HistoryGone):
            await client.watch(KIND, known, wait_ms=0)
        objects, revision = await client.list_objects(KIND)
        assert {obj.name for obj in objects} == {"a", *(f"n{n}" for n in range(5))}
        assert (era_of(revision), number_of(revision)) == (2, 6)
        assert revision > known

    with_store(main)


def test_a_watch_pending_during_the_restore_fails():
    """Guards against changes of the new era that count as of the old one."""

    async def main(object_store, client):
        object_store.put(KIND, "a", {})
        copy = object_store.copy()
        for number in range(3):
            object_store.put(KIND, f"lost{number}", {})
        _, known = await client.list_objects(KIND)
        watch = asyncio.create_task(client.watch(KIND, known, wait_ms=3000))
        await asyncio.sleep(0.1)
        object_store.return_from(copy)
        for number in range(4):
            object_store.put(KIND, f"n{number}", {})
        with pytest.raises(HistoryGone):
            await watch

    with_store(main)


def test_a_condition_on_a_revision_of_a_lost_era_fails():
    """Guards against overwriting another state with the same revision number."""

    async def main(object_store, client):
        copy = object_store.copy()
        made = await client.create(KIND, "a", {"by": "us"})
        object_store.return_from(copy)
        object_store.put(KIND, "a", {"by": "others"})
        await client.list_objects(KIND)
        with pytest.raises(Conflict):
            await client.replace(KIND, "a", {"by": "us"}, revision=made.revision)
        with pytest.raises(Conflict):
            await client.delete(KIND, "a", revision=made.revision)
        assert object_store.kinds[KIND]["a"]["spec"] == {"by": "others"}

    with_store(main)


def test_a_conditional_write_across_a_restore_fails():
    """Guards against a successful write over a state that was never read."""

    async def main(object_store, client):
        copy = object_store.copy()
        made = await client.create(KIND, "a", {"by": "us"})
        object_store.return_from(copy)
        object_store.put(KIND, "a", {"by": "others"})
        with pytest.raises(StoreError):
            await client.replace(KIND, "a", {"by": "us"}, revision=made.revision)

    with_store(main)


@pytest.mark.parametrize("era", [1, 0])
def test_an_answer_of_an_earlier_era_or_without_one_is_rejected(era):
    """Guards against a late answer that restores a lost state."""

    async def main(object_store, client):
        object_store.era = 2
        object_store.put(KIND, "a", {})
        _, known = await client.list_objects(KIND)
        object_store.era = era
        for call in (
            client.list_objects(KIND),
            client.get_object(KIND, "a"),
            client.watch(KIND, known, wait_ms=0),
            client.create(KIND, "b", {}),
        ):
            with pytest.raises(StoreError):
                await call
        object_store.era = 2
        assert (await client.list_objects(KIND))[1] >= known

    with_store(main)


def test_an_era_that_a_revision_shows_counts_before_the_store_names_it():
    """Guards against a list of the old era after updates of the new one."""

    async def main(object_store, client):
        object_store.put(KIND, "a", {})
        await client.list_objects(KIND)
        object_store.era = 2
        other = Store(address=client.address)
        _, known = await other.list_objects(KIND)
        object_store.era = 1
        with pytest.raises(StoreError):
            await client.watch(KIND, known, wait_ms=0)
        with pytest.raises(StoreError):
            await client.list_objects(KIND)

    with_store(main)


def test_a_token_of_a_lost_lease_is_not_reused():
    """Guards against two daemons that promote under the same fencing token."""

    async def main(object_store, client):
        leases = StoreLeases(store=client)
        copy = object_store.copy()
        lost = await leases.acquire("g", "d1", await leases.read("g"))
        object_store.return_from(copy)
        other = StoreLeases(store=Store(address=client.address))
        found = await other.acquire("g", "d2", await other.read("g"))
        assert found.token > lost.token
        again = await other.acquire("g", "d3", await other.read("g"))
        assert again.token == found.token + 1

    with_store(main)


def test_a_lease_acquired_across_a_restore_is_not_held():
    """Guards against a token computed in one era and acquired in another."""

    async def main(object_store, client):
        leases = StoreLeases(store=client)
        copy = object_store.copy()
        seen = await leases.read("g")
        object_store.return_from(copy)
        with pytest.raises(LeaseError):
            await leases.acquire("g", "d1", seen)
        found = await leases.acquire("g", "d1", await leases.read("g"))
        assert era_of(found.revision) == 2

    with_store(main)


def test_a_pending_watch_ends_once_another_call_sees_the_new_era():
    """Guards against a rarely changed kind that stays at the lost era for seconds."""

    async def main(object_store, client):
        object_store.put(KIND, "a", {})
        copy = object_store.copy()
        _, known = await client.list_objects(KIND)
        watch = asyncio.create_task(client.watch(KIND, known, wait_ms=4000))
        await asyncio.sleep(0.1)
        object_store.return_from(copy)
        await client.list_objects("other")
        with pytest.raises(HistoryGone):
            async with asyncio.timeout(0.5):
                await watch

    with_store(main)


class ListDouble:
    """A store that answers lists of one revision."""

    def __init__(self, revision):
        self.revision = revision

    async def list_objects(self, kind):
        """An empty list."""
        return [], self.revision


def test_a_list_of_an_earlier_era_than_the_updates_is_rejected():
    """Guards against a late list that restores a lost state."""
    taken = []
    feed = Feed(
        store=ListDouble(make_revision(1, 99)),
        kind=KIND,
        on_list=lambda objects, revision: taken.append(objects),
        on_change=None,
        log=lambda *args, **fields: None,
        waker=Waker(),
    )
    feed.revision, feed.list_required = make_revision(2, 3), True
    with pytest.raises(StoreError):
        asyncio.run(feed.poll_store())
    assert taken == []
