"""Compatibility of messages between daemons of two versions."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsum_core.records import Position
from gypsum_sessions.daemons import peermessages
from gypsum_sessions.daemons.peermessages import (
    StatementRequest,
    StatementResponse,
    decode,
    encode,
)
from gypsum_sessions.replies import Reply
from gypsum_sessions.statements import Statement, StatementKind
from tests.sessions.rig import catalog

# The fields of each message in order. New fields may only be appended.
FIELD_ORDER = {
    "StatementRequest": (
        "call request statement route left values prepared own_floor transaction "
        "first opens_writing values_set if_led last_resort hears_ends credential"
    ),
    "StatementResponse": (
        "call reply tried served_by role floor floor_age unable unfinished queue "
        "orphaned left_out accepts_abandon wait_ms pace_ms"
    ),
    "AbandonStatement": "call",
    "ReadEnded": "call orphaned",
    "EndTransaction": "transaction",
    "Leaving": "opens_for",
    "ServeGroup": "group",
    "LeaderRequest": "call group",
    "LeaderResponse": "call proof_age shown",
    "GrantRequest": ("call workspace wanted cap forwarded waiting reporter elsewhere"),
    "GrantResponse": "call granted wait granter priorities",
    "Follow": "revisions",
    "Unfollow": "",
    "FeedUpdate": "feed revision changed since removed whole",
    "Heartbeat": "feeds watches",
    "FetchList": "feed",
    "ListPiece": "feed revision number total data",
}
# How many of these fields daemons of the first version send.
FIRST_VERSION = {
    "StatementRequest": 13,
    "StatementResponse": 8,
    "ReadEnded": 1,
    "Leaving": 0,
    "LeaderResponse": 2,
    "GrantRequest": 5,
    "GrantResponse": 3,
    "Heartbeat": 1,
}


@pytest.mark.parametrize("name", FIELD_ORDER)
def test_fields_keep_their_positions(name):
    """Guards against a field added in the middle of a message.

    During a rolling upgrade it fails with `Expected `float`, got `bool` - at `$[8]``,
    and requests in flight between two daemons are in doubt.
    """
    message = getattr(peermessages, name)
    assert list(message.__struct_fields__) == FIELD_ORDER[name].split()


@pytest.mark.parametrize("name", FIRST_VERSION)
def test_fields_added_later_may_be_missing(name):
    message = getattr(peermessages, name)
    later = FIELD_ORDER[name].split()[FIRST_VERSION[name] :]
    assert later
    assert set(later) <= set(message.__struct_fields__)
    assert len(message.__struct_defaults__) >= len(later)


def test_messages_of_another_version_are_decoded():
    answer = StatementResponse(
        call=7, reply=Reply(), floor=Position(term=1, index=2), unable=True
    )
    items = cbor2.loads(encode(answer))
    older = items[: 1 + FIRST_VERSION["StatementResponse"]]
    assert decode(cbor2.dumps(older)) == answer
    assert decode(cbor2.dumps([*items, "of a later version"])) == answer


# Every byte of the wire is one character here.
TEXTS = st.text(alphabet=[chr(code) for code in range(256)], max_size=12)


@given(name=TEXTS, value=TEXTS, shape=TEXTS, data=TEXTS)
def test_texts_of_callers_reach_another_daemon_whole(name, value, shape, data):
    request = StatementRequest(
        call=1,
        request=name,
        statement=Statement(
            kind=StatementKind.EXECUTE, name=name, argument=data, writes=True
        ),
        route=catalog().routes["own"],
        left=1.0,
        values={name: value},
        prepared=((shape, True),),
    )
    assert decode(encode(request)) == request
    answer = StatementResponse(call=1, reply=Reply(rows=(data, value), proof=name))
    assert decode(encode(answer)) == answer
