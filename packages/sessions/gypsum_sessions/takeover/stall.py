"""Detects a leader that accepts writes but completes none."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class WriteStallDetector:
    """Tracks the unanswered writes and commits at one group's leader.

    A leader that is cut off from its replicas still answers everything except commits,
    because it waits for a replica that never receives them. A stall is therefore
    detected when commits are pending and none is answered.

    `pending` maps the number of each unanswered write to the time it was sent.
    """

    pending: dict[int, float] = field(default_factory=dict)
    last_number: int = 0
    answered_at: float = float("-inf")

    def begin(self, now):
        """Record that a write is sent; returns its number."""
        self.last_number += 1
        self.pending[self.last_number] = now
        return self.last_number

    def end(self, number, now):
        """Record that a write was answered.

        A write that is never answered stays pending, which indicates a stall.
        """
        self.pending.pop(number, None)
        self.answered_at = now

    def reset(self):
        """Discard all pending writes, because another member leads."""
        self.pending.clear()

    def stalled_for(self, now):
        """Seconds for which writes have been pending and none was answered, else 0."""
        waiting = [at for at in self.pending.values() if at > self.answered_at]
        self.pending = {
            number: at for number, at in self.pending.items() if at in waiting
        }
        return now - min(waiting) if waiting else 0.0
