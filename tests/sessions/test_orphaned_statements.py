"""Statements that may still run at an upstream although their reply was sent.

An upstream runs what it has received, also after the connection was closed.
"""

import asyncio

import pytest

from gypsum_sessions.replies import Refusal
from tests.sessions.owners import first_owner, owners_rig
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

# A statement takes this long at each upstream, seconds: less than the route's timeout.
SLOW_STATEMENT = 0.9
# The same, longer than the route's timeout of one second.
STALLED_STATEMENT = 2.5
# The same, by less than a statement is listened for after its timeout.
JUST_TOO_SLOW = 1.4
# Time from sending a statement until its owner is lost, seconds.
SENT = 0.1
# Longer than any statement of these tests runs, seconds.
ALL_ENDED = 6.0

OPENING = {
    "read": (),
    "write": (),
    "execute": ("PREPARE s READ q",),
    "read in a transaction": ("BEGIN", "READ a"),
    "write in a transaction": ("BEGIN", "WRITE a 1"),
    "commit": ("BEGIN", "WRITE a 1"),
}
STATEMENT = {
    "read": "READ a",
    "write": "WRITE a 1",
    "execute": "EXECUTE s a",
    "read in a transaction": "READ a",
    "write in a transaction": "WRITE b 1",
    "commit": "COMMIT",
}


class ValuesObserver:
    """Collects the statements that ran with values other than the acknowledged ones."""

    def __init__(self):
        self.acked = {}
        self.ran = []
        self.wrong = []

    def statement_ran(self, conn, request):
        """Compare the connection's values with those that the caller has."""
        self.ran.append(request)
        if conn.values != self.acked:
            self.wrong.append((request, dict(conn.values), dict(self.acked)))

    def read_ran(self, member, request):
        """Do nothing: these tests do not check how recent reads are."""


async def make_rig(daemons, database="own"):
    """One daemon, or several of which some own the group; returns a rig and a caller.

    The caller is at a daemon that owns nothing, if there is one.
    """
    rig = await owners_rig() if daemons > 1 else Rig()
    await rig.settle()
    return rig, rig.caller(database, rig.others()[0] if daemons > 1 else None)


def observe(rig):
    """Observe the statements that the rig's upstreams run."""
    rig.group.observer = ValuesObserver()
    return rig.group.observer


def slow_down(rig, seconds):
    """Make a statement take this long at each upstream."""
    for member in rig.group.members:
        member.work = seconds


async def send_all(caller, texts):
    """Send statements that all succeed."""
    for text in texts:
        assert (await caller.send(text)).ok


async def end_transaction(caller):
    """End the transaction that a lost statement has failed, if there is one."""
    if caller.session.tx is not None:
        await caller.send("ROLLBACK")


async def set_value(caller, observer, value="north"):
    """Set a value; records it if it was acknowledged, and returns the reply."""
    reply = await caller.send(f"SET zone {value}")
    if reply.ok:
        observer.acked = {"zone": value}
    return reply


async def lose_owner(rig, caller, kind, lose):
    """Lose the owner SENT after a statement was sent; returns once it is answered."""
    await send_all(caller, OPENING[kind])
    slow_down(rig, SLOW_STATEMENT)
    tx = caller.session.tx
    owner = tx.link.peer if tx is not None else first_owner(rig)
    sending = asyncio.create_task(caller.send(STATEMENT[kind]))
    await asyncio.sleep(SENT)
    lose(rig, owner)
    await sending
    await end_transaction(caller)
    return owner


def reset(rig, owner):
    """Reset the owner's links."""
    rig.links.reset(owner)


def cut(rig, owner):
    """Cut the owner from the daemon that sent the statement."""
    rig.links.cut.add(frozenset({owner, rig.others()[0].name}))


def freeze(rig, owner):
    """Freeze the owner."""
    rig.links.freeze(owner)


def kill(rig, owner):
    """Kill the owner's process, which closes its connections to upstreams."""
    rig.links.kill(owner)
    proxy = rig.links.proxies[owner]
    proxy.stop()
    for member in rig.group.members:
        for conn in list(member.conns):
            if conn.dialer is proxy.context.dialer.dialer:
                conn.close()


def leave(rig, owner):
    """End the owner's process after it has announced that it leaves."""
    for handler in list(rig.links.proxies[owner].peer_handlers):
        handler.send_leaving()
    kill(rig, owner)


LOSSES = {
    "reset": reset,
    "cut": cut,
    "frozen": freeze,
    "killed": kill,
    "leaving": leave,
}


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("kind", STATEMENT)
def test_values_do_not_change_after_a_statement_whose_owner_was_lost(kind, loss):
    """Guards against PINNED: a statement that runs after a later SET, without it.

    The owner was lost after it had passed the statement on to an upstream, which runs
    it although the caller was told that its outcome is unknown.
    """

    async def main():
        rig = await owners_rig()
        observer = observe(rig)
        caller = rig.caller("own", rig.others()[0])
        await lose_owner(rig, caller, kind, LOSSES[loss])
        await set_value(caller, observer)
        await asyncio.sleep(ALL_ENDED)
        assert f"{caller.number}-{len(OPENING[kind]) + 1}" in observer.ran
        assert observer.wrong == []

    run(main())


@pytest.mark.parametrize("daemons", [1, 5])
@pytest.mark.parametrize("kind", STATEMENT)
def test_values_do_not_change_after_a_statement_that_outlasted_its_timeout(
    kind, daemons
):
    """Guards against the same at a slow upstream, on one daemon or at an owner."""

    async def main():
        rig, caller = await make_rig(daemons)
        observer = observe(rig)
        await send_all(caller, OPENING[kind])
        slow_down(rig, STALLED_STATEMENT)
        assert not (await caller.send(STATEMENT[kind])).ok
        await end_transaction(caller)
        await set_value(caller, observer)
        await asyncio.sleep(ALL_ENDED)
        assert observer.ran and observer.wrong == []

    run(main())


@pytest.mark.parametrize("daemons", [1, 5])
def test_values_do_not_change_while_a_read_runs_that_was_answered_elsewhere(daemons):
    """Guards against the same for a read that timed out where it was asked first.

    The leader answers it, and two replicas stand still for longer than the read's own
    timeout, after which their connections are closed.
    """

    async def main():
        rig, caller = await make_rig(daemons)
        observer = observe(rig)
        for member in rig.group.replicas():
            member.work = STALLED_STATEMENT
        assert (await caller.send("READ a")).ok
        await asyncio.sleep(1.1)
        await set_value(caller, observer)
        await asyncio.sleep(ALL_ENDED)
        assert len(observer.ran) > 1 and observer.wrong == []

    run(main())


def test_values_do_not_change_when_the_link_is_lost_before_a_read_has_ended():
    """Guards against the same for an answered read whose owner reports no end."""

    async def main():
        rig = await owners_rig()
        observer = observe(rig)
        for member in rig.group.replicas():
            member.work = STALLED_STATEMENT
        caller = rig.caller("own", rig.others()[0])
        owner = first_owner(rig)
        assert (await caller.send("READ a")).ok
        rig.links.reset(owner)
        await asyncio.sleep(1.1)
        await set_value(caller, observer)
        await asyncio.sleep(ALL_ENDED)
        assert len(observer.ran) > 1 and observer.wrong == []

    run(main())


def test_a_value_is_refused_at_once_when_a_statement_may_run_unnoticed():
    """The refusal names a way out: waiting does not help, a new session does."""

    async def main():
        rig = await owners_rig()
        observer = observe(rig)
        caller = rig.caller("own", rig.others()[0])
        await lose_owner(rig, caller, "write", reset)
        began = rig.loop.time()
        reply = await set_value(caller, observer)
        assert reply.refusal is Refusal.BUSY
        assert "open a new session" in reply.detail and not reply.retry_after_ms
        assert rig.loop.time() == began and caller.session.values == {}
        assert (await caller.send("READ a")).ok
        other = rig.caller("own", rig.others()[0])
        assert (await other.send("SET zone north")).ok

    run(main())


@pytest.mark.parametrize("kind", ["read", "write"])
@pytest.mark.parametrize("daemons", [1, 5])
def test_values_change_once_a_statement_that_timed_out_has_ended(daemons, kind):
    """A statement is listened for beyond its timeout, so that SET need not fail."""

    async def main():
        rig, caller = await make_rig(daemons, "primary")
        observer = observe(rig)
        slow_down(rig, JUST_TOO_SLOW)
        began = rig.loop.time()
        assert not (await caller.send(STATEMENT[kind])).ok
        assert rig.loop.time() - began < JUST_TOO_SLOW
        assert (await set_value(caller, observer)).ok
        assert rig.loop.time() - began >= JUST_TOO_SLOW
        await asyncio.sleep(ALL_ENDED)
        assert observer.ran and observer.wrong == []

    run(main())


def test_the_log_line_of_a_lost_statement_says_that_it_may_still_run():
    async def main():
        rig = await owners_rig()
        caller = rig.caller("own", rig.others()[0])
        await lose_owner(rig, caller, "write", reset)
        refused = [
            fields
            for _, part, event, fields in rig.lines
            if (part, event) == ("request", "refused")
        ]
        assert [fields["orphaned"] for fields in refused] == [True]

    run(main())


def test_a_statement_that_never_left_keeps_no_value_from_changing():
    async def main():
        rig = await owners_rig()
        caller = rig.caller("own", rig.others()[0])
        for proxy in rig.proxies:
            rig.links.kill(proxy.name)
        assert not (await caller.send("WRITE a 1")).ok
        assert (await caller.send("SET zone north")).ok

    run(main())


def test_a_prepared_name_keeps_its_shape_while_its_statement_may_run():
    """Guards against PINNED: a name that runs another shape than its caller prepared.

    The owner is lost with an EXECUTE, and the caller prepares the name anew.
    """

    async def main():
        rig = await owners_rig()
        caller = rig.caller("own", rig.others()[0])
        await lose_owner(rig, caller, "execute", reset)
        assert (await caller.send("PREPARE s READ q")).ok
        assert (await caller.send("PREPARE s READ p")).refusal is Refusal.BUSY
        assert (await caller.send("DEALLOC s")).refusal is Refusal.BUSY
        assert (await caller.send("PREPARE t READ p")).ok
        assert caller.session.prepared["s"].shape == "q"

    run(main())
