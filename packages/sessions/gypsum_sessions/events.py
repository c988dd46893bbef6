"""Structured logs: one JSON line per event, rate-limited and non-blocking.

The logging library is imported late: a starting daemon first serves the callers that
wait for it. Until then the lines go to the stream directly, in the same form.
"""

import json
import os
from datetime import UTC, datetime
from logging import Formatter

# Lines that a process may write in a second: ten times its ordinary rate.
LINES_PER_SECOND = 400
# Bytes buffered for a slow reader; lines beyond that are dropped and counted.
BACKLOG_BYTES = 1 << 20


class BoundedStream:
    """A text stream that never blocks on its descriptor.

    Otherwise, when the reader of the logs stops and the pipe is full, the daemon would
    hang with all its callers.
    """

    def __init__(self, *, descriptor, backlog_bytes=BACKLOG_BYTES):
        self.descriptor = descriptor
        self.backlog_bytes = backlog_bytes
        self.backlog = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write or buffer a line, or drop it if the buffer is full."""
        if len(self.backlog) + len(text) > self.backlog_bytes:
            self.dropped += 1
            return
        self.backlog += text.encode()
        self.flush()

    def flush(self):
        """Write as much as possible without blocking."""
        while self.backlog:
            try:
                written = os.write(self.descriptor, self.backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: there is nowhere left to report it.
                self.dropped += 1
                self.backlog.clear()
                return
            del self.backlog[:written]

    def close(self):
        """Flush; the descriptor belongs to the caller and stays open."""
        self.flush()


class PlainFormatter(Formatter):
    """Formats a record as its message alone, which already is a JSON object."""

    def format(self, record):
        """Return the message of a record."""
        return record.getMessage()


class EventWriter:
    """Writes events as JSON lines, at most `lines_per_second` by `clock`."""

    def __init__(self, *, daemon, clock, lines_per_second=LINES_PER_SECOND):
        self.daemon = daemon
        self.clock = clock
        self.lines_per_second = lines_per_second
        self.second = 0
        self.lines = 0
        self.dropped = 0
        self.stream = None
        self.write = self.write_to_library

    def set_up(self, descriptor=1):
        """Write the lines to a descriptor, standard output by default."""
        self.stream = BoundedStream(descriptor=descriptor)
        self.write = self.write_to_stream

    def load_library(self):
        """Import the logging library and pass the lines to it from now on."""
        from absl import logging
        from absl.flags import FLAGS

        FLAGS.mark_as_parsed()
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        handler = logging.get_absl_handler()
        handler.python_handler.stream = self.stream
        handler.setFormatter(PlainFormatter())
        self.write = self.write_to_library

    def write_to_stream(self, text):
        """Write one line."""
        self.stream.write(text + "\n")

    def write_to_library(self, text):
        """Pass one line to the logging library."""
        from absl import logging

        logging.info("%s", text)

    def __call__(self, part, event, **fields):
        """Write one event, or count it as dropped when over the rate limit."""
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
        """Log the number of lines dropped since the last report."""
        if self.dropped:
            self.emit("log", "lines dropped", {"lines": self.dropped})
            self.dropped = 0

    def emit(self, part, event, fields):
        """Write one line."""
        line = {
            "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "daemon": self.daemon,
            "part": part,
            "event": event,
            **fields,
        }
        self.write(json.dumps(line, default=str))
