"""Structured logs: JSON lines, the rate limit, and slow or missing readers."""

import json
import os

from gypsum_sessions.events import BoundedStream, EventWriter


class Lines:
    """Records the events of a writer instead of logging them."""

    def __init__(self, writer):
        self.lines = []
        writer.emit = self.emit

    def emit(self, part, event, fields):
        """Record one event."""
        self.lines.append((part, event, fields))


def test_lines_over_the_rate_limit_are_dropped_counted_and_reported():
    now = [10.0]
    writer = EventWriter(daemon="d", clock=lambda: now[0], lines_per_second=5)
    lines = Lines(writer).lines
    for number in range(20):
        writer("part", "event", number=number)
    now[0] = 11.0
    writer("part", "after")
    assert len(lines) == 7
    assert lines[5] == ("log", "lines dropped", {"lines": 15})
    assert lines[6][1] == "after"


def test_reader_that_stops_does_not_block_the_writer():
    """Guards against a daemon that hangs with all its callers.

    When the reader of its output stops and the pipe is full, a blocking write waits.
    """
    read_end, write_end = os.pipe()
    stream = BoundedStream(descriptor=write_end, backlog_bytes=1000)
    for _ in range(5000):
        stream.write("x" * 99 + "\n")
    assert stream.dropped > 0
    assert len(stream.backlog) <= 1000
    os.read(read_end, 65536)
    stream.flush()
    assert len(stream.backlog) == 0
    os.close(read_end)
    os.close(write_end)


def test_closed_reader_is_no_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    stream = BoundedStream(descriptor=write_end)
    stream.write("line\n")
    assert stream.dropped == 1
    os.close(write_end)


def test_a_line_is_one_json_object(capfd):
    writer = EventWriter(daemon="d", clock=lambda: 1.0)
    read_end, write_end = os.pipe()
    writer.set_up(descriptor=write_end)
    writer("part", "event", request="r1", ms=1.5)
    line = json.loads(os.read(read_end, 65536))
    assert (line["part"], line["event"], line["request"]) == ("part", "event", "r1")
    assert line["daemon"] == "d"
    os.close(read_end)
    os.close(write_end)


def test_lines_before_and_after_the_library_is_loaded_have_the_same_form():
    writer = EventWriter(daemon="d", clock=lambda: 1.0)
    read_end, write_end = os.pipe()
    writer.set_up(descriptor=write_end)
    writer("part", "early", ms=1.5)
    writer.load_library()
    writer("part", "late", ms=1.5)
    early, late = map(json.loads, os.read(read_end, 65536).splitlines())
    assert (early.pop("event"), late.pop("event")) == ("early", "late")
    assert list(early) == list(late)
    os.close(read_end)
    os.close(write_end)
