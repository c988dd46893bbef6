"""Takeovers while members are off the list, or were not seen to lead."""

import asyncio

from gypsum_sessions.takeover.attempt import DEPARTED_WAIT
from tests.sessions.chaos import sync_member_lists
from tests.sessions.fakegroup import PROMOTE_TIME
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def start_listing(rig):
    """The list and its graces work as in a daemon."""
    for proxy in rig.proxies:
        proxy.keep_running(proxy.run_maintenance)
    rig.proxy.keep_running(lambda: sync_member_lists(rig))


async def lose_the_only_copy(rig):
    """A commit that u1 and u3 have, u2 has not, and then u1 and u3 crash."""
    rig.group["u2"].deaf = True
    assert (await rig.caller("own").send("WRITE a 1")).ok
    await asyncio.sleep(0.5)
    rig.group["u1"].crash()
    rig.group["u3"].crash()
    rig.group["u2"].deaf = False


def test_a_log_that_lacks_what_the_primary_showed_is_not_promoted():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: one replica is behind; the other, which had acknowledged the commit,
    crashes together with the primary and falls off the list; the one that is behind
    is all that is left, and is promoted; seconds later the crashed one is back.
    Cause: what is off the list was taken as gone for good.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        await lose_the_only_copy(rig)
        await asyncio.sleep(9.0)
        assert rig.group.promotions == []
        rig.group["u3"].restart()
        await asyncio.sleep(6.0)
        assert [name for name, _ in rig.group.promotions] == ["u3"]
        assert rig.group.promotions[0][1] == []

    run(main())


def test_a_log_with_all_that_was_shown_is_promoted_without_the_others():
    """The counterpart: members that are gone hold up nobody who lacks nothing."""

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        assert (await rig.caller("own").send("WRITE a 1")).ok
        await asyncio.sleep(0.5)
        rig.group["u1"].crash()
        rig.group["u3"].crash()
        await asyncio.sleep(9.0)
        assert [name for name, _ in rig.group.promotions] == ["u2"]
        assert rig.group.promotions[0][1] == []

    run(main())


def test_a_primary_that_is_gone_with_an_unacknowledged_tail_is_not_waited_for():
    """Symptom: writes stand still for fifteen seconds after a primary is gone.

    Sequence: a commit waits at the primary that no replica receives; the primary
    crashes while a replica is out of reach, and is off the list when that is back.
    Cause: the tail that nobody was told of was waited for.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        writing = asyncio.create_task(rig.caller("own").send("WRITE a 1"))
        await asyncio.sleep(0.5)
        rig.group["u3"].dark = True
        rig.group["u1"].crash()
        assert not (await writing).ok
        await asyncio.sleep(7.0)
        assert rig.group.promotions == []
        rig.group["u3"].dark = False
        await asyncio.sleep(3.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_members_that_never_come_back_are_waited_for_within_bounds():
    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        await lose_the_only_copy(rig)
        await asyncio.sleep(DEPARTED_WAIT + 12.0)
        assert [name for name, _ in rig.group.promotions] == ["u2"]

    run(main())


def test_a_former_primary_that_follows_is_paused_like_the_others():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: a daemon that is cut from the new primary knows only the old one, which
    follows by now and is the only replica with a commit; the new primary crashes and
    falls off the list; the daemon pauses and promotes the other replica. Cause: the
    member that it saw lead last was not asked.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        cut, other = rig.proxies
        other.takeovers["db"].rest_until = float("inf")
        cut.around.dialer.dialer.cut.add("u2")
        for conn in list(rig.group["u2"].conns):
            conn.silent = conn.dialer is cut.around.dialer.dialer
        rig.group["u3"].deaf = True
        rig.group.promote("u2")
        await other.groups["db"].watch.wait_leader(1.0)
        await asyncio.sleep(0.5)
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        rig.group["u2"].crash()
        rig.group["u3"].deaf = False
        await asyncio.sleep(9.0)
        assert rig.group.promotions[1:] == [("u1", [])]

    run(main())


def test_after_a_restart_of_all_daemons_a_dead_primary_is_not_waited_for():
    """Symptom: writes are refused for six seconds after a power loss.

    Sequence: the primary dies, all daemons lose power just then, and come back. Cause:
    they had seen nobody lead, and waited for all members that were listed.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        rig.group["u1"].dark = True
        await asyncio.sleep(0.7 + 1.0 + PROMOTE_TIME)
        assert rig.group.leader is not rig.group["u1"]

    run(main())
