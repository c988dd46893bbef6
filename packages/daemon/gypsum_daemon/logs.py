"""Logging with a prefix for each part, as text or JSON lines."""

import json
import sys
from datetime import UTC, datetime
from logging import Formatter

from absl import logging


class JsonFormatter(Formatter):
    """Formats a record as a JSON object with time, level, part and text."""

    def format(self, record):
        """Format a record; the prefix before the first colon is the part."""
        text = record.getMessage()
        part, found, rest = text.partition(": ")
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "part": part if found else "",
            "text": rest if found else text,
        }
        return json.dumps(line)


def configure(log_format):
    """Send logs to standard error as text or JSON."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    if log_format == "json":
        handler.setFormatter(JsonFormatter())


def write(part, text):
    """Write a log line."""
    logging.info("%s: %s", part, text)
