"""The log of a group member: terms, positions, following, truncation.

The rules of a database group as docs/assumptions.md states them, without a network
or a database. The stand-in upstream and the fakes in virtual time share them.
"""

from dataclasses import dataclass
from typing import Any


@dataclass
class Entry:
    """One committed transaction in the log."""

    term: int
    content: Any


class LogMember:
    """One member of a group; subclasses keep the state that the log builds."""

    def __init__(self, *, name, primary, now=0.0):
        self.name = name
        self.primary = primary
        self.promised = 1
        self.log = []
        self.applied = 0
        self.follows = ""
        self.heard_at = now
        self.discarded = 0
        self.reset_state()

    def reset_state(self):
        """Clear everything that entries built."""
        raise NotImplementedError

    def apply_entry(self, entry):
        """Make one entry visible."""
        raise NotImplementedError

    def claim_holder(self):
        """The holder of the claim, as this member's state shows it."""
        raise NotImplementedError

    @property
    def log_term(self):
        """The term of the last entry."""
        return self.log[-1].term if self.log else 1

    def heard_ms(self, now):
        """Milliseconds since a replica last heard its source, -1 at a primary."""
        return -1.0 if self.primary else (now - self.heard_at) * 1000

    def take_discarded(self):
        """Return and reset the number of entries that the last follow cut off."""
        discarded, self.discarded = self.discarded, 0
        return discarded

    # Group commands

    def fence(self, term):
        """Promise a strictly higher term; an older primary stops."""
        if term <= self.promised:
            return
        self.promised = term
        self.primary = False
        self.follows = ""

    def promote(self, term):
        """Lead the promised term; its first entry marks it in the log."""
        if term != self.promised or self.primary:
            return
        self.apply_to(len(self.log))
        self.primary = True
        self.follows = ""
        self.append(Entry(term=term, content=[]))

    def follow(self, term, primary, now):
        """Replicate from a primary of at least the promised term."""
        if term < self.promised or (self.primary and term == self.promised):
            return
        self.promised = term
        self.primary = False
        self.follows = primary
        self.heard_at = now

    # Log

    def append(self, entry):
        """The primary adds an entry that its state shows already."""
        self.log.append(entry)
        self.applied = len(self.log)

    def common_prefix(self, terms):
        """How many entries a log with these terms shares with ours."""
        shared = 0
        for mine, theirs in zip(self.log, terms, strict=False):
            if mine.term != theirs:
                break
            shared += 1
        return shared

    def cut_to(self, length):
        """Discard a divergent tail; the state is rebuilt from what stays."""
        if length >= len(self.log):
            return
        self.discarded = len(self.log) - length
        del self.log[length:]
        if self.applied > length:
            self.reset_state()
            self.applied = 0
            self.apply_to(length)

    def apply_to(self, length):
        """Make entries visible."""
        for entry in self.log[self.applied : length]:
            self.apply_entry(entry)
        self.applied = max(self.applied, length)
