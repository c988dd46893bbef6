"""Owners that are told to stop while other daemons send them statements."""

import asyncio
from random import Random

from gypsum_platform.codec import read_statement
from gypsum_policy.leaving import plan_for
from gypsum_sessions.callers.drain import drain
from gypsum_sessions.replies import Refusal
from tests.sessions.connected import connect
from tests.sessions.owners import (
    first_owner,
    open_transaction,
    owner_of,
    owners_rig,
)
from tests.sessions.vclock import run

GRACE = 6.0
# After this a daemon that stops is known to all that look, seconds.
NOTICED = 2.5


async def make_rig(**fleet):
    """Daemons of which some own the group, with all that they do all the time."""
    rig = await owners_rig(**fleet)
    for proxy in rig.proxies:
        proxy.keep_running(proxy.tend)
    return rig


def pair(rig):
    """A daemon that owns nothing, and the owner that it asks first."""
    return rig.others()[0], rig.links.proxies[first_owner(rig)]


def start_drain(proxy):
    """Tell a daemon to stop; the task ends when its process would."""
    return asyncio.create_task(drain(proxy, plan_for(GRACE), lambda: None))


def restart(rig, proxy):
    """End a daemon's process and start another one at its place."""
    proxy.stop()
    rig.links.reset(proxy.name)
    names = [item.name for item in rig.proxies]
    fresh = rig.make_proxy(proxy.name, names, proxy.tuning, 1)
    fresh.keep_running(fresh.tend)
    rig.proxies[names.index(proxy.name)] = fresh
    return fresh


async def leave_unheard(rig):
    """An owner that leaves, whose word of it is late at the daemon that asks it.

    Returns that daemon, the owner, and the task that ends with the owner's process.
    """
    other, owner = pair(rig)
    link = await other.peers.link(owner.name, 0.4)
    draining = start_drain(owner)
    await asyncio.sleep(NOTICED)
    link.draining = False
    return other, owner, draining


def test_a_link_opened_after_a_drain_began_hears_of_it():
    """Symptom: transactions are opened at a daemon that stops, and rolled back.

    Sequence: a daemon is told to stop, another one opens a link to it a moment later.
    Cause: only the links that were open when it was told heard that it leaves.
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


def test_a_daemon_that_leaves_is_asked_over_the_link_that_told_so():
    """Symptom: a daemon that stops counts as a good owner again.

    Sequence: a peer hears that it leaves, and asks it whether it knows the leader.
    Cause: the link that had told of it was taken for unusable, and a new one opened in
    its place, which heard nothing.
    """

    async def main():
        rig = await make_rig()
        other, owner = pair(rig)
        link = await other.peers.link(owner.name, 0.4)
        draining = start_drain(owner)
        await asyncio.sleep(0.1)
        assert await other.peers.link(owner.name, 0.4) is link
        assert len(owner.desks) == 1
        draining.cancel()

    run(main())


def test_a_link_that_takes_the_place_of_a_broken_one_hears_of_a_drain():
    """Symptom and cause as above; the link that had heard of it was reset."""

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


def test_a_transaction_that_comes_after_the_notice_goes_to_another_owner():
    """Symptom: a transaction of two statements is told as rolled back at its second.

    Sequence: the word that an owner leaves is late; a peer sends it the first statement
    of a transaction 2.5 s after it was told to stop, and the second one a moment after
    the owner has ended what waits. Cause: an owner that leaves opened transactions for
    others until its end.
    """

    async def main():
        rig = await make_rig()
        other, owner, draining = await leave_unheard(rig)
        caller, name = await open_transaction(rig)
        assert name != owner.name
        await asyncio.sleep(1.0)
        assert (await caller.send("COMMIT")).ok
        await draining

    run(main())


def test_no_transaction_is_sent_to_a_daemon_that_opens_none_any_more():
    """Symptom: a transaction's first statement is lost, and told as rolled back.

    Sequence: all daemons leave but for some that have just started; one of those that
    leave is asked to open a transaction at the moment at which its process ends. Cause:
    it was asked although it had said that it leaves, and opens none.
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
        for desk in [desk for proxy in rig.proxies for desk in proxy.desks]:
            desk.accept = asked.append
        caller = rig.caller("own", other)
        await caller.send("BEGIN")
        sending = asyncio.create_task(caller.send("WRITE a 1"))
        await asyncio.sleep(0.1)
        assert asked == []
        fresh = restart(rig, rig.owners()[0])
        assert (await sending).ok
        assert owner_of(caller) == fresh.name

    run(main())


def test_a_single_statement_that_comes_after_the_notice_runs_elsewhere():
    async def main():
        rig = await make_rig()
        other, owner, draining = await leave_unheard(rig)
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        assert not any(desk.tasks for desk in owner.desks)
        await draining

    run(main())


def test_a_daemon_that_leaves_serves_single_statements_that_nobody_else_can():
    """Symptom: callers are refused although one daemon that they reach could serve.

    Sequence: an owner leaves while no other daemon can be reached. Cause: it refuses
    what only it can run.
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


def test_an_open_transaction_at_an_owner_that_leaves_goes_on_to_its_commit():
    async def main():
        rig = await make_rig()
        caller, owner = await open_transaction(rig)
        draining = start_drain(rig.links.proxies[owner])
        await asyncio.sleep(GRACE / 2 - 0.1)
        assert (await caller.send("READ a")).ok
        assert (await caller.send("COMMIT")).ok
        await draining

    run(main())


def test_a_transaction_may_use_most_of_the_grace():
    """Symptom: transactions are rolled back halfway through a daemon's grace.

    Sequence: a transaction whose caller pauses is open when its owner is told to stop,
    and commits four of six seconds later. Cause: half of the grace was not used.
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


def test_callers_of_a_daemon_that_leaves_end_their_transactions_at_an_owner():
    """The daemon that leaves owns nothing: its callers' transactions are elsewhere."""

    async def main():
        rig = await make_rig()
        caller, link = await connect(rig.others()[0])
        caller.statement("r1", read_statement("BEGIN"))
        caller.statement("r2", read_statement("WRITE a 1"))
        await asyncio.sleep(0.1)
        draining = start_drain(rig.others()[0])
        await asyncio.sleep(GRACE / 3)
        caller.statement("r3", read_statement("READ a"))
        await asyncio.sleep(GRACE / 3)
        caller.statement("r4", read_statement("COMMIT"))
        await draining
        assert [reply.ok for reply in link.replies] == [True, True, True, True]
        assert len(rig.group.acknowledged) == 1

    run(main())


def test_a_statement_that_runs_at_the_end_of_the_grace_is_answered():
    """Symptom: a statement was read and its connection closed without an answer.

    Sequence: a caller of a daemon that leaves sends a statement to an upstream that has
    gone silent; the process ends before the statement's own time is up. Cause: the
    statement's deadline lay beyond the end of the grace.
    """

    async def main():
        rig = await make_rig(daemons=1, max_connections=34)
        caller, link = await connect(rig.proxy)
        caller.statement("r1", read_statement("BEGIN"))
        caller.statement("r2", read_statement("READ a"))
        await asyncio.sleep(0.1)
        draining = start_drain(rig.proxy)
        await asyncio.sleep(GRACE * 0.74)
        for member in rig.group.members:
            member.dark = True
        caller.statement("r3", read_statement("READ a"))
        await draining
        assert len(link.replies) == 3
        assert link.replies[2].refusal is Refusal.ABORTED

    run(main())


def test_a_daemon_that_starts_again_is_asked_once_it_knows_the_leader():
    """Symptom: statements take until their deadline beside owners that could run them.

    Sequence: an owner restarts and cannot prove the leader yet; a peer asks it first,
    as before. Cause: it took the statement and waited for the proof.
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


def test_the_next_owners_are_ready_when_all_owners_leave_at_once():
    """Symptom: the first statements after a roll wait for connections and a proof.

    Sequence: all three owners of a group are told to stop within a moment. Cause: those
    that stand in for them hold nothing until the first statement asks them to.
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


def test_one_owner_that_leaves_makes_nobody_else_open_connections():
    """The counterpart: the owners that stay have connections enough."""

    async def main():
        rig = await make_rig()
        others = rig.others()
        await start_drain(rig.owners()[0])
        assert all("db" not in proxy.groups for proxy in others)

    run(main())


# A roll: 74 daemons, four owners, four leave at once, all owners among them.
FLEET = 74
ROLLED_AT_ONCE = 4
PAUSES = (0.05, 0.6)
# The daemons have run for longer when the roll begins, seconds.
WARM_AFTER = 5.0


async def transactions(rig, proxy, rng, until, told):
    """Transactions of three statements with pauses, one after the other."""
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


async def roll(rig, batches):
    """Stop and start daemons, a batch at a time."""
    for batch in batches:
        await asyncio.gather(*(start_drain(proxy) for proxy in batch))
        for proxy in batch:
            restart(rig, proxy)
        await asyncio.sleep(0.5)


def test_a_roll_ends_no_transaction_that_was_opened_during_it():
    """Symptom: while daemons are rolled, callers are refused work that ran.

    Sequence: four of 74 daemons are stopped at once, all owners of a group among them,
    while callers of others run transactions. Cause: daemons that stop took new
    transactions, and rolled them back half a grace later.
    """

    async def main():
        rig = await make_rig(daemons=FLEET, max_connections=34)
        owners = rig.owners()
        assert len(owners) == ROLLED_AT_ONCE
        await asyncio.sleep(WARM_AFTER)
        rolled = [owners, rig.others()[:ROLLED_AT_ONCE]]
        callers = rig.others()[ROLLED_AT_ONCE : ROLLED_AT_ONCE + 20]
        until, told = rig.loop.time() + 12.0, []
        running = [
            asyncio.create_task(transactions(rig, proxy, Random(n), until, told))
            for n, proxy in enumerate(callers)
        ]
        await roll(rig, rolled)
        await asyncio.gather(*running)
        assert len(told) > 150
        assert [item for item in told if item[1] is not None] == []

    run(main())


def test_a_statement_of_a_transaction_that_an_owner_has_ended_is_told_so():
    """Symptom: COMMIT of a transaction that is gone is answered as busy.

    Sequence: an owner that leaves has ended a transaction and forgotten it; its next
    statement comes. Cause: what is not known was taken for new work, and declined.
    """

    async def main():
        rig = await make_rig()
        caller, name = await open_transaction(rig)
        owner = rig.links.proxies[name]
        start_drain(owner)
        await asyncio.sleep(NOTICED)
        for desk in owner.desks:
            desk.transactions.clear()
        assert (await caller.send("COMMIT")).refusal is Refusal.ABORTED
        assert rig.group.acknowledged == []

    run(main())
