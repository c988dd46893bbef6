"""Rigs in which some daemons own the group and the others send them statements."""

from tests.sessions.rig import Rig

DAEMONS = 5
# Connections that one upstream accepts: too few for five daemons, so that three own the
# group.
MAX_CONNECTIONS = 9


async def owners_rig(daemons=DAEMONS, max_connections=MAX_CONNECTIONS):
    """Start daemons of which some own the group; the owners have proven its leader."""
    rig = Rig(daemons=daemons, max_connections=max_connections)
    await rig.settle()
    return rig


def owner_of(caller):
    """The name of the owner of a caller's open transaction."""
    return caller.session.tx.link.peer


def first_owner(rig):
    """The name of the owner that the first non-owner prefers."""
    return rig.others()[0].access("db").owners()[0]


async def open_transaction(rig):
    """Open a transaction with a write through an owner; returns caller and owner."""
    caller = rig.caller("own", rig.others()[0])
    await caller.send("BEGIN")
    assert (await caller.send("WRITE a 1")).ok
    return caller, owner_of(caller)
