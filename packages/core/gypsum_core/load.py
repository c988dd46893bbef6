"""Slots of each upstream and the time its work takes."""

from dataclasses import dataclass

SMOOTHING = 0.1
INITIAL_SERVICE_TIME = 0.005
DEFAULT_RETRY_AFTER = 1.0


@dataclass(slots=True, kw_only=True)
class UpstreamLoad:
    """One upstream's slots, what runs in them and how long that takes."""

    slots: int
    running: int = 0
    service_time: float = INITIAL_SERVICE_TIME

    @property
    def free_slots(self):
        """How many more statements it may run at once."""
        return max(0, self.slots - self.running)

    @property
    def expected_delay(self):
        """Expected delay in seconds of one more statement."""
        return self.service_time * (1.0 + self.running / max(1, self.slots))

    def start(self):
        """A statement starts."""
        self.running += 1

    def finish(self, seconds):
        """A statement ended after `seconds` (None: it did not run to its end)."""
        self.running = max(0, self.running - 1)
        if seconds is not None:
            self.service_time += SMOOTHING * (seconds - self.service_time)


def expected_wait(*, ahead, share, slots, service_time):
    """Seconds until a request behind `ahead` others of its member is served.

    `share` is the part of the slots that the member's weight gives it among the
    members that wait.
    """
    return (ahead + 1) * service_time / max(slots * share, 1e-9)
