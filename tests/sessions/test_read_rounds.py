"""Reads that all upstreams refuse at first."""

import asyncio

from tests.sessions.rig import Rig
from tests.sessions.vclock import run


def test_a_read_that_all_upstreams_refused_is_sent_again():
    """Guards against a read that waits for its deadline without being sent again."""

    async def main():
        rig = Rig()
        await rig.settle()
        for member in rig.group.members:
            member.full = True
            rig.loop.call_later(0.1, setattr, member, "full", False)
        began = rig.loop.time()
        reply = await asyncio.wait_for(rig.caller().send("READ a"), 2.0)
        assert reply.ok
        assert rig.loop.time() - began < 0.3

    run(main())
