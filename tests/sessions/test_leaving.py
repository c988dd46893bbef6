"""Draining owners while other daemons forward statements to them."""

import asyncio
from random import Random

from gypsum_platform.codec import read_statement
from gypsum_policy.draining import make_drain_plan
from gypsum_sessions.callers.drain import drain
from gypsum_sessions.replies import Refusal
from tests.sessions.connections import connect
from tests.sessions.owners import (
    first_owner,
    open_transaction,
    owner_of,
    owners_rig,
)
from tests.sessions.vclock import run

GRACE = 6.0
# Seconds after which every peer knows that a daemon drains.
NOTICED = 2.5


async def make_rig(**fleet):
    """Return daemons, some of which own the group, with maintenance running."""
    rig = await owners_rig(**fleet)
    for proxy in rig.proxies:
        proxy.keep_running(proxy.run_maintenance)
    return rig


def pair(rig):
    """Return a daemon that owns no group, and the owner that it asks first."""
    return rig.others()[0], rig.links.proxies[first_owner(rig)]


def start_drain(proxy):
    """Start a drain; its task ends when the process would."""
    return asyncio.create_task(drain(proxy, make_drain_plan(GRACE), lambda: None))


def restart(rig, proxy):
    """Replace a daemon by a new process."""
    proxy.stop()
    rig.links.reset(proxy.name)
    names = [item.name for item in rig.proxies]
    fresh = rig.make_proxy(proxy.name, names, proxy.tuning, 1)
    fresh.keep_running(fresh.run_maintenance)
    rig.proxies[names.index(proxy.name)] = fresh
    return fresh


async def drain_unnoticed(rig):
    """Drain an owner so that the daemon that asks it learns of the drain late.

    Returns that daemon, the owner, and the drain's task.
    """
    other, owner = pair(rig)
    link = await other.peers.link(owner.name, 0.4)
    draining = start_drain(owner)
    await asyncio.sleep(NOTICED)
    link.draining = False
    return other, owner, draining


def test_link_opened_during_a_drain_carries_the_notice():
    """Guards against transactions that are opened at a draining daemon and rolled back.

    A link that is opened after the drain began has to carry the notice of it, too.
    """

    async def main():
        rig = await make_rig()
        other, owner = pair(rig)
        draining = start_drain(owner)
        await asyncio.sleep(0.1)
        await other.peers.link(owner.name, 0.4)
        await asyncio.sleep(0.01)
        assert other.access("db").owners()[-1] == owner.name
        draining.cancel()

    run(main())


def test_draining_daemon_is_asked_over_the_link_that_announced_it():
    """Guards against a draining daemon that counts as a good owner again.

    A peer that knows of the drain asks it whether it knows the leader. Opening a new
    link for that would lose what the old link had announced.
    """

    async def main():
        rig = await make_rig()
        other, owner = pair(rig)
        link = await other.peers.link(owner.name, 0.4)
        draining = start_drain(owner)
        await asyncio.sleep(0.1)
        assert await other.peers.link(owner.name, 0.4) is link
        assert len(owner.peer_handlers) == 1
        draining.cancel()

    run(main())


def test_link_that_replaces_a_broken_one_carries_the_notice():
    """Guards against the same after the link that announced the drain was reset."""

    async def main():
        rig = await make_rig()
        other, owner = pair(rig)
        link = await other.peers.link(owner.name, 0.4)
        draining = start_drain(owner)
        await asyncio.sleep(0.1)
        link.close("reset")
        await other.peers.link(owner.name, 0.4)
        await asyncio.sleep(0.01)
        assert other.access("db").owners()[-1] == owner.name
        draining.cancel()

    run(main())


def test_transaction_after_the_notice_period_goes_to_another_owner():
    """Guards against a transaction that is rolled back at its second statement.

    The announcement of a drain is late: a peer sends the owner the first statement of a
    transaction 2.5 s into the drain, and the second after the owner has ended waiting
    transactions. A draining owner must not open transactions for others until its end.
    """

    async def main():
        rig = await make_rig()
        other, owner, draining = await drain_unnoticed(rig)
        caller, name = await open_transaction(rig)
        assert name != owner.name
        await asyncio.sleep(1.0)
        assert (await caller.send("COMMIT")).ok
        await draining

    run(main())


def test_no_transaction_is_sent_to_a_daemon_that_opens_none():
    """Guards against a lost first statement that is reported as rolled back.

    All daemons drain except some that have just started, and one of the draining ones
    is asked to open a transaction just as its process ends. A daemon that has announced
    a drain opens none, so it must not be asked.
    """

    async def main():
        rig = await make_rig()
        other = rig.others()[0]
        for proxy in rig.proxies:
            if proxy is not other:
                await other.peers.link(proxy.name, 0.4)
                start_drain(proxy)
        await asyncio.sleep(NOTICED)
        asked = []
        for handler in [item for proxy in rig.proxies for item in proxy.peer_handlers]:
            handler.accept = asked.append
        caller = rig.caller("own", other)
        await caller.send("BEGIN")
        sending = asyncio.create_task(caller.send("WRITE a 1"))
        await asyncio.sleep(0.1)
        assert asked == []
        fresh = restart(rig, rig.owners()[0])
        assert (await sending).ok
        assert owner_of(caller) == fresh.name

    run(main())


def test_single_statement_after_the_notice_period_runs_on_another_owner():
    async def main():
        rig = await make_rig()
        other, owner, draining = await drain_unnoticed(rig)
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        assert not any(handler.tasks for handler in owner.peer_handlers)
        await draining

    run(main())


def test_draining_daemon_serves_single_statements_that_no_other_can():
    """Guards against refusals although a reachable daemon could serve.

    An owner drains while no other daemon can be reached; it must not refuse statements
    that only it can run.
    """

    async def main():
        rig = await make_rig()
        other, owner = pair(rig)
        await other.peers.link(owner.name, 0.4)
        start_drain(owner)
        for proxy in rig.proxies:
            if proxy not in (other, owner):
                rig.links.kill(proxy.name)
        await asyncio.sleep(NOTICED)
        assert (await rig.caller("own", other).send("WRITE a 1")).ok

    run(main())


def test_open_transaction_at_a_draining_owner_can_commit():
    async def main():
        rig = await make_rig()
        caller, owner = await open_transaction(rig)
        draining = start_drain(rig.links.proxies[owner])
        await asyncio.sleep(GRACE / 2 - 0.1)
        assert (await caller.send("READ a")).ok
        assert (await caller.send("COMMIT")).ok
        await draining

    run(main())


def test_transaction_may_use_most_of_the_grace_period():
    """Guards against transactions that are rolled back halfway through the grace.

    The transaction is open when its owner starts to drain, its caller pauses, and it
    commits four seconds into a grace period of six.
    """

    async def main():
        rig = await make_rig()
        caller, owner = await open_transaction(rig)
        draining = start_drain(rig.links.proxies[owner])
        await asyncio.sleep(GRACE / 3)
        assert (await caller.send("READ a")).ok
        await asyncio.sleep(GRACE / 3)
        assert (await caller.send("COMMIT")).ok
        await draining

    run(main())


def test_callers_of_a_draining_daemon_can_commit_at_an_owner():
    """The draining daemon owns no group: its callers' transactions are at an owner."""

    async def main():
        rig = await make_rig()
        caller, link = await connect(rig.others()[0])
        caller.on_statement("r1", read_statement("BEGIN"))
        caller.on_statement("r2", read_statement("WRITE a 1"))
        await asyncio.sleep(0.1)
        draining = start_drain(rig.others()[0])
        await asyncio.sleep(GRACE / 3)
        caller.on_statement("r3", read_statement("READ a"))
        await asyncio.sleep(GRACE / 3)
        caller.on_statement("r4", read_statement("COMMIT"))
        await draining
        assert [reply.ok for reply in link.replies] == [True, True, True, True]
        assert len(rig.group.acknowledged) == 1

    run(main())


def test_statement_running_at_the_end_of_the_grace_period_is_answered():
    """Guards against a statement that is read but never answered.

    During the drain it is sent to an upstream that has stopped answering, and its own
    deadline is later than the end of the grace period.
    """

    async def main():
        rig = await make_rig(daemons=1, max_connections=34)
        caller, link = await connect(rig.proxy)
        caller.on_statement("r1", read_statement("BEGIN"))
        caller.on_statement("r2", read_statement("READ a"))
        await asyncio.sleep(0.1)
        draining = start_drain(rig.proxy)
        await asyncio.sleep(GRACE * 0.74)
        for member in rig.group.members:
            member.unresponsive = True
        caller.on_statement("r3", read_statement("READ a"))
        await draining
        assert len(link.replies) == 3
        assert link.replies[2].refusal is Refusal.ABORTED

    run(main())


def test_restarted_owner_is_asked_once_it_knows_the_leader():
    """Guards against statements that time out although other owners could run them.

    A peer first asks an owner that has restarted and cannot prove the leader yet; the
    owner must not accept the statement and wait for the proof.
    """

    async def main():
        rig = await make_rig()
        other, owner = pair(rig)
        fresh = restart(rig, owner)
        for member in rig.group.members:
            rig.cut(fresh, member.id)
        await asyncio.sleep(0.05)
        began = rig.loop.time()
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        assert rig.loop.time() - began < 0.2

    run(main())


def test_next_owners_are_ready_when_all_owners_drain_at_once():
    """Guards against first statements that wait for connections and a proof.

    All three owners of a group drain at once. Their replacements have to connect before
    the first statement arrives.
    """

    async def main():
        rig = await make_rig()
        owners, others = rig.owners(), rig.others()
        draining = [start_drain(proxy) for proxy in owners]
        await asyncio.sleep(1.0)
        ready = [
            proxy.name
            for proxy in others
            if "db" in proxy.groups and proxy.groups["db"].watch.leader
        ]
        assert ready
        assert (await rig.caller("own", others[0]).send("WRITE a 1")).ok
        await asyncio.gather(*draining)

    run(main())


def test_one_draining_owner_makes_no_other_daemon_open_connections():
    """One draining owner needs no replacement: the others have enough connections."""

    async def main():
        rig = await make_rig()
        others = rig.others()
        await start_drain(rig.owners()[0])
        assert all("db" not in proxy.groups for proxy in others)

    run(main())


# A rolling restart: 74 daemons, four at a time, all four owners in the first batch.
FLEET = 74
BATCH_SIZE = 4
PAUSES = (0.05, 0.6)
# Seconds that the daemons run before the restart begins.
WARM_UP_SECONDS = 5.0


async def transactions(rig, proxy, rng, until, told):
    """Run transactions of three statements with pauses, one after the other."""
    caller = rig.caller("own", proxy)
    while rig.loop.time() < until:
        began = rig.loop.time()
        reply = await caller.send("BEGIN")
        for text in (f"WRITE {caller.next_request} 1", "READ a", "COMMIT"):
            if reply.ok:
                await asyncio.sleep(rng.uniform(*PAUSES))
                reply = await caller.send(text)
        told.append((began, reply.refusal, reply.detail))
        if not reply.ok:
            await caller.send("ROLLBACK")


async def rolling_restart(rig, batches):
    """Drain and restart daemons, a batch at a time."""
    for batch in batches:
        await asyncio.gather(*(start_drain(proxy) for proxy in batch))
        for proxy in batch:
            restart(rig, proxy)
        await asyncio.sleep(0.5)


def test_rolling_restart_ends_no_transaction_opened_during_it():
    """Guards against refusals of work that ran, during a rolling restart.

    Four of 74 daemons drain at once, all owners of a group, while callers of others run
    transactions. Draining daemons must not accept new transactions that they would roll
    back half a grace period later.
    """

    async def main():
        rig = await make_rig(daemons=FLEET, max_connections=34)
        owners = rig.owners()
        assert len(owners) == BATCH_SIZE
        await asyncio.sleep(WARM_UP_SECONDS)
        batches = [owners, rig.others()[:BATCH_SIZE]]
        callers = rig.others()[BATCH_SIZE : BATCH_SIZE + 20]
        until, told = rig.loop.time() + 12.0, []
        running = [
            asyncio.create_task(transactions(rig, proxy, Random(n), until, told))
            for n, proxy in enumerate(callers)
        ]
        await rolling_restart(rig, batches)
        await asyncio.gather(*running)
        assert len(told) > 150
        assert [item for item in told if item[1] is not None] == []

    run(main())


def test_commit_of_a_transaction_that_an_owner_has_ended_is_aborted():
    """Guards against a COMMIT that is answered as busy after its transaction ended.

    A draining owner has ended the transaction and no longer knows it; it must not treat
    the next statement as new work and decline it.
    """

    async def main():
        rig = await make_rig()
        caller, name = await open_transaction(rig)
        owner = rig.links.proxies[name]
        start_drain(owner)
        await asyncio.sleep(NOTICED)
        for handler in owner.peer_handlers:
            handler.transactions.clear()
        assert (await caller.send("COMMIT")).refusal is Refusal.ABORTED
        assert rig.group.acknowledged == []

    run(main())
