"""Noticing that a leader takes writes and finishes none."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class WriteStallDetector:
    """Writes and commits on their way to one group's leader.

    A leader that is cut from its replicas still answers everything but commits: it
    waits for a replica that never hears of them. So silence of commits alone, while
    none is answered, is the sign.
    """

    pending: dict[int, float] = field(default_factory=dict)
    last_number: int = 0
    answered_at: float = float("-inf")

    def begin(self, now):
        """A write leaves; returns its number."""
        self.last_number += 1
        self.pending[self.last_number] = now
        return self.last_number

    def end(self, number, now):
        """A write was answered; one that never is stays, as the sign looked for."""
        self.pending.pop(number, None)
        self.answered_at = now

    def reset(self):
        """Start anew: somebody else leads."""
        self.pending.clear()

    def stalled_for(self, now):
        """Seconds for which writes have waited and none was answered."""
        waiting = [at for at in self.pending.values() if at > self.answered_at]
        self.pending = {
            number: at for number, at in self.pending.items() if at in waiting
        }
        return now - min(waiting) if waiting else 0.0
