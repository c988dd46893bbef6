"""Reads that still run at a slow upstream after another one has answered them."""

from dataclasses import replace

from gypsum_sessions.replies import Refusal
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

# What a statement takes at the replicas, seconds: longer than a read is left alone, and
# than a third of a second after that.
SLOW = 0.9
# When the second replica is asked as well, and the leader after it, seconds.
SECOND_ASKED = 0.25


async def make_rig(**fleet):
    """Daemons over a group whose replicas have become slow."""
    rig = Rig(**fleet)
    await rig.settle()
    for member in rig.group.replicas():
        member.work = SLOW
    return rig


def patient(route):
    """The same route with a long time for each statement."""
    return replace(route, statement_timeout=5.0)


async def read_elsewhere(rig, caller):
    """A read that a slow replica got first, and the leader answered; when it began."""
    began = rig.loop.time()
    assert (await caller.send("READ a")).ok
    assert rig.loop.time() - began < SLOW
    return began


def test_values_change_once_no_read_runs_with_the_old_ones():
    """Symptom: `PINNED c5t7-34: values {}`, a read ran without the session's value.

    Sequence: a replica is slow, the read is asked elsewhere and answered, its caller
    sets a value and is told so after 0.3 s; the replica runs the read a moment later.
    Cause: the connection was closed, but the replica had received the read before.
    """

    async def main():
        rig = await make_rig()
        caller = rig.caller("own")
        began = await read_elsewhere(rig, caller)
        assert (await caller.send("SET zone north")).ok
        assert rig.loop.time() - began >= SLOW

    run(main())


def test_the_same_holds_for_reads_that_an_owner_still_runs():
    async def main():
        rig = await make_rig(daemons=5, max_connections=9)
        caller = rig.caller("own", rig.others()[0])
        began = await read_elsewhere(rig, caller)
        assert (await caller.send("SET zone north")).ok
        assert SLOW <= rig.loop.time() - began < SLOW + SECOND_ASKED + 0.1

    run(main())


def test_values_change_as_soon_as_an_owner_tells_that_the_read_has_ended():
    """Symptom: SET is refused although the read ended long before.

    Sequence: a route gives a statement five seconds, an owner answers a read that still
    runs elsewhere, for a moment. Cause: all of the five seconds were waited for.
    """

    async def main():
        rig = await make_rig(daemons=5, max_connections=9)
        other = rig.others()[0]
        route = other.catalog.route("bounded")
        other.catalog.current.routes["bounded"] = patient(route)
        caller = rig.caller("bounded", other)
        began = await read_elsewhere(rig, caller)
        assert (await caller.send("SET zone north")).ok
        assert SLOW <= rig.loop.time() - began < SLOW + SECOND_ASKED + 0.1

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
    """The replica answers nothing for longer than anyone waits: SET is refused."""

    async def main():
        rig = await make_rig()
        for member in rig.group.replicas():
            member.work = 20.0
        caller = rig.caller("bounded")
        route = rig.proxy.catalog.route("bounded")
        rig.proxy.catalog.current.routes["bounded"] = patient(route)
        assert (await caller.send("READ a")).ok
        began = rig.loop.time()
        reply = await caller.send("SET zone north")
        assert reply.refusal is Refusal.BUSY
        assert rig.loop.time() - began < 1.1
        assert caller.session.values == {}

    run(main())


def test_values_change_at_once_where_nothing_is_left_over():
    async def main():
        rig = Rig()
        await rig.settle()
        caller = rig.caller("own")
        assert (await caller.send("READ a")).ok
        began = rig.loop.time()
        assert (await caller.send("SET zone north")).ok
        assert rig.loop.time() == began

    run(main())
