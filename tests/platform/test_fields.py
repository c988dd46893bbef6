"""Texts of callers and of the configuration in lines to upstreams and callers."""

import string

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st
from msgspec import ValidationError

from gypsum_core.position import Position
from gypsum_platform.codec import (
    LINE_END,
    MESSAGE_LIMIT,
    InvalidField,
    LineTooLong,
    MalformedLine,
    encode_query,
    encode_reply,
    encode_startup,
    error_line,
    join_fields,
    read_name,
    read_statement,
    wire_text,
)
from gypsum_platform.entries import read_catalog, read_member
from gypsum_platform.store import StoredObject
from gypsum_sessions.replies import Refusal, Reply
from gypsum_sessions.statements import Statement, StatementKind
from gypsum_sessions.upstreams.pooled import (
    prepare_statement,
    prepared_name,
    set_statement,
)
from tests.platform.test_entries import CONFIG
from tests.standins.wirereader import read_message, read_text

# Blanks, line ends, words of the protocol, other alphabets and bytes that are no text.
TEXTS = st.one_of(
    st.sampled_from(["", " ", "READ", "WRITE x", "-", "QUERY - COMMIT", "\r\nX", "\r"]),
    st.lists(
        st.sampled_from(["READ", "WRITE", "stock", " ", "  ", "\n", "é", "\xff"]),
        max_size=6,
    ).map("".join),
    st.text(alphabet=[chr(code) for code in range(256)], max_size=12),
)
FIELD = st.text(alphabet=string.ascii_letters + string.digits + "_.-", min_size=1)


def lines_of(data):
    """The lines of a message that was sent."""
    *lines, rest = data.split(LINE_END)
    assert rest == b""
    return [line.decode("latin-1") for line in lines]


def sent(statement, request="id", after=None):
    """The one line of a statement to an upstream; None if it can't be sent."""
    try:
        data = encode_query(statement, request, after)
    except InvalidField:
        return None
    (line,) = lines_of(data)
    return line


@given(shape=TEXTS, other=TEXTS, writes=st.booleans())
def test_a_prepared_shape_arrives_whole_under_a_name_of_its_own(shape, other, writes):
    line = sent(prepare_statement(shape, writes), "-")
    if line is None:
        assert "\r\n" in shape
        return
    _, _, statement = read_message(line)
    assert (statement.shape, statement.writes) == (shape, writes)
    assert statement.name == prepared_name(shape, writes)
    assert len(statement.name) < 40
    assert statement.name != prepared_name(shape, not writes)
    assert (statement.name == prepared_name(other, writes)) == (shape == other)


@given(shape=TEXTS, argument=TEXTS, writes=st.booleans())
def test_an_execute_keeps_its_item_and_data(shape, argument, writes):
    name = prepared_name(shape, writes)
    statement = Statement(
        kind=StatementKind.EXECUTE, name=name, argument=argument, writes=writes
    )
    assume(argument and argument[0] != " " and "\r\n" not in argument)
    _, _, arrived = read_message(sent(statement))
    assert (arrived.name, arrived.argument) == (name, argument)


@given(name=TEXTS, value=TEXTS)
def test_a_value_arrives_whole_or_is_refused(name, value):
    line = sent(set_statement(name, value), "-")
    if line is None:
        assert not name or " " in name or "\r\n" in name + value
        return
    _, _, statement = read_message(line)
    assert (statement.name, statement.argument) == (name, value)


@given(text=TEXTS, request=FIELD, term=st.integers(0, 9), index=st.integers(0, 99))
def test_a_callers_text_follows_its_id_and_position_unchanged(
    text, request, term, index
):
    try:
        statement = read_statement(text)
    except MalformedLine:
        return
    if statement.kind not in (StatementKind.READ, StatementKind.WRITE):
        return
    position = Position(term=term, index=index)
    line = sent(statement, request, position)
    if line is None:
        assert "\r\n" in text
        return
    number, after, arrived = read_message(line)
    assert (number, after, arrived.text) == (request, position, text)


@given(st.lists(TEXTS, max_size=3), TEXTS)
def test_fields_are_read_back_or_refused(fields, last):
    try:
        text = join_fields("WORD", *fields, last=last)
    except InvalidField:
        assert "\r\n" in " ".join([*fields, last]) or any(
            not item or " " in item for item in fields
        )
        return
    assert text.split(" ", len(fields) + 1) == ["WORD", *fields, last]


@given(rows=st.lists(TEXTS, max_size=3), detail=st.text(max_size=12))
def test_a_reply_has_as_many_lines_as_it_says(rows, detail):
    rows = tuple(row for row in rows if "\r\n" not in row)
    answered = lines_of(encode_reply(Reply(rows=rows, proof="p")))
    assert answered[: len(rows)] == [f"DATAROW {row}" for row in rows]
    assert len(answered) == len(rows) + 2
    assert len(lines_of(error_line(Refusal.BUSY, detail))) == 1


@pytest.mark.parametrize(
    "text", ["EXECUTE s  data", "EXECUTE s ", "PREPARE s READ ", "WRITE x"]
)
def test_an_empty_field_of_a_statement_is_refused(text):
    with pytest.raises(MalformedLine):
        read_statement(text)


def test_a_statement_that_grows_over_the_limit_is_not_sent():
    text = "READ " + "x" * (MESSAGE_LIMIT - len("QUERY id READ "))
    statement = read_statement(text)
    assert len(encode_query(statement, "id", None)) == MESSAGE_LIMIT + len(LINE_END)
    with pytest.raises(LineTooLong):
        encode_query(statement, "id", Position(term=1, index=2))


@pytest.mark.parametrize("client", ["two words", "", "a\r\nb", "őr"])
def test_a_client_name_that_is_no_field_opens_no_connection(client):
    with pytest.raises(InvalidField):
        encode_startup("group", client, "u1")


@given(st.text(max_size=12))
def test_names_of_the_configuration_survive_the_wire(name):
    assert read_name(wire_text(name)) == name


@pytest.mark.parametrize("name", ["two words", "line\r\nend"])
def test_a_workspace_whose_name_is_no_field_is_refused(name):
    spec = {**CONFIG, "tenants": [{"name": name, "apiKeys": ["k"]}]}
    with pytest.raises(ValueError, match="workspace"):
        read_catalog(spec)


def test_an_entry_under_a_name_with_blanks_is_unusable():
    spec = {
        "service": "g",
        "address": "10.0.0.1:80",
        "zone": "a",
        "capacity": 5,
        "state": "ready",
        "dbRole": "replica",
    }
    assert read_member(StoredObject(name="u-1", revision=1, spec=spec)).id == "u-1"
    with pytest.raises(ValidationError):
        read_member(StoredObject(name="u 1", revision=1, spec=spec))


def test_the_stand_in_reads_every_statement_of_the_product():
    texts = ["BEGIN", "BEGIN READ", "COMMIT", "READ a b", "WRITE a b c", "SET a b c"]
    for text in texts:
        assert read_text(text).kind is read_statement(text).kind
