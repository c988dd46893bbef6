"""Takeovers while members are off the list or a leader was never proven."""

import asyncio

from gypsum_sessions.takeover.attempt import DEPARTED_MEMBER_TIMEOUT
from tests.sessions.chaos import sync_member_lists
from tests.sessions.fakegroup import PROMOTE_TIME
from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def start_listing(rig):
    """Keep the member list and its grace periods up to date as in a daemon."""
    for proxy in rig.proxies:
        proxy.keep_running(proxy.run_maintenance)
    rig.proxy.keep_running(lambda: sync_member_lists(rig))


async def lose_the_only_copy(rig):
    """Commit at u1 and u3 but not at u2, then crash u1 and u3."""
    rig.group["u2"].not_receiving = True
    assert (await rig.caller("own").send("WRITE a 1")).ok
    await asyncio.sleep(0.5)
    rig.group["u1"].crash()
    rig.group["u3"].crash()
    rig.group["u2"].not_receiving = False


def test_a_log_that_lacks_the_primarys_position_is_not_promoted():
    """Guards against losing an acknowledged commit with a promotion.

    One replica is behind. The other, through which the commit was acknowledged, crashes
    together with the primary, goes off the list and returns seconds later. The one that
    is behind is the only member left and must not be promoted meanwhile.
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


def test_a_log_with_the_primarys_position_is_promoted_without_the_others():
    """Departed members do not delay the promotion of a log that lacks no commit."""

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


def test_a_departed_primary_with_an_unacknowledged_tail_is_not_waited_for():
    """Guards against writes stalling for fifteen seconds after a primary is gone.

    A commit waits at the primary that no replica receives. The primary crashes while a
    replica is unreachable, and is off the list when that replica returns. A commit
    that was never acknowledged must not be waited for.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        rig.group["u1"].cut_from.update({"u2", "u3"})
        writing = asyncio.create_task(rig.caller("own").send("WRITE a 1"))
        await asyncio.sleep(0.5)
        rig.group["u3"].unresponsive = True
        rig.group["u1"].crash()
        assert not (await writing).ok
        await asyncio.sleep(7.0)
        assert rig.group.promotions == []
        rig.group["u3"].unresponsive = False
        await asyncio.sleep(3.0)
        assert len(rig.group.promotions) == 1

    run(main())


def test_members_that_never_return_are_waited_for_only_until_the_timeout():
    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        await lose_the_only_copy(rig)
        await asyncio.sleep(DEPARTED_MEMBER_TIMEOUT + 12.0)
        assert [name for name, _ in rig.group.promotions] == ["u2"]

    run(main())


def test_a_former_primary_that_follows_is_paused_like_the_others():
    """Guards against losing an acknowledged commit with a promotion.

    A daemon that is cut off from the new primary knows only the old one, which is a
    replica by now and the only one with a commit. The new primary crashes and goes off
    the list. Unless the daemon asks the old primary too, it promotes the other replica.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        await rig.settle()
        cut, other = rig.proxies
        other.takeovers["db"].backoff_until = float("inf")
        cut.context.dialer.dialer.cut.add("u2")
        for conn in list(rig.group["u2"].conns):
            conn.silent = conn.dialer is cut.context.dialer.dialer
        rig.group["u3"].not_receiving = True
        rig.group.promote("u2")
        await other.groups["db"].watch.wait_leader(1.0)
        await asyncio.sleep(0.5)
        assert (await rig.caller("own", other).send("WRITE a 1")).ok
        rig.group["u2"].crash()
        rig.group["u3"].not_receiving = False
        await asyncio.sleep(9.0)
        assert rig.group.promotions[1:] == [("u1", [])]

    run(main())


def test_after_a_restart_of_all_daemons_a_dead_primary_is_not_waited_for():
    """Guards against refusing writes for six seconds after a power loss.

    The primary dies and all daemons restart at the same time. They have no proof of any
    leader and would wait for all listed members, including the dead primary.
    """

    async def main():
        rig = Rig(daemons=2)
        start_listing(rig)
        rig.group["u1"].unresponsive = True
        await asyncio.sleep(0.7 + 1.0 + PROMOTE_TIME)
        assert rig.group.leader is not rig.group["u1"]

    run(main())
