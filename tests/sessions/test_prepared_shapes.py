"""Prepared shapes that hold blanks, and shapes and values that upstreams refuse."""

import pytest

from gypsum_sessions.replies import Refusal
from gypsum_sessions.upstreams.pooled import prepared_name
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from tests.standins.wirereader import read_text

SHAPES = ["stock", "stock READ price", "stock WRITE price", "stock  READ", "READ", " x"]


def test_each_session_runs_the_shape_that_it_prepared():
    """Guards against a shape with blanks being read as part of a prepared name."""

    async def main():
        rig = Rig()
        await rig.settle()
        wanted = {}
        callers = [(rig.caller("primary"), shape) for shape in SHAPES]
        for caller, shape in callers:
            assert (await caller.send(f"PREPARE p READ {shape}")).ok
        for _ in range(2):
            for caller, shape in callers:
                wanted[caller.next_request] = (shape, False)
                assert (await caller.send("EXECUTE p item")).ok
        ran = {request: rest for request, *rest in executed(rig)}
        assert ran == {request: list(shape) for request, shape in wanted.items()}

    run(main())


async def refusing_rig():
    """A daemon whose upstreams refuse to prepare any shape."""
    rig = Rig()
    await rig.settle()
    for member in rig.group.members:
        member.refuses_shapes = True
    return rig


def executed(rig):
    """The prepared statements that all upstreams ran."""
    return [item for member in rig.group.members for item in member.executed]


def test_names_at_upstreams_are_one_field():
    """Guards against names in which an upstream finds further fields."""
    names = {prepared_name(shape, writes) for shape in SHAPES for writes in (0, 1)}
    assert len(names) == 2 * len(SHAPES)
    for name in names:
        assert read_text(f"EXECUTE {name} item").name == name


@pytest.mark.parametrize("access", ["READ", "WRITE"])
def test_a_shape_that_the_upstream_refuses_is_reported_as_such(access):
    """Guards against BUSY at each EXECUTE, after which a caller retries for good."""

    async def main():
        rig = await refusing_rig()
        caller = rig.caller("own")
        assert (await caller.send(f"PREPARE p {access} no shape")).ok
        began = rig.loop.time()
        reply = await caller.send("EXECUTE p item data")
        assert reply.refusal is Refusal.MALFORMED
        assert reply.detail.startswith("not run, prepare")
        assert rig.loop.time() - began < 0.2
        assert (await caller.send("READ item")).ok
        assert (await caller.send("WRITE item data")).ok

    run(main())


def test_a_shape_that_is_refused_ends_only_its_own_transaction():
    async def main():
        rig = await refusing_rig()
        caller = rig.caller("own")
        await caller.send("PREPARE p READ no shape")
        for first in ([], ["WRITE a 1"]):
            await caller.send("BEGIN")
            for text in first:
                assert (await caller.send(text)).ok
            reply = await caller.send("EXECUTE p item")
            assert reply.refusal in (Refusal.MALFORMED, Refusal.ABORTED)
            assert "prepare" in reply.detail
            assert (await caller.send("ROLLBACK")).ok
        assert (await caller.send("WRITE a 2")).ok

    run(main())
