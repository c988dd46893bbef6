"""Sessions over a group: statements, values, prepared names, transactions."""

import asyncio

from gypsum_sessions.catalog import ReadRule
from gypsum_sessions.replies import Refusal, SessionState
from tests.sessions.rig import Rig, catalog
from tests.sessions.vclock import run


def test_a_write_is_read_back_by_the_same_session():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        wrote = await caller.send("WRITE item one")
        read = await caller.send("READ item")
        assert wrote.ok and wrote.proof
        assert read.rows == ("one",)

    run(main())


def test_bounded_reads_go_to_replicas():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("bounded")
        for _ in range(50):
            assert (await caller.send("READ item")).ok
            await asyncio.sleep(0.02)
        served_by = [member for _, member, _ in rig.group.reads]
        assert served_by.count("u1") == 0

    run(main())


def test_primary_reads_go_to_the_leader():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("primary")
        assert (await caller.send("READ item")).ok
        assert [member for _, member, _ in rig.group.reads] == ["u1"]

    run(main())


def test_values_of_one_session_are_not_seen_by_another():
    async def main():
        rig = Rig()
        await rig.settle()
        first, second = rig.caller("primary"), rig.caller("primary")
        await first.send("SET tz Budapest")
        await first.send("READ item")
        used = [item for item in rig.group["u1"].conns if item.values]
        assert [item.values for item in used] == [{"tz": "Budapest"}]
        await second.send("READ item")
        assert all(item.values == {} for item in rig.group["u1"].conns)

    run(main())


def test_sessions_may_prepare_different_statements_under_the_same_name():
    async def main():
        rig = Rig()
        await rig.settle()
        first, second = rig.caller("primary"), rig.caller("primary")
        await first.send("PREPARE s WRITE put")
        await second.send("PREPARE s READ get")
        assert (await first.send("EXECUTE s item data")).ok
        assert (await second.send("EXECUTE s item")).rows == ("data",)
        gone = await first.send("DEALLOC s")
        assert gone.ok
        unknown = await first.send("EXECUTE s item data")
        assert unknown.refusal is Refusal.UNKNOWN_NAME

    run(main())


def test_transaction_holds_one_connection_and_commits_atomically():
    async def main():
        rig = Rig()
        await rig.settle()
        caller, other = rig.caller("own"), rig.caller("primary")
        assert (await caller.send("BEGIN")).state is SessionState.IN_TRANSACTION
        await caller.send("WRITE a 1")
        await caller.send("WRITE b 2")
        assert (await other.send("READ a")).rows == ("",)
        committed = await caller.send("COMMIT")
        assert committed.ok and committed.proof
        assert committed.state is SessionState.IDLE
        assert (await other.send("READ b")).rows == ("2",)

    run(main())


def test_rollback_keeps_nothing():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        assert (await caller.send("ROLLBACK")).state is SessionState.IDLE
        assert rig.group.commits == 0
        assert (await caller.send("READ a")).rows == ("",)

    run(main())


def test_a_caller_that_pauses_after_begin_holds_no_connection():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        group = rig.proxy.groups["db"]
        assert all(item.pool.in_use == 0 for item in group.upstreams.values())

    run(main())


def test_idle_transaction_is_rolled_back_and_the_caller_notified():
    async def main():
        rig = Rig()
        await rig.settle()
        rig.proxy.keep_running(rig.proxy.run_maintenance)
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        await asyncio.sleep(4.0)
        late = await caller.send("COMMIT")
        assert late.refusal is Refusal.ABORTED
        assert late.state is SessionState.IDLE
        assert rig.group.commits == 0

    run(main())


def test_in_a_failed_transaction_only_its_end_is_accepted():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN READ")
        failed = await caller.send("WRITE a 1")
        assert failed.refusal is Refusal.ABORTED
        assert failed.state is SessionState.FAILED
        assert (await caller.send("READ a")).refusal is Refusal.MALFORMED
        assert (await caller.send("ROLLBACK")).state is SessionState.IDLE
        assert (await caller.send("READ a")).ok

    run(main())


def test_a_removed_route_is_refused_from_the_next_transaction_on():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        await caller.send("BEGIN")
        await caller.send("WRITE a 1")
        without = catalog(2)
        del without.routes["own"]
        rig.proxy.offer_catalog(without, "test")
        assert (await caller.send("COMMIT")).ok
        refused = await caller.send("READ a")
        assert refused.refusal is Refusal.UNKNOWN_DATABASE
        assert rig.proxy.open_session("own") is None

    run(main())


def test_an_older_configuration_is_never_applied():
    async def main():
        rig = Rig(version=5)
        rig.proxy.offer_catalog(catalog(4), "late answer")
        assert rig.proxy.catalog.version == 5
        rig.proxy.offer_catalog(catalog(7), "store")
        assert rig.proxy.catalog.version == 7

    run(main())


def test_a_changed_rule_applies_to_the_next_statement():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("bounded")
        changed = catalog(2, bounded={"rule": ReadRule.PRIMARY, "max_age": 0.0})
        rig.proxy.offer_catalog(changed, "test")
        await caller.send("READ a")
        assert rig.group.reads[-1][1] == "u1"

    run(main())
