"""Rigs in which some daemons own the group and the others ask them."""

from tests.sessions.rig import Rig

DAEMONS = 5
# What one upstream takes: too few for five daemons, so that three own the group.
MAX_CONNECTIONS = 9


async def owners_rig(daemons=DAEMONS, max_connections=MAX_CONNECTIONS):
    """Daemons of which some own the group, which know who leads it."""
    rig = Rig(daemons=daemons, max_connections=max_connections)
    await rig.settle()
    return rig


def owner_of(caller):
    """The name of the daemon that a caller's transaction is open at."""
    return caller.session.tx.link.peer


def first_owner(rig):
    """The name of the owner that the first other daemon asks first."""
    return rig.others()[0].access("db").owners()[0]


async def open_transaction(rig):
    """A caller with a write in a transaction by way of an owner, and that owner."""
    caller = rig.caller("own", rig.others()[0])
    await caller.send("BEGIN")
    assert (await caller.send("WRITE a 1")).ok
    return caller, owner_of(caller)
