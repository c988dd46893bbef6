"""Reads that still run at a slow upstream after another one answered them."""

from dataclasses import replace

from gypsum_sessions.replies import Refusal
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

# How long a statement takes at the replicas, seconds: longer than the delay before a
# read is sent to another upstream as well, plus a third of a second.
SLOW_STATEMENT = 0.9
# Delay before the second replica is asked as well, and then the leader, seconds.
HEDGE_DELAY = 0.25


async def make_rig(**fleet):
    """A rig with a group whose replicas have become slow."""
    rig = Rig(**fleet)
    await rig.settle()
    for member in rig.group.replicas():
        member.work = SLOW_STATEMENT
    return rig


def with_long_timeout(route):
    """The same route with a long statement timeout."""
    return replace(route, statement_timeout=5.0)


async def read_elsewhere(rig, caller):
    """Run a read that starts at a slow replica and is answered by the leader.

    Returns the time at which it began.
    """
    began = rig.loop.time()
    assert (await caller.send("READ a")).ok
    assert rig.loop.time() - began < SLOW_STATEMENT
    return began


def test_values_change_once_no_read_runs_with_the_old_ones():
    """Guards against a read that runs with a session value that was set after it.

    A replica is slow and another upstream answers the read. Its caller sets a value and
    gets the reply after 0.3 s, then the replica runs the read: closing the connection
    does not stop a read that the replica has already received. The random runs report
    this as `PINNED c5t7-34: values {}`.
    """

    async def main():
        rig = await make_rig()
        caller = rig.caller("own")
        began = await read_elsewhere(rig, caller)
        assert (await caller.send("SET zone north")).ok
        assert rig.loop.time() - began >= SLOW_STATEMENT

    run(main())


def test_the_same_holds_for_reads_that_an_owner_still_runs():
    async def main():
        rig = await make_rig(daemons=5, max_connections=9)
        caller = rig.caller("own", rig.others()[0])
        began = await read_elsewhere(rig, caller)
        assert (await caller.send("SET zone north")).ok
        assert (
            SLOW_STATEMENT
            <= rig.loop.time() - began
            < SLOW_STATEMENT + HEDGE_DELAY + 0.1
        )

    run(main())


def test_values_change_as_soon_as_an_owner_reports_that_the_read_has_ended():
    """Guards against refusing SET although the read ended long before.

    On a route with a statement timeout of five seconds an owner answers a read that
    still runs briefly at another upstream. Without a message that it has ended, SET
    would wait for all of the five seconds.
    """

    async def main():
        rig = await make_rig(daemons=5, max_connections=9)
        other = rig.others()[0]
        route = other.catalog.route("bounded")
        other.catalog.current.routes["bounded"] = with_long_timeout(route)
        caller = rig.caller("bounded", other)
        began = await read_elsewhere(rig, caller)
        assert (await caller.send("SET zone north")).ok
        assert (
            SLOW_STATEMENT
            <= rig.loop.time() - began
            < SLOW_STATEMENT + HEDGE_DELAY + 0.1
        )

    run(main())


def test_a_read_whose_owner_went_silent_may_still_run():
    async def main():
        rig = await make_rig(daemons=5, max_connections=9)
        other = rig.others()[0]
        caller = rig.caller("own", other)
        rig.links.freeze(other.access("db").owners()[0])
        began = rig.loop.time()
        assert (await caller.send("READ a")).ok
        assert (await caller.send("SET zone north")).ok
        assert rig.loop.time() - began >= 1.0

    run(main())


def test_values_do_not_change_while_a_read_may_run_for_long():
    """SET is refused when the replica answers later than the longest wait."""

    async def main():
        rig = await make_rig()
        for member in rig.group.replicas():
            member.work = 20.0
        caller = rig.caller("bounded")
        route = rig.proxy.catalog.route("bounded")
        rig.proxy.catalog.current.routes["bounded"] = with_long_timeout(route)
        assert (await caller.send("READ a")).ok
        began = rig.loop.time()
        reply = await caller.send("SET zone north")
        assert reply.refusal is Refusal.BUSY
        assert rig.loop.time() - began < 1.1
        assert caller.session.values == {}

    run(main())


def test_values_change_at_once_when_no_read_is_pending():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        assert (await caller.send("READ a")).ok
        began = rig.loop.time()
        assert (await caller.send("SET zone north")).ok
        assert rig.loop.time() == began

    run(main())
