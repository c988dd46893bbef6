"""Large answers of the store over slow links."""

import asyncio

import pytest

from gypsum_platform import exchange as exchange_module
from gypsum_platform.feeds import Feed, Waker
from gypsum_platform.object_handlers import ConfigHandler
from gypsum_platform.store import Store, StoreError
from tests.platform.test_store import ProxyDouble, config, wait_until, with_store

# A configuration of some 1,600 routes, bytes, and a link that transfers it in half
# a second, bytes a second.
LARGE = 290_000
LINK = 600_000


def large_config(version):
    """A configuration whose transfer over a slow link takes long."""
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
    """Guards against a configuration that stays out of date after an outage.

    The store rejected 7 of 74 daemons for nine seconds, while three changes of 290 kB
    each were made. A watch after a failed call had 1.1 s in all, but the three whole
    objects of its answer, 870 kB, took 1.5 s on these links. It was cancelled and
    repeated, and each further change made it longer: eleven seconds after the outage
    the log still had `store: still lost kind=config error="Timeout during request"
    received=655266 revision=94 failures=14`. The configuration was 13 s old, and one
    daemon never caught up.
    """

    async def main(object_store, client):
        proxy = ProxyDouble()
        object_store.put("config", "main", config(4))
        task = asyncio.create_task(config_feed(client, proxy).run())
        await wait_until(lambda: proxy.versions == [4])
        object_store.refuse = 503
        object_store.put("config", "main", large_config(10))
        await wait_until(lambda: ("store", "lost") in proxy.lines)
        for version in (12, 16, 18):
            object_store.put("config", "main", large_config(version))
        object_store.rate = LINK
        object_store.refuse = 0
        await wait_until(lambda: proxy.versions[-1] == 18)
        task.cancel()

    with_store(main)


def test_an_answer_that_keeps_arriving_is_not_cancelled():
    """Guards against a list that is never read while its link is always busy.

    The whole answer had one deadline, whether bytes arrived or not, so a list that took
    longer was cancelled and requested again each time.
    """

    async def main(object_store, client):
        object_store.put("config", "main", large_config(1))
        object_store.rate = LINK
        short_timeout_client = Store(address=client.address, timeout=0.1)
        objects, _ = await short_timeout_client.list_objects("config")
        assert len(objects[0].spec["notes"]) == LARGE

    with_store(main)


def test_an_answer_that_stalls_is_cancelled(monkeypatch):
    """Guards against waiting forever for the rest of an answer.

    Only the first byte had a timeout, but a connection can stall during an answer.
    """
    monkeypatch.setattr(exchange_module, "IDLE_TIMEOUT", 0.2)

    async def main(object_store, client):
        object_store.put("config", "main", large_config(1))
        object_store.stall_after = 32 << 10
        with pytest.raises(StoreError) as caught:
            await client.list_objects("config")
        assert 0 < caught.value.received < LARGE

    with_store(main)


def test_changes_larger_than_the_list_are_not_read():
    """Guards against a daemon that is further behind after each change.

    Changes of a large object were made faster than the link transferred them, and each
    was read, though only the last one matters.
    """

    async def main(object_store, client):
        proxy = ProxyDouble()
        object_store.put("config", "main", large_config(1))
        feed = config_feed(client, proxy)
        await feed.poll_store()
        object_store.rate = LINK
        for version in range(2, 14):
            object_store.put("config", "main", large_config(version))
        task = asyncio.create_task(feed.run())
        await wait_until(lambda: proxy.versions[-1] == 13)
        task.cancel()

    with_store(main)
