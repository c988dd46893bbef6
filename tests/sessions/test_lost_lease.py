"""Promotion leases that the store lost as it returned from an older copy."""

import asyncio

from gypsum_sessions.interfaces import PromotionLease
from gypsum_sessions.takeover.reasons import Reason
from tests.sessions.rig import Rig
from tests.sessions.test_leaseboard import lease, make_board
from tests.sessions.vclock import run


def test_a_lost_lease_is_left_to_its_holder_for_as_long_as_any_other():
    """Guards against a second takeover beside that of the holder."""

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        first, second = rig.proxies
        before = rig.leases.lease
        assert await first.takeovers["db"].take_lease(Reason.NO_PRIMARY)
        held = first.takeovers["db"].lease
        await asyncio.sleep(0.1)
        rig.leases.lease = before
        assert not await second.takeovers["db"].take_lease(Reason.NO_PRIMARY)
        await asyncio.sleep(second.tuning.lease_min_age)
        assert await second.takeovers["db"].take_lease(Reason.NO_PRIMARY)
        taken = second.takeovers["db"].lease
        assert taken.token > held.token
        assert taken.takeover_start == held.takeover_start

    run(main())


def test_the_lease_that_the_store_has_goes_before_an_older_one():
    board, _ = make_board()
    board.note("g", lease(4, 8))
    assert board.newest("g", lease(5, 9)) == lease(5, 9)
    assert board.newest("h", lease(1, 9)) == lease(1, 9)


def test_a_lost_lease_is_taken_over_at_the_revision_that_the_store_has():
    board, _ = make_board()
    board.note("g", lease(4, 8))
    seen = PromotionLease(holder="", token=0, revision=0)
    found = board.newest("g", seen)
    assert (found.holder, found.token, found.revision) == ("d", 4, 0)
    assert found.next_chain_start == 8
