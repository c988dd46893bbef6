"""Large values, shapes, statements and answers on the links between daemons."""

import asyncio

from gypsum_links.frames import MAX_MESSAGE_BYTES
from gypsum_platform.codec import MESSAGE_LIMIT as LINE_LIMIT
from gypsum_sessions.callers.session import STATE_LIMIT
from gypsum_sessions.daemons.peermessages import MESSAGE_LIMIT
from gypsum_sessions.replies import Refusal, SessionState
from tests.sessions.fakegroup import FakeMember
from tests.sessions.owners import open_transaction, owners_rig
from tests.sessions.vclock import run

# Two bytes in a message between daemons.
WIDE = "\xff"


def test_the_limits_of_links_and_messages_agree():
    assert MESSAGE_LIMIT == MAX_MESSAGE_BYTES


def test_the_largest_statement_of_a_session_with_the_most_state_fits_on_a_link():
    """Guards against a link that is closed, and all statements on it lost."""

    async def main():
        rig = await owners_rig()
        other, _ = await open_transaction(rig)
        caller = rig.caller("own", rig.others()[0])
        half = WIDE * (STATE_LIMIT // 2 - 100)
        assert (await caller.send(f"SET a {half}")).ok
        assert (await caller.send(f"PREPARE p WRITE {half}")).ok
        data = WIDE * (LINE_LIMIT - 100)
        assert (await caller.send(f"EXECUTE p item {data}")).ok
        assert (await caller.send(f"WRITE item {data}")).ok
        assert (await other.send("COMMIT")).ok

    run(main())


def test_values_and_shapes_beyond_the_limit_are_refused():
    async def main():
        rig = await owners_rig()
        caller = rig.caller("own", rig.others()[0])
        text = "x" * (STATE_LIMIT // 2)
        assert (await caller.send(f"SET a {text}")).ok
        assert (await caller.send(f"SET a {text}")).ok
        for statement in ("SET b", "PREPARE p READ"):
            reply = await caller.send(f"{statement} {text}")
            assert reply.refusal is Refusal.TOO_LARGE
            assert reply.detail.startswith("not run")
        assert (await caller.send("SET a short")).ok
        assert (await caller.send(f"PREPARE p READ {text}")).ok
        assert caller.session.values == {"a": "short"}

    run(main())


def test_an_answer_that_no_link_carries_is_refused_and_harms_no_other(monkeypatch):
    """Guards against a link that is closed, and all statements on it lost."""

    async def main():
        rig = await owners_rig()
        other, _ = await open_transaction(rig)
        caller = rig.caller("own", rig.others()[0])
        usual = FakeMember.value
        monkeypatch.setattr(FakeMember, "value", lambda *args: WIDE * MESSAGE_LIMIT)
        assert (await caller.send("READ a")).refusal is Refusal.TOO_LARGE
        await caller.send("BEGIN")
        reply = await caller.send("READ a")
        assert reply.refusal is Refusal.TOO_LARGE
        assert reply.state is SessionState.FAILED
        monkeypatch.setattr(FakeMember, "value", usual)
        assert (await caller.send("ROLLBACK")).ok
        assert (await other.send("COMMIT")).ok
        await asyncio.sleep(0.1)
        for proxy in rig.owners():
            assert not any(handler.transactions for handler in proxy.peer_handlers)

    run(main())
