"""The record of a run: one line for each event, with the time since its start."""

import time


class Record:
    """Writes events to a file, each with its time in seconds."""

    def __init__(self, path):
        self.file = path.open("w", encoding="latin-1", errors="replace")
        self.started_at = time.monotonic()

    @property
    def now(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def __call__(self, who, text):
        """Write one event."""
        self.file.write(f"{self.now:9.3f} {who}: {text}\n")
        self.file.flush()
