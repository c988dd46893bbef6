"""Transactions at an owner over a link that has gone silent without being closed."""

import asyncio

from tests.sessions.chaos import start_maintenance
from tests.sessions.owners import open_transaction, owners_rig
from tests.sessions.vclock import run


def held_transactions(proxy):
    """Return the transactions that a daemon holds for other daemons' callers."""
    return [
        held
        for handler in proxy.peer_handlers
        for held in handler.transactions.values()
    ]


def test_a_transaction_over_a_silent_link_does_not_hold_its_connection():
    """Guards against an owner without a free connection to the primary, for good.

    The link goes silent, and the other daemon's word that its transaction ends does not
    arrive. An owner gets no sign of it: it sends nothing by itself over that link.
    """

    async def main():
        rig = await owners_rig()
        for proxy in rig.proxies:
            start_maintenance(proxy)
        caller, name = await open_transaction(rig)
        owner = rig.links.proxies[name]
        pool = owner.groups["db"].upstreams["u1"].pool
        rig.links.cut.add(frozenset({name, rig.others()[0].name}))
        await caller.send("ROLLBACK")
        assert held_transactions(owner) and pool.in_use
        await asyncio.sleep(owner.catalog.current.transaction_idle + 1.5)
        assert not held_transactions(owner) and not pool.in_use

    run(main())


def test_a_transaction_whose_caller_pauses_is_ended_by_its_own_daemon():
    """An owner leaves the time that a transaction may pause to the caller's daemon."""

    async def main():
        rig = await owners_rig()
        for proxy in rig.proxies:
            start_maintenance(proxy)
        caller, name = await open_transaction(rig)
        await asyncio.sleep(rig.proxy.catalog.current.transaction_idle - 0.2)
        assert (await caller.send("WRITE b 1")).ok
        await asyncio.sleep(rig.proxy.catalog.current.transaction_idle - 0.2)
        assert (await caller.send("COMMIT")).ok
        assert not held_transactions(rig.links.proxies[name])

    run(main())
