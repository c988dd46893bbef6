"""Places in the log of a database group.

A module of its own: the daemons of the platform need none of the other records, whose
import would be a part of each start.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Position:
    """A place in a database group's log: the term that wrote it and its index."""

    term: int
    index: int

    def __str__(self):
        """Term and index, separated by a dot, for logs."""
        return f"{self.term}.{self.index}"

    def covers(self, other):
        """Return whether a log at this position contains a confirmed `other`.

        A confirmed index never changes its content in later terms, so a log of
        the same or a later term that is as long contains it. A longer log of an
        earlier term proves nothing: its tail may have been discarded.
        """
        return self.term >= other.term and self.index >= other.index
