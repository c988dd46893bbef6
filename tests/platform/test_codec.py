"""Lines of the wire protocol: complete, split, malformed, too long."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsum_core.records import Position
from gypsum_platform.codec import (
    LineSplitter,
    LineTooLong,
    MalformedLine,
    encode_query,
    encode_reply,
    error_line,
    format_position,
    read_position,
    read_ready,
    read_refusal,
    read_reply,
    read_statement,
    read_status_row,
)
from gypsum_platform.wire_codes import CODE_BY_REFUSAL
from gypsum_sessions.replies import Refusal, Reply, SessionState
from gypsum_sessions.statements import ROLLBACK, Statement, StatementKind


@pytest.mark.parametrize(
    "text",
    ["READ 1a4", "WRITE 1a4 some data  with blanks ", "COMMIT", "WRITE 1a4 "],
)
def test_callers_texts_reach_the_upstream_unchanged(text):
    statement = read_statement(text)
    assert encode_query(statement, "id", None) == f"QUERY id {text}\r\n".encode()


def test_a_position_goes_before_the_text():
    sent = encode_query(read_statement("READ x"), "id", Position(term=3, index=7))
    assert sent == b"QUERY id SYNCTO 3.7 READ x\r\n"


def test_the_proxys_own_statements_have_no_id():
    assert encode_query(ROLLBACK, "", None) == b"QUERY - ROLLBACK\r\n"


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "DROP x",
        "read x",
        "READ",
        "READ ",
        "WRITE",
        "BEGIN WRITE",
        "COMMIT now",
        "SET",
        "PREPARE s",
        "PREPARE s READ",
        "PREPARE s SCAN shape",
        "EXECUTE s",
        "DEALLOC",
        "STATUS",
        "RESET",
        "PAUSE 4",
        "STEPDOWN 4",
        "SYNCTO 1.1 READ x",
    ],
)
def test_an_invalid_statement_is_refused(text):
    with pytest.raises(MalformedLine):
        read_statement(text)


def test_prepared_statements_have_their_access():
    assert read_statement("PREPARE s WRITE q").writes
    assert not read_statement("PREPARE s READ q").writes


@given(st.lists(st.binary(max_size=40)), st.lists(st.integers(1, 30)))
def test_lines_are_complete_however_the_stream_is_split(lines, cuts):
    lines = [item.replace(b"\r", b".").replace(b"\n", b".") for item in lines]
    stream = b"".join(item + b"\r\n" for item in lines)
    splitter, got, place = LineSplitter(), [], 0
    for cut in cuts:
        got += splitter.feed(stream[place : place + cut])
        place += cut
    got += splitter.feed(stream[place:])
    assert [item.encode("latin-1") for item in got] == lines


@given(st.text(max_size=60))
def test_any_text_is_parsed_or_refused(text):
    try:
        statement = read_statement(text)
    except MalformedLine:
        return
    assert isinstance(statement, Statement)


def test_a_message_over_the_limit_is_refused_before_its_end_arrives():
    splitter = LineSplitter(limit=10)
    with pytest.raises(LineTooLong):
        list(splitter.feed(b"x" * 11))


def test_a_message_at_the_limit_is_accepted():
    assert list(LineSplitter(limit=10).feed(b"x" * 10 + b"\r\n")) == ["x" * 10]


@pytest.mark.parametrize("state", list(SessionState))
def test_a_reply_survives_encoding_and_decoding(state):
    reply = Reply(
        rows=("a b", "c"), proof="p", state=state, position=Position(term=1, index=2)
    )
    *rows, end, ready = encode_reply(reply).decode().split("\r\n")[:-1]
    again = read_reply(
        [row.partition(" ")[2] for row in rows],
        tuple(end.split(" ", 1)),
        ready.partition(" ")[2],
    )
    assert again == reply


@pytest.mark.parametrize("refusal", list(Refusal))
def test_every_refusal_has_a_code_of_its_own(refusal):
    assert read_refusal(f"{CODE_BY_REFUSAL[refusal]} why") == (refusal, "why")


def test_a_refusal_has_a_retry_time_and_is_one_line():
    sent = error_line(Refusal.BUSY, "not run,\r\nreally", 500)
    assert sent == b"ERROR BUSY not run, really; retry after 500 ms\r\n"


def test_an_unknown_code_is_a_failure():
    assert read_refusal("NEWCODE text")[0] is Refusal.FAILED


def test_a_status_row():
    status = read_status_row("replica 3 3.1209 4 12 2 17")
    assert (status.leads, status.term, status.paused_term) == (False, 3, 4)
    assert status.received == Position(term=3, index=1209)


def test_positions():
    assert read_position("-") is None
    assert format_position(read_position("3.1207")) == "3.1207"
    with pytest.raises(ValueError):
        read_position("three")
    with pytest.raises(MalformedLine):
        read_ready("X 1.1")


def test_statement_kinds_of_callers_are_all_readable():
    texts = {
        "BEGIN": StatementKind.BEGIN,
        "BEGIN READ": StatementKind.BEGIN,
        "ROLLBACK": StatementKind.ROLLBACK,
        "SET a b c": StatementKind.SET,
        "DEALLOC s": StatementKind.DEALLOCATE,
        "EXECUTE s item data more": StatementKind.EXECUTE,
    }
    for text, kind in texts.items():
        assert read_statement(text).kind is kind
    assert read_statement("SET a b c").argument == "b c"
