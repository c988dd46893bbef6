"""Entries of daemons in the store: written, updated, removed if a daemon is dead."""

import asyncio

from gypsum_platform.feeds import Waker
from gypsum_platform.leases import SYSTEM_KIND
from gypsum_platform.object_handlers import LINK_KEY, SystemObjectHandler
from gypsum_platform.registrar import Registrar
from gypsum_platform.store import Store
from gypsum_sessions.daemons.peers import PeerLost
from gypsum_sessions.daemons.registry import DaemonEntry
from tests.platform.test_store import SystemProxyDouble
from tests.standins.objectstore import ObjectStore

OWN = DaemonEntry(id="d1", domain="a", link="127.0.0.1:5")


class PeersDouble:
    """Links to daemons of which some answer."""

    def __init__(self, *, answering=()):
        self.answering = answering
        self.removed = []

    async def link(self, name, timeout):
        """Return without error if the daemon answers."""
        if name not in self.answering:
            raise PeerLost("no answer", step="dial", peer=name, sent=False)

    def remove(self, name):
        """Record the removal."""
        self.removed.append(name)


def with_registrar(main, answering=()):
    """Run a test with a registrar over a store of its own."""

    async def body():
        object_store = ObjectStore()
        client = Store(address=object_store.listen())
        proxy = SystemProxyDouble()
        proxy.peers = PeersDouble(answering=answering)
        handler = SystemObjectHandler(proxy=proxy, own_name="d1")
        registrar = Registrar(
            store=client, own=OWN, handler=handler, log=proxy.log, waker=Waker()
        )
        await main(object_store, client, registrar, proxy)

    asyncio.run(body())


async def entries(client):
    """Names and contents of the system's own objects."""
    objects, _ = await client.list_objects(SYSTEM_KIND)
    return {obj.name: obj.spec for obj in objects}


def test_a_daemon_registers_and_the_first_one_makes_the_key():
    async def main(object_store, client, registrar, proxy):
        await registrar.write_entry()
        await registrar.write_key()
        found = await entries(client)
        assert found["daemon.d1"] == {"domain": "a", "link": "127.0.0.1:5"}
        key = found["links"]["key"]
        await registrar.write_key()
        assert (await entries(client))["links"]["key"] == key

    with_registrar(main)


def test_the_entry_of_an_earlier_start_is_corrected():
    async def main(object_store, client, registrar, proxy):
        object_store.put(SYSTEM_KIND, "daemon.d1", {"domain": "a", "link": "old:1"})
        await registrar.write_entry()
        assert (await entries(client))["daemon.d1"]["link"] == "127.0.0.1:5"

    with_registrar(main)


async def list_daemon(object_store, client, registrar, name):
    """A daemon is registered and listed."""
    object_store.put(SYSTEM_KIND, f"daemon.{name}", {"domain": "a", "link": "x:1"})
    objects, _ = await client.list_objects(SYSTEM_KIND)
    registrar.handler.on_list(objects)


def test_a_daemon_that_does_not_answer_is_removed():
    async def main(object_store, client, registrar, proxy):
        await list_daemon(object_store, client, registrar, "d2")
        await registrar.remove_if_unreachable("d2")
        assert "daemon.d2" not in await entries(client)

    with_registrar(main)


def test_a_daemon_that_answers_once_more_is_kept():
    """Guards against owners that change though no daemon is dead.

    The time since the last failed connection counted as unreachable, also if no daemon
    had tried again since the restart.
    """

    async def main(object_store, client, registrar, proxy):
        await list_daemon(object_store, client, registrar, "d2")
        await registrar.remove_if_unreachable("d2")
        assert "daemon.d2" in await entries(client)

    with_registrar(main, answering=("d2",))


def test_an_entry_that_has_changed_meanwhile_is_kept():
    async def main(object_store, client, registrar, proxy):
        await list_daemon(object_store, client, registrar, "d2")
        object_store.put(SYSTEM_KIND, "daemon.d2", {"domain": "a", "link": "new:1"})
        await registrar.remove_if_unreachable("d2")
        assert "daemon.d2" in await entries(client)

    with_registrar(main)


def test_a_restarted_daemon_writes_no_existing_object():
    """Guards against two needless calls by each daemon after a power loss of all.

    Each created its entry and the link key, which existed, before it read the list.
    """

    async def main(object_store, client, registrar, proxy):
        calls = []
        registrar.on_rejoined = lambda: calls.append(True)
        object_store.put(SYSTEM_KIND, LINK_KEY, {"key": "k"})
        entry = {"domain": OWN.domain, "link": OWN.link}
        object_store.put(SYSTEM_KIND, "daemon.d1", entry)
        running = asyncio.create_task(registrar.run())
        await list_daemon(object_store, client, registrar, "d2")
        await asyncio.sleep(1.2)
        running.cancel()
        assert [method for method, _ in object_store.calls if method != "GET"] == []
        assert calls

    with_registrar(main)


def test_a_daemon_registers_without_a_list():
    async def main(object_store, client, registrar, proxy):
        running = asyncio.create_task(registrar.run())
        await asyncio.sleep(1.2)
        running.cancel()
        assert set(await entries(client)) == {"daemon.d1", LINK_KEY}

    with_registrar(main)


def test_the_first_list_shows_that_a_daemon_has_rejoined():
    """Guards against a restarted owner that does not serve its groups in time.

    If it starts during an outage of the store, the list arrives up to a second before
    the registrar's next call, and only the registrar checked for an earlier entry.
    """

    async def main(object_store, client, registrar, proxy):
        calls, handler = [], registrar.handler
        handler.on_rejoined = lambda: calls.append(True)
        await list_daemon(object_store, client, registrar, "d1")
        assert calls == [True]
        objects, _ = await client.list_objects(SYSTEM_KIND)
        handler.on_list(objects)
        assert calls == [True]

    with_registrar(main)


def test_a_newly_registered_daemon_has_not_rejoined():
    async def main(object_store, client, registrar, proxy):
        calls, handler = [], registrar.handler
        handler.on_rejoined = lambda: calls.append(True)
        await registrar.write_entry()
        objects, _ = await client.list_objects(SYSTEM_KIND)
        handler.on_list(objects)
        assert calls == []

    with_registrar(main)


def test_an_entry_and_a_key_that_the_store_lost_are_rewritten():
    """Guards against a daemon unknown to others after the store was restored."""

    async def main(object_store, client, registrar, proxy):
        empty = object_store.copy()
        running = asyncio.create_task(registrar.run())
        await asyncio.sleep(1.2)
        await list_daemon(object_store, client, registrar, "d2")
        key = registrar.handler.key
        object_store.return_from(empty)
        objects, _ = await client.list_objects(SYSTEM_KIND)
        registrar.handler.on_list(objects)
        await asyncio.sleep(1.0)
        running.cancel()
        found = await entries(client)
        assert found["daemon.d1"] == {"domain": OWN.domain, "link": OWN.link}
        assert found[LINK_KEY] == {"key": key}

    with_registrar(main)
