"""Tests that messages survive encoding and that invalid bytes are refused."""

import pytest

from gypsum_core.messages import (
    Answered,
    Changes,
    Digest,
    Forward,
    InstanceChanges,
    ManifestEntry,
    Ping,
)
from gypsum_core.records import (
    Answer,
    Outcome,
    Position,
    Reason,
    Request,
    Result,
    Statement,
    Verb,
)
from gypsum_core.spec import Instance, InstanceRole
from gypsum_links.codec import CodecError, decode, encode

REQUEST = Request(
    id="r1",
    verb=Verb.QUERY,
    database="grid",
    member="north",
    deadline=1.5,
    statement=Statement(sql="select %s", params=("a", 1, None, 2.5)),
    session=Position(term=2, index=7),
)
ANSWER = Answer(
    request="r1",
    outcome=Outcome.UNKNOWN,
    reason=Reason.DEADLINE,
    result=Result(columns=("a", "b"), rows=((1, "x"), (None, "y"))),
    position=Position(term=2, index=8),
)
INSTANCE = Instance(id="d1", role=InstanceRole.DAEMON, domain="fd1", leaving=True)


@pytest.mark.parametrize(
    "message",
    [
        Forward(request=REQUEST),
        Answered(answer=ANSWER),
        Changes(entries=(ManifestEntry(database="g", version=3, body="{}"),)),
        Digest(digest="00", revision=4),
        InstanceChanges(base=1, revision=2, changed=(INSTANCE,), removed=("d2",)),
        Ping(nonce=5),
    ],
    ids=lambda message: type(message).__name__,
)
def test_messages_survive_encoding_and_decoding(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x82", encode(Ping(nonce=1))[:-1]])
def test_truncated_or_invalid_bytes_are_refused(data):
    """Guards against a response that is truncated in transit and decoded as whole."""
    with pytest.raises(CodecError):
        decode(data)


def test_unknown_message_is_refused():
    with pytest.raises(CodecError, match="unknown message"):
        decode(b"\x82\x63Abc\xa0")
