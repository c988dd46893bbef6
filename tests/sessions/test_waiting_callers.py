"""Callers that connect before a starting daemon knows its lists.

The load: all daemons have lost power, and callers connect while each reads its lists.
"""

import asyncio

import pytest

from gypsum_platform.object_handlers import DAEMON_PREFIX, SystemObjectHandler
from gypsum_platform.store import StoredObject
from gypsum_sessions.callers.caller import LISTS_TIMEOUT, CallerConnection
from gypsum_sessions.daemons.registry import DaemonEntry
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


class Sent:
    """Records what a caller is sent, and when."""

    def __init__(self, *, loop):
        self.loop = loop
        self.greeted_at = None
        self.final = None

    def send_greeting(self):
        """Record the greeting."""
        self.greeted_at = self.loop.time()

    def send_final(self, refusal, detail):
        """Record a refusal that ends the session."""
        self.final = (refusal, detail)

    def close(self):
        """Nothing to close."""


def starting_proxy(rig):
    """Return a daemon that has the configuration, but no list of daemons."""
    proxy = rig.proxy
    proxy.daemons.listed = False
    return proxy


def connect(proxy):
    """Return what a caller that opens a session is sent."""
    sent = Sent(loop=asyncio.get_running_loop())
    caller = CallerConnection(proxy=proxy, transport=sent)
    caller.on_startup("primary")
    caller.start()
    return sent


@pytest.mark.parametrize("order", [("catalog", "daemons"), ("daemons", "catalog")])
def test_callers_are_let_in_as_soon_as_both_lists_are_known(order):
    """Guards against a first statement that is refused for an unknown group.

    Callers were let in with the configuration, up to 50 ms after it was in force, and
    the list of daemons came later.
    """

    async def main():
        rig = Rig()
        proxy, configuration = starting_proxy(rig), rig.proxy.catalog.current
        proxy.catalog.current = None
        take = {
            "catalog": lambda: proxy.offer_catalog(configuration, "test"),
            "daemons": lambda: proxy.update_daemons([DaemonEntry(id="d0", domain="a")]),
        }
        sent = connect(proxy)
        await asyncio.sleep(0.103)
        take[order[0]]()
        await asyncio.sleep(0.1)
        assert sent.greeted_at is None
        take[order[1]]()
        known_at = rig.loop.time()
        await asyncio.sleep(0.01)
        assert sent.greeted_at - known_at < 0.001
        assert (await rig.caller("primary").send("READ a")).ok

    run(main())


def test_callers_are_let_in_without_a_list_of_daemons_after_a_while():
    """Guards against callers that give up while the store serves one list only."""

    async def main():
        sent = connect(starting_proxy(Rig()))
        await asyncio.sleep(LISTS_TIMEOUT + 0.11)
        assert sent.greeted_at == pytest.approx(LISTS_TIMEOUT, abs=0.11)

    run(main())


def test_a_daemon_that_rejoins_takes_up_its_groups_with_the_list():
    """Guards against a quarter of a second without a search for the primary.

    The list was applied before the daemon knew that it had been registered before, and
    it took up its groups with the next maintenance pass.
    """

    async def main():
        rig = Rig()
        proxy = starting_proxy(rig)
        proxy.daemons.rejoined = False
        proxy.hosting.settled = False
        proxy.hosting.release("db")
        handler = SystemObjectHandler(
            proxy=proxy,
            own_name=proxy.name,
            on_rejoined=proxy.daemons.mark_rejoined,
        )
        own = {"domain": "a", "link": "d0"}
        name = DAEMON_PREFIX + proxy.name
        handler.on_list([StoredObject(name=name, revision=7, spec=own)])
        assert list(proxy.groups) == ["db"]

    run(main())
