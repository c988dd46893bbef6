"""Commits are reported as done only if they would survive a takeover."""

import asyncio
from dataclasses import replace

import pytest

from gypsum_sessions.interfaces import PromotionLease
from gypsum_sessions.replies import Refusal
from tests.sessions.fakegroup import FakeMember
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.sessions.writers import check_nothing_lost, write_for


async def make_settled_rig():
    """A group whose members have been listed for a while."""
    rig = Rig()
    await rig.settle()
    await asyncio.sleep(5.0)
    return rig


def test_a_commit_that_only_an_unknown_member_has_is_in_doubt():
    """Guards against an acknowledged commit that is missing after a promotion.

    The primary is cut off from its replicas; a takeover pauses them and orders a
    promotion. A new member, which no daemon has listed, joins the old primary and lets
    it acknowledge waiting commits; then the promotion takes effect.
    """

    async def main():
        rig = await make_settled_rig()
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
        rig = await make_settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        joined = FakeMember(id="u4", group=rig.group)
        rig.group.members.append(joined)
        rig.proxy.update_members(rig.group.listing())
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_a_lagging_replica_that_received_the_commit_is_proof():
    async def main():
        rig = await make_settled_rig()
        for replica in rig.group.replicas():
            replica.lag = 3.0
        assert (await rig.caller("own").send("WRITE a 1")).ok

    run(main())


def restart_replicas(rig):
    """Restart all replicas, which closes the connections to them."""
    for replica in rig.group.replicas():
        replica.crash()
        replica.restart()


def cut_off(rig, *names):
    """Cut the daemon off from members: open connections fall silent, new ones hang."""
    rig.proxy.context.dialer.dialer.cut.update(names)
    for name in names:
        for conn in list(rig.group[name].conns):
            conn.silent = True


def test_a_daemon_that_can_ask_no_replica_refuses_writes():
    """Guards against writes reported as in doubt that could be retried elsewhere.

    A daemon loses the replicas but still reaches the primary. It must not run writes
    whose commits it can't confirm.
    """

    async def main():
        rig = await make_settled_rig()
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
        rig.proxy.context.dialer.dialer.cut.clear()
        await asyncio.sleep(1.5)
        assert (await caller.send("WRITE a 3")).ok

    run(main())


def test_a_slow_replica_can_be_asked():
    """Guards against refused writes while a replica is merely slow.

    One replica is down, and reads at the other take longer than callers wait. A read
    without an answer must not make the replica count as unreachable.
    """

    async def main():
        rig = await make_settled_rig()
        rig.group["u3"].unresponsive = True
        rig.group["u2"].work = 2.0
        readers = [rig.caller("bounded") for _ in range(2)]
        await asyncio.gather(*(reader.send("READ a") for reader in readers))
        reads = [asyncio.create_task(reader.send("READ a")) for reader in readers]
        for number in range(5):
            assert (await rig.caller("own").send(f"WRITE a{number} 1")).ok
        await asyncio.gather(*reads)

    run(main())


def test_without_a_connection_to_any_replica_writes_are_refused():
    """Guards against commits in doubt after all daemons lost power.

    The replicas still count the lost connections and accept no new ones, so a daemon
    without a connection to any of them can't confirm commits.
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


def test_a_commit_without_a_replica_to_ask_is_in_doubt():
    """Guards against an acknowledged commit that is missing after a promotion.

    A daemon loses the replicas; the primary is cut off from them and replaced. A new
    member joins the old primary, which then acknowledges a commit at once. Without a
    replica to ask, such a commit must not count as confirmed even though it did not
    have to wait.
    """

    async def main():
        rig = await make_settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        cut_off(rig, "u2", "u3")
        rig.group.members.append(FakeMember(id="u4", group=rig.group))
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_an_open_transaction_that_cannot_be_confirmed_is_rolled_back():
    async def main():
        rig = await make_settled_rig()
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
    """Guards against an acknowledged commit that is missing after a promotion.

    One replica receives nothing and another is leaving; commits are acknowledged
    through the leaving one. When it has left with its log and the primary crashes, the
    first is promoted without them.
    """

    async def main():
        rig = await make_settled_rig()
        rig.group["u2"].not_receiving = True
        rig.proxy.update_members(
            [
                replace(member, leaving=True) if member.id == "u3" else member
                for member in rig.group.listing()
            ]
        )
        reply = await rig.caller("own").send("WRITE a 1")
        assert reply.refusal is Refusal.IN_DOUBT

    run(main())


def test_all_commits_that_waited_through_a_stall_are_in_doubt():
    """Guards against commits acknowledged although a takeover may lose them.

    Several commits wait while the primary and this daemon are cut off from the
    replicas. A new member then lets the primary acknowledge them together. The first
    answer must not end the stall for the others.
    """

    async def main():
        rig = await make_settled_rig()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        rig.proxy.context.dialer.dialer.cut.update({"u2", "u3"})
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


@pytest.mark.parametrize("texts", [["WRITE a 1"], ["BEGIN", "WRITE a 1"]])
def test_writes_without_any_replica_are_refused_at_once(texts):
    """Guards against callers who wait for replicas that the group has lost."""

    async def main():
        rig = await make_settled_rig()
        rig.group["u2"].crash()
        rig.group["u3"].crash()
        rig.proxy.keep_running(rig.proxy.run_maintenance)
        rig.proxy.update_members([rig.group.listing()[0]])
        await asyncio.sleep(3.0)
        caller, started_at = rig.caller("own"), rig.loop.time()
        for text in texts:
            reply = await caller.send(text)
        assert "no replica can be asked" in reply.detail
        assert reply.retry_after_ms == rig.proxy.tuning.retry_after_ms
        assert rig.loop.time() - started_at < 0.1

    run(main())


def test_entries_that_are_back_confirm_again_within_a_second():
    """Guards against unconfirmed commits for seconds after an outage of the store.

    The entries of all members were lost and are back as new ones, while no lease
    changes. The revision up to which the leases are known must advance without waiting
    for their watch to end.
    """

    async def main():
        rig = await make_settled_rig()
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
    """Guards against an acknowledged commit lost by a promotion.

    A takeover has paused the replicas; one restarts and is no longer paused. The old
    primary acknowledges a commit through it and the takeover promotes another replica.
    What it has received since its restart must not count as evidence.
    """

    async def main():
        rig = await make_settled_rig()
        lease = PromotionLease(holder="d9", token=1, revision=rig.group.next_revision())
        rig.proxy.lease_view.record("db", lease)
        restart_replicas(rig)
        caller = rig.caller("own")
        assert (await caller.send("WRITE a 1")).refusal is Refusal.IN_DOUBT
        rig.proxy.lease_view.record("db", replace(lease, settled=True))
        assert (await caller.send("WRITE a 2")).ok

    run(main())


def test_connections_that_a_takeover_finds_confirm_during_it():
    """Connections opened before a takeover confirm commits while it is under way."""

    async def main():
        rig = await make_settled_rig()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        lease = PromotionLease(holder="d9", token=1, revision=rig.group.next_revision())
        rig.proxy.lease_view.record("db", lease)
        assert (await rig.caller("own").send("WRITE a 2")).ok

    run(main())


def test_a_daemon_that_is_cut_from_the_leases_trusts_no_new_connection():
    """Guards against a commit through a replica that has restarted in a takeover.

    A daemon does not know of the takeover, as it is cut off from the store. The paused
    replica restarts, receives again, and the old primary commits through it before the
    takeover's promotion takes effect.
    """

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        await asyncio.sleep(1.0)
        cut = rig.proxies[1]
        rig.cut_from_leases(cut)
        for name in ("u2", "u3"):
            rig.group[name].paused = rig.group.term + 1
        results = []
        writing = asyncio.create_task(write_for(rig, cut, 4.0, results))
        lease = await rig.leases.acquire("db", "d9", rig.leases.lease)
        await rig.promoter.promote("db", "u3", "d9", lease.token)
        rig.group["u2"].crash()
        await asyncio.sleep(0.05)
        rig.group["u2"].restart()
        await writing
        assert [name for name, _ in rig.group.promotions] == ["u3"]
        check_nothing_lost(rig, results)

    run(main())


def test_connections_newer_than_the_watch_confirm_once_the_lease_is_read():
    """Guards against commits in doubt for the seconds until the next watch ends."""

    async def main():
        rig = await make_settled_rig()
        rig.stop_watch(rig.proxy)
        restart_replicas(rig)
        await asyncio.sleep(1.0)
        assert (await rig.caller("own").send("WRITE a 1")).ok
        assert (await rig.caller("own").send("WRITE a 2")).ok

    run(main())


def test_writes_that_no_trusted_replica_could_confirm_are_refused():
    """Guards against writes in doubt while a daemon is cut off from the store.

    All its connections to replicas were reset after the watch's last answer.
    """

    async def main():
        rig = await make_settled_rig()
        rig.cut_from_leases(rig.proxy)
        restart_replicas(rig)
        await asyncio.sleep(1.0)
        await rig.caller("own").send("WRITE first 1")
        runs = rig.group["u1"].runs
        for _ in range(3):
            await asyncio.sleep(0.05)
            reply = await rig.caller("own").send("WRITE a 1")
            assert reply.refusal is Refusal.BUSY
        assert rig.group["u1"].runs == runs

    run(main())
