"""How far a replica has applied its primary's log, and when it will reach a position.

Load pattern: replicas that apply commits some tenths of a second late as a rule, and
several seconds late at times, while reads with different allowed ages arrive by the
hundred. A replica that lacks a read's position refuses it, which costs the caller a
round trip and the upstream an arrival. A flag for each replica is no answer: the same
replica can serve a read with an old floor and not one with a new floor.

The replica checks the position itself, so a wrong expectation costs time and is never
a stale read.
"""

from dataclasses import dataclass
from enum import StrEnum

# A replica that has caught up should take reads again within about half a second, and
# the callers of a group lose little if only its primary serves them until then.
PROBE_INTERVAL_MIN = 0.05
PROBE_INTERVAL_MAX = 0.5
# Without an answer to two probes, what was learned before says little.
KNOWLEDGE_EXPIRY = 2 * PROBE_INTERVAL_MAX
# Weight of an observation that shows a smaller lag. A larger one counts at once: a read
# that is refused costs more than one that the primary serves.
SMALLER_LAG_WEIGHT = 0.3


class Readiness(StrEnum):
    """What is known of a replica's log as far as one read needs it."""

    SHOWN = "shown"
    EXPECTED = "expected"
    SOON = "soon"
    BEHIND = "behind"
    UNKNOWN = "unknown"


READY = frozenset({Readiness.SHOWN, Readiness.EXPECTED})


@dataclass(frozen=True, slots=True, kw_only=True)
class LagBounds:
    """Least and greatest lag in seconds that an observation allows; None if open."""

    least: float | None = None
    greatest: float | None = None


class ReplicaProgress:
    """Progress of one replica, from its answers; times in seconds on one clock.

    `position` is the last applied position that it showed, `seen_at` when it was asked
    for that. `lag` is the expected time from a commit until it is applied. `stopped`:
    it refused a position that was expected of it and has shown no progress since.
    """

    def __init__(self):
        self.position = None
        self.seen_at = float("-inf")
        self.lag = 0.0
        self.stopped = False
        self.barred_floor = None
        self.barred_until = float("-inf")
        self.bar_duration = 0.0
        self.probe_interval = PROBE_INTERVAL_MIN
        self.probed_at = float("-inf")

    def record_position(self, position, asked_at, bounds=LagBounds()):
        """Record the applied position that an answer showed."""
        self.seen_at = max(self.seen_at, asked_at)
        if self.position is None or position > self.position:
            self.position = position
            self.stopped = False
            self.probe_interval = PROBE_INTERVAL_MIN
        self.record_lag(bounds)

    def record_lag(self, bounds):
        """Move the expected lag into the bounds: up at once, down step by step."""
        if bounds.least is not None and self.lag < bounds.least:
            self.lag = bounds.least
        elif bounds.greatest is not None and self.lag > bounds.greatest:
            self.lag += SMALLER_LAG_WEIGHT * (max(0.0, bounds.greatest) - self.lag)

    def record_refusal(self, floor, shown, now, reached_at):
        """Record that it lacked a floor, which the primary had at `reached_at`.

        That is None if it is not known.

        An upstream may show a position that it then refuses: part of its log was rolled
        back, or it shows what it has received. Such floors are not asked of it for a
        while, since its answers say nothing about them.
        """
        self.seen_at = now
        if reached_at is not None:
            self.record_lag(LagBounds(least=now - reached_at))
        if shown is not None and shown.covers(floor):
            self.bar_duration = min(
                max(PROBE_INTERVAL_MIN, 2 * self.bar_duration), PROBE_INTERVAL_MAX
            )
            self.barred_floor = floor
            self.barred_until = now + self.bar_duration
            return
        self.position = shown
        self.stopped = True

    def record_served(self, floor):
        """Record that it answered a read with a floor."""
        if self.barred_floor is not None and floor.covers(self.barred_floor):
            self.barred_floor = None
            self.bar_duration = 0.0

    def readiness(self, floor, reached_at, now):
        """Whether it has a floor that the primary had at `reached_at`."""
        if floor is None:
            return Readiness.SHOWN
        if self.is_barred(floor, now):
            return Readiness.BEHIND
        if self.position is not None and self.position.covers(floor):
            return Readiness.SHOWN
        if self.stopped:
            stale = now - self.seen_at > KNOWLEDGE_EXPIRY
            return Readiness.UNKNOWN if stale else Readiness.BEHIND
        ready = self.ready_in(reached_at, now) <= 0
        return Readiness.EXPECTED if ready else Readiness.SOON

    def is_barred(self, floor, now):
        """Whether it lately refused a floor that it had shown, or an earlier one."""
        barred = self.barred_floor
        return bool(barred) and now < self.barred_until and floor.covers(barred)

    def ready_in(self, reached_at, now):
        """Expected seconds until it has what the primary had at `reached_at`."""
        return reached_at + self.lag - now

    def expected_lag(self, now):
        """Expected lag; it grows while the replica shows no progress."""
        return self.lag + (now - self.seen_at if self.stopped else 0.0)

    def probe_due(self, now):
        """Whether to ask for its position now, since a read was not sent to it.

        Only without progress, or when nothing was learned lately: the replica's answers
        to other reads show its position as well.
        """
        interval = self.probe_interval if self.stopped else PROBE_INTERVAL_MAX
        return now - max(self.seen_at, self.probed_at) >= interval

    def start_probe(self, now):
        """Record that its position is asked for; the next interval is twice as long."""
        self.probed_at = now
        self.probe_interval = min(2 * self.probe_interval, PROBE_INTERVAL_MAX)
