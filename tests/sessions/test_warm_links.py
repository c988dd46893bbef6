"""Links to owners are opened before they are needed, if there are few owners."""

import asyncio

from gypsum_sessions.daemons import warmlinks
from gypsum_sessions.daemons.warmlinks import START_DELAY
from tests.sessions.owners import owners_rig
from tests.sessions.vclock import run

# Seconds in which all links are open: one is opened each quarter of a second.
SOON = START_DELAY + 2.0


def test_links_to_owners_are_open_before_the_first_statement():
    """Guards against first statements that take twice as long as later ones.

    Many daemons share little work, so each one often sends its first statement to an
    owner and waits for the link, if links are opened by statements only.
    """

    async def main():
        rig = await owners_rig()
        for proxy in rig.proxies:
            proxy.keep_running(proxy.warm_links.run)
        await asyncio.sleep(SOON)
        names = {proxy.name for proxy in rig.owners()}
        for proxy in rig.others():
            assert names <= set(proxy.peers.links)

    run(main())


def test_with_many_owners_links_are_opened_on_demand(monkeypatch):
    async def main():
        monkeypatch.setattr(warmlinks, "MAX_WARM_LINKS", 2)
        rig = await owners_rig()
        assert all(proxy.warm_links.missing() == [] for proxy in rig.proxies)

    run(main())


def test_an_unreachable_owner_is_not_dialled_repeatedly():
    async def main():
        rig = await owners_rig()
        gone = rig.owners()[0].name
        rig.links.kill(gone)
        proxy = rig.others()[0]
        proxy.keep_running(proxy.warm_links.run)
        await asyncio.sleep(SOON)
        assert gone not in proxy.warm_links.missing()

    run(main())
