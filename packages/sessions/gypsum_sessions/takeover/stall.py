"""Noticing that a leader takes writes and finishes none."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class WriteStall:
    """Writes and commits on their way to one group's leader.

    A leader that is cut from its replicas still answers everything but commits: it
    waits for a replica that never hears of them. So silence of commits alone, while
    none is answered, is the sign.
    """

    started: dict[int, float] = field(default_factory=dict)
    numbers: int = 0
    answered_at: float = float("-inf")

    def begin(self, now):
        """A write leaves; returns its number."""
        self.numbers += 1
        self.started[self.numbers] = now
        return self.numbers

    def end(self, number, now):
        """A write was answered; one that never is stays, as the sign looked for."""
        self.started.pop(number, None)
        self.answered_at = now

    def forget(self):
        """Start anew: somebody else leads."""
        self.started.clear()

    def lasting(self, now):
        """Seconds for which writes have waited and none was answered."""
        waiting = [at for at in self.started.values() if at > self.answered_at]
        self.started = {
            number: at for number, at in self.started.items() if at in waiting
        }
        return now - min(waiting) if waiting else 0.0
