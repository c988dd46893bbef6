"""Commits are passed on only where a takeover would find them."""

import asyncio
from dataclasses import replace

from gypsum_sessions.interfaces import PromotionLease
from gypsum_sessions.replies import Refusal
from tests.sessions.fakegroup import FakeMember
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


async def settled_rig():
    """A group whose members have been listed for a while."""
    rig = Rig()
    await rig.settle()
    await asyncio.sleep(5.0)
    return rig


def test_a_commit_that_only_an_unknown_member_has_is_in_doubt():
    """Symptom: an acknowledged commit is missing after a promotion.

    Sequence: the primary is cut from its replicas, a takeover pauses them and orders
    a promotion, a new member joins the old primary and lets waiting commits be
    acknowledged, the promotion takes effect. Cause: the member was on nobody's list.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        caller = rig.caller("own")
        writing = asyncio.create_task(caller.send("WRITE a 1"))
        await asyncio.sleep(0.3)
        rig.group.members.append(FakeMember(id="u4", group=rig.group))
        reply = await writing
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_a_member_listed_a_moment_ago_is_no_proof():
    async def main():
        rig = await settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        joined = FakeMember(id="u4", group=rig.group)
        rig.group.members.append(joined)
        rig.proxy.update_members(rig.group.listing())
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_a_lagging_replica_that_received_the_commit_is_proof():
    async def main():
        rig = await settled_rig()
        for replica in rig.group.replicas():
            replica.lag = 3.0
        assert (await rig.caller("own").send("WRITE a 1")).ok

    run(main())


def cut_off(rig, *names):
    """Take the daemon's way to members: open connections go silent, new ones hang."""
    rig.proxy.around.dialer.dialer.cut.update(names)
    for name in names:
        for conn in list(rig.group[name].conns):
            conn.silent = True


def test_a_daemon_that_can_ask_no_replica_turns_writes_away():
    """Symptom: callers of a daemon that is cut off hear of each write that it may have
    run, and cannot try again elsewhere.

    Sequence: the daemon loses its way to the replicas, not to the primary. Cause: it
    goes on writing though it cannot confirm any commit.
    """

    async def main():
        rig = await settled_rig()
        cut_off(rig, "u2", "u3")
        caller = rig.caller("own")
        await caller.send("WRITE first 1")
        runs = rig.group["u1"].runs
        for text in ("WRITE a 1", "BEGIN"):
            reply = await caller.send(text)
        assert (await caller.send("WRITE a 2")).refusal is Refusal.BUSY
        assert (await caller.send("ROLLBACK")).ok
        assert reply.ok
        assert rig.group["u1"].runs == runs
        rig.proxy.around.dialer.dialer.cut.clear()
        await asyncio.sleep(1.5)
        assert (await caller.send("WRITE a 3")).ok

    run(main())


def test_a_slow_replica_can_be_asked():
    """Symptom: writes are refused for want of a replica while one is merely slow.

    Sequence: one replica is down, reads at the other take longer than callers wait.
    Cause: a read without an answer counted as a replica out of reach.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u3"].dark = True
        rig.group["u2"].work = 2.0
        readers = [rig.caller("bounded") for _ in range(2)]
        await asyncio.gather(*(reader.send("READ a") for reader in readers))
        reads = [asyncio.create_task(reader.send("READ a")) for reader in readers]
        for number in range(5):
            assert (await rig.caller("own").send(f"WRITE a{number} 1")).ok
        await asyncio.gather(*reads)

    run(main())


def test_without_a_connection_to_any_replica_writes_are_turned_away():
    """Symptom: after a power loss of all daemons commits are in doubt.

    Sequence: the replicas still count the connections that were lost and take no new
    ones; a daemon has none to them and writes. Cause: it counted on being able to ask.
    """

    async def main():
        rig = Rig()
        for name in ("u2", "u3"):
            rig.group[name].limit = 0
        await rig.settle()
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).refusal is Refusal.BUSY
        assert rig.group["u1"].runs == 0
        for name in ("u2", "u3"):
            rig.group[name].limit = 100
        await asyncio.sleep(0.5)
        assert (await caller.send("WRITE a 1")).ok

    run(main())


def test_a_commit_that_nobody_can_be_asked_of_is_in_doubt():
    """Symptom: an acknowledged commit is missing after a promotion.

    Sequence: a daemon loses its way to the replicas; the primary is cut from them and
    replaced, a new member joins it and acknowledges a commit at once. Cause: with no
    replica to ask, a commit that had not waited was trusted.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        cut_off(rig, "u2", "u3")
        rig.group.members.append(FakeMember(id="u4", group=rig.group))
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_an_open_transaction_that_cannot_be_confirmed_is_rolled_back():
    async def main():
        rig = await settled_rig()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        assert (await caller.send("WRITE a 1")).ok
        cut_off(rig, "u2", "u3")
        other = rig.caller("own")
        await other.send("WRITE b 1")
        assert (await caller.send("COMMIT")).refusal is Refusal.ABORTED
        assert all(("a", "1") not in entry.writes for entry in rig.group["u1"].log)

    run(main())


def test_a_commit_that_only_a_leaving_replica_has_is_in_doubt():
    """Symptom: an acknowledged commit is missing after a promotion.

    Sequence: one replica hears nothing, another is leaving; commits are acknowledged
    through the one that leaves; it goes, the primary crashes, the first is promoted.
    Cause: the log of a replica that leaves goes with it, and its word was taken.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u2"].deaf = True
        rig.proxy.update_members(
            [
                replace(member, leaving=True) if member.id == "u3" else member
                for member in rig.group.listing()
            ]
        )
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_all_commits_that_waited_through_a_standstill_are_in_doubt():
    """Symptom: of commits acknowledged together one is in doubt, the others are lost.

    Sequence: as above, but several wait when the unknown member joins, and no replica
    can be asked. Cause: the first answer ended the standstill for all of them.
    """

    async def main():
        rig = await settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        rig.proxy.around.dialer.dialer.cut.update({"u2", "u3"})
        for name in ("u2", "u3"):
            for conn in list(rig.group[name].conns):
                conn.silent = True
        callers = [rig.caller("own") for _ in range(2)]
        writing = [
            asyncio.create_task(caller.send(f"WRITE a{number} 1"))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(0.7)
        rig.group.members.append(FakeMember(id="u4", group=rig.group))
        replies = await asyncio.gather(*writing)
        assert [reply.refusal for reply in replies] == [Refusal.IN_DOUBT] * 2

    run(main())


def test_entries_that_are_back_confirm_again_within_a_second():
    """Symptom: no commit can be confirmed for seconds after an outage of the store.

    Sequence: the entries of all members were lost and are back as new ones; nothing
    changes among the leases. Cause: how far the leases are known shows only when their
    watch ends.
    """

    async def main():
        rig = await settled_rig()
        rig.proxy.keep_running(rig.proxy.refresh_leases)
        for member in rig.group.members:
            member.joined = rig.group.next_revision()
        rig.proxy.update_members(rig.group.listing())
        caller = rig.caller("own")
        runs = rig.group["u1"].runs
        writing = asyncio.create_task(caller.send("WRITE a 1"))
        await asyncio.sleep(0.5)
        assert rig.group["u1"].runs == runs
        assert (await writing).ok

    run(main())


def test_a_replica_that_restarts_during_a_takeover_confirms_nothing():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: a takeover has paused the replicas, one restarts and is paused no longer,
    the old primary acknowledges a commit through it, the takeover promotes another.
    Cause: what the replica has received since its restart counted.
    """

    async def main():
        rig = await settled_rig()
        lease = PromotionLease(holder="d9", token=1, revision=rig.group.next_revision())
        rig.proxy.lease_view.note("db", lease)
        for name in ("u2", "u3"):
            rig.group[name].crash()
            rig.group[name].restart()
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).refusal is Refusal.IN_DOUBT
        rig.proxy.lease_view.note("db", replace(lease, settled=True))
        assert (await caller.send("WRITE a 2")).ok

    run(main())


def test_connections_that_a_takeover_finds_confirm_during_it():
    """The counterpart: while a takeover is under way commits go on."""

    async def main():
        rig = await settled_rig()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        lease = PromotionLease(holder="d9", token=1, revision=rig.group.next_revision())
        rig.proxy.lease_view.note("db", lease)
        assert (await rig.caller("own").send("WRITE a 2")).ok

    run(main())
