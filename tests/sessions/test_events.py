"""Structured logs: complete, bounded, never waiting."""

import json
import os

from gypsum_sessions.events import BoundedStream, EventWriter


class Lines:
    """Takes what would be written."""

    def __init__(self, writer):
        self.lines = []
        writer.emit = self.emit

    def emit(self, part, event, fields):
        """One line."""
        self.lines.append((part, event, fields))


def test_a_burst_over_the_budget_is_dropped_counted_and_told():
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


def test_a_reader_that_stops_holds_nobody_up():
    """Symptom: a daemon stands still with all its callers.

    Sequence: whoever reads its output stops, the pipe fills, the next line is
    written. Cause: writing to a full pipe waits.
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


def test_a_reader_that_is_gone_is_no_error():
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
