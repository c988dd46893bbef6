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
OUTSTANDING_PER_SLOT = 4
# After an upstream's queue was full the limit is lower by one, for this long each,
# seconds: longer than its queue takes to empty.
LIMIT_REDUCED_FOR = 1.0
# Callers are told to come back no sooner than this: a statement's time.
MIN_RETRY_MS = 30
# ... and spread over this share of the queue's time.
RETRY_JITTER = 0.5
# Weight of the newest statement in the mean time that one takes, and in the mean time
# between two ends.
SERVICE_TIME_WEIGHT = 0.1
INTERVAL_WEIGHT = 0.2


def retry_after_ms(wait, request_id):
    """When a refused caller should come back: after the queue, each at its own time.

    What goes wrong when all are told the same: they come back together, and the queue
    is as long as before.
    """
    spread = xxh32_intdigest(request_id.encode()) % 1000 / 1000
    return max(MIN_RETRY_MS, round(wait * 1000 * (1 + RETRY_JITTER * spread)))


def concurrency_limit(slots, owners):
    """Statements that one of several owners may have at an upstream at once."""
    return 1 + -(-OUTSTANDING_PER_SLOT * slots // max(1, owners))


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A statement that wants to run; times in seconds on one clock.

    A lower `priority` comes first. `target_time` is when its answer is due,
    `deadline` when it is worth nothing.
    """

    priority: int
    target_time: float
    deadline: float


class QueueTimeout(Exception):
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

    def __init__(self, *, limit, mean_service_time):
        self.limit = limit
        self.mean_service_time = mean_service_time
        self.completion_interval = mean_service_time / limit
        self.finished_at = None
        self.running = 0
        self.waiting = {}
        self.backlogged_since = None
        self.ticket_numbers = count()
        self.reductions = []

    def limit_at(self, now):
        """The limit, lower where the upstream has turned work away of late."""
        self.reductions = [until for until in self.reductions if until > now]
        return max(1, self.limit - len(self.reductions))

    def record_rejection(self, now):
        """The upstream's queue was full."""
        if len(self.reductions) < self.limit - 1:
            self.reductions.append(now + LIMIT_REDUCED_FOR)

    def admit(self, request, now):
        """A ticket for a statement that has to wait, None for one that may start.

        Raises QueueTimeout for one that would not be answered in time.
        """
        if self.has_room(now):
            self.running += 1
            return None
        wait = self.expected_wait(request, now)
        if now + wait + self.mean_service_time > request.deadline:
            raise QueueTimeout(self.expected_wait(None, now))
        ticket = next(self.ticket_numbers)
        if not self.waiting:
            self.backlogged_since = now
        self.waiting[ticket] = request
        return ticket

    def start_unqueued(self):
        """A statement that may not wait, as its transaction is open, starts."""
        self.running += 1

    def finish(self, now, seconds=None):
        """A statement has ended, after so many seconds if it was answered."""
        self.running -= 1
        if seconds is not None:
            self.mean_service_time += SERVICE_TIME_WEIGHT * (
                seconds - self.mean_service_time
            )
        if self.finished_at is not None and self.waiting:
            self.completion_interval += INTERVAL_WEIGHT * (
                now - self.finished_at - self.completion_interval
            )
        self.finished_at = now if self.waiting else None

    def withdraw(self, ticket):
        """Whoever waited does so no more."""
        self.waiting.pop(ticket, None)

    def start_next(self, now, among):
        """The ticket among some that may start now, or None; it counts as running."""
        able = [ticket for ticket in self.waiting if ticket in among]
        if not able or self.running >= self.limit_at(now):
            return None
        ticket = min(able, key=lambda item: self.sort_key(item, now))
        del self.waiting[ticket]
        self.running += 1
        return ticket

    def sort_key(self, ticket, now):
        """Order of those that wait: worth, then what can be in time, then urgency."""
        request = self.waiting[ticket]
        late = now + self.mean_service_time > request.target_time
        return (request.priority, late, request.target_time, ticket)

    def timed_out(self, now):
        """Tickets that cannot be answered in time any more."""
        return [
            ticket
            for ticket, request in self.waiting.items()
            if now + self.mean_service_time > request.deadline
        ]

    def expected_wait(self, request, now):
        """Seconds until a request starts; None: until all that wait have started."""
        ahead = len(self.waiting)
        if request is not None:
            ahead = sum(
                other.priority < request.priority
                or (
                    other.priority == request.priority
                    and other.target_time <= request.target_time
                )
                for other in self.waiting.values()
            )
        return (ahead + 1) * self.completion_interval

    def backlogged_for(self, now):
        """Seconds for which statements have waited here without a break."""
        return now - self.backlogged_since if self.waiting else 0.0

    @property
    def load(self):
        """Statements under way and waiting."""
        return self.running + len(self.waiting)

    def has_room(self, now):
        """Tell whether a statement would start at once."""
        return not self.waiting and self.running < self.limit_at(now)
