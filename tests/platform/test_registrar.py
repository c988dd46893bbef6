"""Entries of daemons in the store: written, corrected, removed when one is gone."""

import asyncio

from gypsum_platform.feeds import Waker
from gypsum_platform.leases import SYSTEM_KIND
from gypsum_platform.object_handlers import LINK_KEY, SystemObjectHandler
from gypsum_platform.registrar import Registrar
from gypsum_platform.store import Store
from gypsum_sessions.daemons.peers import PeerLost
from gypsum_sessions.daemons.registry import DaemonEntry
from tests.platform.test_store import RecallDouble
from tests.standins.objectstore import ObjectStore

OWN = DaemonEntry(id="d1", domain="a", link="127.0.0.1:5")


class PeersDouble:
    """Links to daemons of which some answer."""

    def __init__(self, *, answering=()):
        self.answering = answering
        self.forgotten = []

    async def link(self, name, timeout):
        """A link, if the daemon answers."""
        if name not in self.answering:
            raise PeerLost("no answer", step="dial", peer=name, sent=False)

    def remove(self, name):
        """The daemon is of no interest any more."""
        self.forgotten.append(name)


def with_registrar(main, answering=()):
    """Run a test with a registrar over a store of its own."""

    async def body():
        stand_in = ObjectStore()
        client = Store(address=stand_in.listen())
        proxy = RecallDouble()
        proxy.peers = PeersDouble(answering=answering)
        handler = SystemObjectHandler(proxy=proxy, own_name="d1")
        registrar = Registrar(
            store=client, own=OWN, handler=handler, log=proxy.log, waker=Waker()
        )
        await main(stand_in, client, registrar, proxy)

    asyncio.run(body())


async def entries(client):
    """Names and contents of the system's own objects."""
    objects, _ = await client.list_objects(SYSTEM_KIND)
    return {obj.name: obj.spec for obj in objects}


def test_a_daemon_registers_and_the_first_one_makes_the_key():
    async def main(stand_in, client, registrar, proxy):
        await registrar.write_entry()
        await registrar.write_key()
        found = await entries(client)
        assert found["daemon.d1"] == {"domain": "a", "link": "127.0.0.1:5"}
        key = found["links"]["key"]
        await registrar.write_key()
        assert (await entries(client))["links"]["key"] == key

    with_registrar(main)


def test_the_entry_of_an_earlier_start_is_corrected():
    async def main(stand_in, client, registrar, proxy):
        stand_in.put(SYSTEM_KIND, "daemon.d1", {"domain": "a", "link": "old:1"})
        await registrar.write_entry()
        assert (await entries(client))["daemon.d1"]["link"] == "127.0.0.1:5"

    with_registrar(main)


async def list_daemon(stand_in, client, registrar, name):
    """A daemon is registered and listed."""
    stand_in.put(SYSTEM_KIND, f"daemon.{name}", {"domain": "a", "link": "x:1"})
    objects, _ = await client.list_objects(SYSTEM_KIND)
    registrar.handler.on_list(objects)


def test_a_daemon_that_does_not_answer_is_removed():
    async def main(stand_in, client, registrar, proxy):
        await list_daemon(stand_in, client, registrar, "d2")
        await registrar.remove_if_unreachable("d2")
        assert "daemon.d2" not in await entries(client)

    with_registrar(main)


def test_a_daemon_that_answers_once_more_is_kept():
    """Symptom: the owners of all groups change though no daemon is gone.

    Sequence: a daemon was restarting when somebody needed it, and nobody has since.
    Cause: the time since the failure counted as silence.
    """

    async def main(stand_in, client, registrar, proxy):
        await list_daemon(stand_in, client, registrar, "d2")
        await registrar.remove_if_unreachable("d2")
        assert "daemon.d2" in await entries(client)

    with_registrar(main, answering=("d2",))


def test_an_entry_that_has_changed_meanwhile_is_kept():
    async def main(stand_in, client, registrar, proxy):
        await list_daemon(stand_in, client, registrar, "d2")
        stand_in.put(SYSTEM_KIND, "daemon.d2", {"domain": "a", "link": "new:1"})
        await registrar.remove_if_unreachable("d2")
        assert "daemon.d2" in await entries(client)

    with_registrar(main)


def test_a_daemon_that_comes_back_writes_nothing_that_is_there():
    """Symptom: after a power loss of all a fleet calls the store twice a daemon more.

    Sequence: each daemon creates its entry and the key of the links, and is told that
    both are there. Cause: they were written before the list was read.
    """

    async def main(stand_in, client, registrar, proxy):
        told = []
        registrar.on_rejoined = lambda: told.append(True)
        stand_in.put(SYSTEM_KIND, LINK_KEY, {"key": "k"})
        entry = {"domain": OWN.domain, "link": OWN.link}
        stand_in.put(SYSTEM_KIND, "daemon.d1", entry)
        running = asyncio.create_task(registrar.run())
        await list_daemon(stand_in, client, registrar, "d2")
        await asyncio.sleep(1.2)
        running.cancel()
        assert [method for method, _ in stand_in.calls if method != "GET"] == []
        assert told

    with_registrar(main)


def test_a_daemon_registers_though_no_list_comes():
    async def main(stand_in, client, registrar, proxy):
        running = asyncio.create_task(registrar.run())
        await asyncio.sleep(1.2)
        running.cancel()
        assert set(await entries(client)) == {"daemon.d1", LINK_KEY}

    with_registrar(main)


def test_the_first_list_tells_a_daemon_that_it_was_there_before():
    """Symptom: after an outage of the store a restarted owner leaves its groups alone.

    Sequence: it starts while the store is down; the list comes when that is back, and
    the registrar asks again only a second later. Cause: only the registrar looked.
    """

    async def main(stand_in, client, registrar, proxy):
        told, handler = [], registrar.handler
        handler.on_rejoined = lambda: told.append(True)
        await list_daemon(stand_in, client, registrar, "d1")
        assert told == [True]
        objects, _ = await client.list_objects(SYSTEM_KIND)
        handler.on_list(objects)
        assert told == [True]

    with_registrar(main)


def test_a_daemon_that_has_just_registered_was_not_there_before():
    async def main(stand_in, client, registrar, proxy):
        told, handler = [], registrar.handler
        handler.on_rejoined = lambda: told.append(True)
        await registrar.write_entry()
        objects, _ = await client.list_objects(SYSTEM_KIND)
        handler.on_list(objects)
        assert told == []

    with_registrar(main)


def test_an_entry_and_a_key_that_the_store_lost_are_written_again():
    """Guards against a daemon that nobody finds after the store has returned."""

    async def main(stand_in, client, registrar, proxy):
        empty = stand_in.copy()
        running = asyncio.create_task(registrar.run())
        await asyncio.sleep(1.2)
        await list_daemon(stand_in, client, registrar, "d2")
        key = registrar.handler.key
        stand_in.return_from(empty)
        objects, _ = await client.list_objects(SYSTEM_KIND)
        registrar.handler.on_list(objects)
        await asyncio.sleep(1.0)
        running.cancel()
        found = await entries(client)
        assert found["daemon.d1"] == {"domain": OWN.domain, "link": OWN.link}
        assert found[LINK_KEY] == {"key": key}

    with_registrar(main)
