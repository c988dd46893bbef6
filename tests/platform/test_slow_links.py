"""Large answers of the store over slow links, as feeds and the client meet them."""

import asyncio

import pytest

from gypsum_platform import exchange as exchange_module
from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.object_handlers import ConfigHandler
from gypsum_platform.store import Store, StoreError
from tests.platform.test_store import ProxyDouble, config, until, with_store

# A configuration of some 1,600 routes, bytes, and a link that carries it in half a
# second, bytes a second.
LARGE = 290_000
LINK = 600_000


def large_config(version):
    """A configuration that takes a slow link a while."""
    return {**config(version), "notes": "x" * LARGE}


def config_feed(client, proxy):
    """A feed of the configuration without a watcher to follow."""
    handler = ConfigHandler(proxy=proxy)
    return Feed(
        store=client,
        kind="config",
        on_list=handler.on_list,
        on_change=handler.on_change,
        log=proxy.log,
        waker=Waker(),
    )


def test_a_daemon_that_missed_several_large_changes_catches_up():
    """Seven of 74 daemons served by a configuration that was 13 s old, one of them to
    the end of the day. The store had turned them away for nine seconds, while three
    changes of 290 kB each were made. After a failed call a watch was allowed 1.1 s in
    all, and its answer carries every change whole: 870 kB, 1.5 s on their links. It was
    given up in the middle and begun anew, and each further change made it longer:
    `store: still lost kind=config error="Timeout during request" received=655266
    revision=94 failures=14`, eleven seconds after the store was back.
    """

    async def main(stand_in, client):
        proxy = ProxyDouble()
        stand_in.put("config", "main", config(4))
        task = asyncio.create_task(config_feed(client, proxy).run())
        await until(lambda: proxy.versions == [4])
        stand_in.refuse = 503
        stand_in.put("config", "main", large_config(10))
        await until(lambda: ("store", "lost") in proxy.lines)
        for version in (12, 16, 18):
            stand_in.put("config", "main", large_config(version))
        stand_in.rate = LINK
        stand_in.refuse = 0
        await until(lambda: proxy.versions[-1] == 18)
        task.cancel()

    with_store(main)


def test_an_answer_that_keeps_coming_is_waited_for():
    """Symptom: a daemon never reads a list, its link is busy all the time.

    Sequence: the list takes longer than a call may take, again and again. Cause: the
    whole answer had one deadline, whether bytes came or not.
    """

    async def main(stand_in, client):
        stand_in.put("config", "main", large_config(1))
        stand_in.rate = LINK
        impatient = Store(address=client.address, timeout=0.1)
        objects, _ = await impatient.list_objects("config")
        assert len(objects[0].spec["notes"]) == LARGE

    with_store(main)


def test_an_answer_that_stops_in_the_middle_is_given_up(monkeypatch):
    """Symptom: a daemon waits for the rest of an answer that will never come.

    Sequence: the connection goes silent in the middle of an answer. Cause: only the
    first byte was waited for with a limit.
    """
    monkeypatch.setattr(exchange_module, "IDLE_TIMEOUT", 0.2)

    async def main(stand_in, client):
        stand_in.put("config", "main", large_config(1))
        stand_in.stall_after = 32 << 10
        with pytest.raises(StoreError) as caught:
            await client.list_objects("config")
        assert 0 < caught.value.received < LARGE

    with_store(main)


def test_a_history_that_outweighs_the_state_is_not_read():
    """Symptom: a daemon is further behind with each change that comes.

    Sequence: changes of a large object come faster than the link carries them. Cause:
    each was read in its turn, though the last one is all that counts.
    """

    async def main(stand_in, client):
        proxy = ProxyDouble()
        stand_in.put("config", "main", large_config(1))
        feed = config_feed(client, proxy)
        await feed.poll_store()
        stand_in.rate = LINK
        for version in range(2, 14):
            stand_in.put("config", "main", large_config(version))
        task = asyncio.create_task(feed.run())
        await until(lambda: proxy.versions[-1] == 13)
        task.cancel()

    with_store(main)
