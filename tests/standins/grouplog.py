"""The log of a group member: terms, positions, following, truncation.

Implements the rules of a database group in docs/assumptions.md, without a network or a
database, for the stand-in upstream and the fakes in virtual time.
"""

from dataclasses import dataclass
from typing import Any


@dataclass
class Entry:
    """One committed transaction in the log."""

    term: int
    content: Any


class LogMember:
    """A member of a group; subclasses keep the state that the log is applied to."""

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
        """Discard the applied state."""
        raise NotImplementedError

    def apply_entry(self, entry):
        """Apply one entry to the state."""
        raise NotImplementedError

    def claim_holder(self):
        """Return the holder of the claim in the applied state."""
        raise NotImplementedError

    @property
    def log_term(self):
        """The term of the last entry."""
        return self.log[-1].term if self.log else 1

    def heard_ms(self, now):
        """Return milliseconds since the source's last message, or -1 at a primary."""
        return -1.0 if self.primary else (now - self.heard_at) * 1000

    def take_discarded(self):
        """Return and reset the number of entries that the last follow discarded."""
        discarded, self.discarded = self.discarded, 0
        return discarded

    # Group commands

    def fence(self, term):
        """Promise a strictly higher term; a primary of an older term steps down."""
        if term <= self.promised:
            return
        self.promised = term
        self.primary = False
        self.follows = ""

    def promote(self, term):
        """Become primary of the promised term and append its first, empty entry."""
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
        """Append an entry that is already applied at the primary."""
        self.log.append(entry)
        self.applied = len(self.log)

    def common_prefix(self, terms):
        """Return how many leading entries this log shares with one of these terms."""
        shared = 0
        for own, other in zip(self.log, terms, strict=False):
            if own.term != other:
                break
            shared += 1
        return shared

    def truncate(self, length):
        """Discard a divergent tail and rebuild the state from the remaining log."""
        if length >= len(self.log):
            return
        self.discarded = len(self.log) - length
        del self.log[length:]
        if self.applied > length:
            self.reset_state()
            self.applied = 0
            self.apply_to(length)

    def apply_to(self, length):
        """Apply the entries up to a length."""
        for entry in self.log[self.applied : length]:
            self.apply_entry(entry)
        self.applied = max(self.applied, length)
