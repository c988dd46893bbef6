"""Structured logs: one JSON line an event, bounded, never waiting for the reader."""

import json
import os
from datetime import UTC, datetime
from logging import Formatter

from absl import logging
from absl.flags import FLAGS

# Lines a second that a process may write: ten times what a calm day needs.
LINES_PER_SECOND = 400
# Bytes kept for a reader that is slow; what is over is dropped and counted.
BACKLOG_BYTES = 1 << 20


class BoundedStream:
    """A text stream onto a descriptor that never blocks.

    What goes wrong without it: the reader of our logs stops, the pipe is full, and
    the daemon stands still with all its callers.
    """

    def __init__(self, *, descriptor, backlog_bytes=BACKLOG_BYTES):
        self.descriptor = descriptor
        self.backlog_bytes = backlog_bytes
        self.backlog = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write or keep a line, or drop it if too much is kept already."""
        if len(self.backlog) + len(text) > self.backlog_bytes:
            self.dropped += 1
            return
        self.backlog += text.encode()
        self.flush()

    def flush(self):
        """Write as much as the reader takes now."""
        while self.backlog:
            try:
                written = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is no place left to say so.
                self.dropped += 1
                self.backlog.clear()
                return
            del self.backlog[:written]

    def close(self):
        """Write what is left; the descriptor is not ours to close."""
        self.flush()


class PlainFormatter(Formatter):
    """The message alone: it is a JSON object already."""

    def format(self, record):
        """Format a record."""
        return record.getMessage()


class EventWriter:
    """Writes events; `clock` is used for the budget of lines."""

    def __init__(self, *, daemon, clock, lines_per_second=LINES_PER_SECOND):
        self.daemon = daemon
        self.clock = clock
        self.lines_per_second = lines_per_second
        self.second = 0
        self.lines = 0
        self.dropped = 0
        self.stream = None

    def set_up(self, descriptor=1):
        """Send the lines to a descriptor, standard output by default."""
        self.stream = BoundedStream(descriptor=descriptor)
        FLAGS.mark_as_parsed()
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        handler = logging.get_absl_handler()
        handler.python_handler.stream = self.stream
        handler.setFormatter(PlainFormatter())

    def __call__(self, part, event, **fields):
        """Write one event, or count it as dropped when over the budget."""
        second = int(self.clock())
        if second != self.second:
            self.second, self.lines = second, 0
            self.report_dropped()
        self.lines += 1
        if self.lines > self.lines_per_second:
            self.dropped += 1
            return
        self.emit(part, event, fields)

    def report_dropped(self):
        """Say how many lines were dropped since the last time."""
        if self.dropped:
            self.emit("log", "lines dropped", {"lines": self.dropped})
            self.dropped = 0

    def emit(self, part, event, fields):
        """Hand one line to the logging library."""
        line = {
            "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "daemon": self.daemon,
            "part": part,
            "event": event,
            **fields,
        }
        logging.info("%s", json.dumps(line, default=str))
