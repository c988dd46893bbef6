"""Slots and service times of upstreams."""

from dataclasses import dataclass

SMOOTHING = 0.1
INITIAL_SERVICE_TIME = 0.005
DEFAULT_RETRY_AFTER = 1.0


@dataclass(slots=True, kw_only=True)
class UpstreamLoad:
    """Slots of one upstream, how many are in use, and mean service time in seconds."""

    slots: int
    running: int = 0
    service_time: float = INITIAL_SERVICE_TIME

    @property
    def free_slots(self):
        """Number of statements that may still be started."""
        return max(0, self.slots - self.running)

    @property
    def expected_delay(self):
        """Expected delay in seconds of one more statement."""
        return self.service_time * (1.0 + self.running / max(1, self.slots))

    def start(self):
        """Occupy a slot."""
        self.running += 1

    def finish(self, seconds):
        """Release a slot and record the service time; None if it was cut short."""
        self.running = max(0, self.running - 1)
        if seconds is not None:
            self.service_time += SMOOTHING * (seconds - self.service_time)


def expected_wait(*, ahead, share, slots, service_time):
    """Return the seconds until a request behind `ahead` of its member's is served.

    `share` is the fraction of the slots that the member's weight gives it among the
    members with queued requests.
    """
    return (ahead + 1) * service_time / max(slots * share, 1e-9)
