"""How much work an upstream is given at once, who comes next, and who is refused.

Load pattern: more statements than a group's slots can run: a rush of callers, or
replicas that lag, so that all reads fall on the primary. Without a limit the statements
wait in the upstream's own queue, in the order of their arrival: it turns away what is
over, every caller comes back, and all that is answered is late. With it they wait here:
what can still be answered in time goes first, and what cannot be answered at all is
refused while its caller has time to come back.
"""

from dataclasses import dataclass
from itertools import count

from xxhash import xxh32_intdigest

# Statements that all owners together have at an upstream for each of its slots. One
# runs, the others keep the slot busy while answers and questions travel and the owners'
# shares are uneven; with four of them the last one waits for three statements' time.
AHEAD_PER_SLOT = 4
# After an upstream's queue was full the limit is lower by one, for this long each,
# seconds: longer than its queue takes to empty.
LOWERED_FOR = 1.0
# Callers are told to come back no sooner than this: a statement's time.
LEAST_RETRY_MS = 30
# ... and spread over this share of the queue's time.
RETRY_SPREAD = 0.5
# Weight of the newest statement in the mean time that one takes, and in the mean time
# between two ends.
MEAN_WEIGHT = 0.1
PACE_WEIGHT = 0.2


def retry_after_ms(wait, request):
    """When a refused caller should come back: after the queue, each at its own time.

    What goes wrong when all are told the same: they come back together, and the queue
    is as long as before.
    """
    spread = xxh32_intdigest(request.encode()) % 1000 / 1000
    return max(LEAST_RETRY_MS, round(wait * 1000 * (1 + RETRY_SPREAD * spread)))


def work_limit(slots, owners):
    """Statements that one of several owners may have at an upstream at once."""
    return 1 + -(-AHEAD_PER_SLOT * slots // max(1, owners))


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A statement that wants to run; times in seconds on one clock.

    A lower `priority` is worth more. `aim` is when its answer is due to be worth all,
    `deadline` when it is worth nothing.
    """

    priority: int
    aim: float
    deadline: float


class Hopeless(Exception):
    """A statement cannot be answered in time; `wait` is when there is room again."""

    def __init__(self, wait):
        super().__init__(f"the queue takes {wait:.3f} s")
        self.wait = wait


class WorkQueue:
    """The statements of one owner for one upstream: some under way, others waiting.

    `mean` is the mean time in seconds from a statement's start to its answer, `pace`
    that between two ends while others wait: it tells how long a queue takes whatever
    holds it up, slots, connections or other owners.
    """

    def __init__(self, *, limit, mean):
        self.limit = limit
        self.mean = mean
        self.pace = mean / limit
        self.ended_at = None
        self.running = 0
        self.waiting = {}
        self.pressed_since = None
        self.tickets = count()
        self.lowered = []

    def limit_at(self, now):
        """The limit, lower where the upstream has turned work away of late."""
        self.lowered = [until for until in self.lowered if until > now]
        return max(1, self.limit - len(self.lowered))

    def turned_away(self, now):
        """The upstream's queue was full."""
        if len(self.lowered) < self.limit - 1:
            self.lowered.append(now + LOWERED_FOR)

    def enter(self, claim, now):
        """A ticket for a statement that has to wait, None for one that may start.

        Raises Hopeless for one that would not be answered in time.
        """
        if self.has_room(now):
            self.running += 1
            return None
        wait = self.expected_wait(claim, now)
        if now + wait + self.mean > claim.deadline:
            raise Hopeless(self.expected_wait(None, now))
        ticket = next(self.tickets)
        if not self.waiting:
            self.pressed_since = now
        self.waiting[ticket] = claim
        return ticket

    def join(self):
        """A statement that may not wait, as its transaction is open, starts."""
        self.running += 1

    def done(self, now, seconds=None):
        """A statement has ended, after so many seconds if it was answered."""
        self.running -= 1
        if seconds is not None:
            self.mean += MEAN_WEIGHT * (seconds - self.mean)
        if self.ended_at is not None and self.waiting:
            self.pace += PACE_WEIGHT * (now - self.ended_at - self.pace)
        self.ended_at = now if self.waiting else None

    def leave(self, ticket):
        """Whoever waited does so no more."""
        self.waiting.pop(ticket, None)

    def start_next(self, now, among):
        """The ticket among some that may start now, or None; it counts as running."""
        able = [ticket for ticket in self.waiting if ticket in among]
        if not able or self.running >= self.limit_at(now):
            return None
        ticket = min(able, key=lambda item: self.rank(item, now))
        del self.waiting[ticket]
        self.running += 1
        return ticket

    def rank(self, ticket, now):
        """Order of those that wait: worth, then what can be in time, then urgency."""
        claim = self.waiting[ticket]
        late = now + self.mean > claim.aim
        return (claim.priority, late, claim.aim, ticket)

    def hopeless(self, now):
        """Tickets that cannot be answered in time any more."""
        return [
            ticket
            for ticket, claim in self.waiting.items()
            if now + self.mean > claim.deadline
        ]

    def expected_wait(self, claim, now):
        """Seconds until a claim starts; with None, until all that wait have started."""
        ahead = len(self.waiting)
        if claim is not None:
            ahead = sum(
                other.priority < claim.priority
                or (other.priority == claim.priority and other.aim <= claim.aim)
                for other in self.waiting.values()
            )
        return (ahead + 1) * self.pace

    def pressed_for(self, now):
        """Seconds for which statements have waited here without a break."""
        return now - self.pressed_since if self.waiting else 0.0

    @property
    def load(self):
        """Statements under way and waiting."""
        return self.running + len(self.waiting)

    def has_room(self, now):
        """Tell whether a statement would start at once."""
        return not self.waiting and self.running < self.limit_at(now)
