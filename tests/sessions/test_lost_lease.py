"""Promotion leases that the store lost when it was restored from an older copy."""

import asyncio

from gypsum_sessions.interfaces import PromotionLease
from gypsum_sessions.takeover.reasons import Reason
from tests.sessions.rig import Rig
from tests.sessions.test_lease_view import lease, make_view
from tests.sessions.vclock import run


def test_a_lost_lease_is_left_to_its_holder_for_as_long_as_any_other():
    """Guards against a second takeover concurrent with that of the lease's holder."""

    async def main():
        rig = Rig(daemons=2)
        await rig.settle()
        first, second = rig.proxies
        before = rig.leases.lease
        assert await first.takeovers["db"].acquire_lease(Reason.NO_PRIMARY)
        held = first.takeovers["db"].lease
        await asyncio.sleep(0.1)
        rig.leases.lease = before
        assert not await second.takeovers["db"].acquire_lease(Reason.NO_PRIMARY)
        await asyncio.sleep(second.tuning.lease_min_age)
        assert await second.takeovers["db"].acquire_lease(Reason.NO_PRIMARY)
        taken = second.takeovers["db"].lease
        assert taken.token > held.token
        assert taken.takeover_start == held.takeover_start

    run(main())


def test_the_lease_in_the_store_takes_precedence_over_an_older_one():
    view, _ = make_view()
    view.record("g", lease(4, 8))
    assert view.newest("g", lease(5, 9)) == lease(5, 9)
    assert view.newest("h", lease(1, 9)) == lease(1, 9)


def test_a_lost_lease_is_taken_over_at_the_revision_that_the_store_has():
    view, _ = make_view()
    view.record("g", lease(4, 8))
    seen = PromotionLease(holder="", token=0, revision=0)
    found = view.newest("g", seen)
    assert (found.holder, found.token, found.revision) == ("d", 4, 0)
    assert found.next_chain_start == 8
