"""Admission control for an upstream: concurrency limit, queue order and load shedding.

Load pattern: more statements than a group's slots can run, from a burst of callers or
from lagging replicas that leave all reads to the primary. Without a limit here, the
statements wait in the upstream's own queue in order of arrival: it rejects the excess,
all callers retry, and every answer that does come is late. With the limit they wait in
this queue, which starts those that can still be answered in time first and refuses
those that cannot be answered at all early enough for their callers to retry.
"""

from dataclasses import dataclass
from itertools import count

from xxhash import xxh32_intdigest

# Statements that all owners together have at an upstream for each of its slots. One
# runs; the others keep the slot busy during network round trips and where the owners'
# shares are uneven. With four, the last one waits for three statements to finish.
OUTSTANDING_PER_SLOT = 4
# Each rejection by an upstream with a full queue lowers the limit by one for this many
# seconds, which is longer than its queue takes to empty.
LIMIT_REDUCED_FOR = 1.0
# Shortest retry delay sent to callers: about one statement's time.
MIN_RETRY_MS = 30
# Retry delays are spread over this fraction of the expected wait.
RETRY_JITTER = 0.5
# Weights of the newest sample in the moving averages of the service time and of the
# interval between completions.
SERVICE_TIME_WEIGHT = 0.1
INTERVAL_WEIGHT = 0.2


def retry_after_ms(wait, request_id):
    """Milliseconds after which a refused caller should retry.

    `wait` is the expected wait in seconds. The jitter depends on the request id: with
    the same delay for all, the callers would retry together and the queue would be as
    long as before.
    """
    spread = xxh32_intdigest(request_id.encode()) % 1000 / 1000
    return max(MIN_RETRY_MS, round(wait * 1000 * (1 + RETRY_JITTER * spread)))


def concurrency_limit(slots, owners):
    """Statements that each owner may have at an upstream at once."""
    return 1 + -(-OUTSTANDING_PER_SLOT * slots // max(1, owners))


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A statement to be admitted; times in seconds on one clock.

    A lower `priority` number goes first. An answer after `target_time` misses the
    route's latency target, one after `deadline` is useless to the caller.
    """

    priority: int
    target_time: float
    deadline: float


class QueueTimeout(Exception):
    """A statement can't be answered in time; in `wait` seconds the queue has room."""

    def __init__(self, wait):
        super().__init__(f"the queue takes {wait:.3f} s")
        self.wait = wait


class WorkQueue:
    """One owner's statements for one upstream, running and waiting.

    `mean_service_time` is the mean time in seconds from a statement's start to its
    answer. `completion_interval` is the mean time between two completions while others
    wait: it gives the queue's speed whatever the bottleneck is, slots, connections or
    other owners.
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
        """The concurrency limit, lowered by the upstream's recent rejections."""
        self.reductions = [until for until in self.reductions if until > now]
        return max(1, self.limit - len(self.reductions))

    def record_rejection(self, now):
        """Lower the limit for a while: the upstream's queue was full."""
        if len(self.reductions) < self.limit - 1:
            self.reductions.append(now + LIMIT_REDUCED_FOR)

    def admit(self, request, now):
        """Return a ticket for a statement that has to wait, None for one that starts.

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
        """Start a statement that must not wait since its transaction is open."""
        self.running += 1

    def finish(self, now, seconds=None):
        """Record the end of a statement; `seconds` is its time if it was answered."""
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
        """Remove a waiting statement."""
        self.waiting.pop(ticket, None)

    def start_next(self, now, among):
        """Start the next of the tickets in `among` and return it; None if none may."""
        startable = [ticket for ticket in self.waiting if ticket in among]
        if not startable or self.running >= self.limit_at(now):
            return None
        ticket = min(startable, key=lambda item: self.sort_key(item, now))
        del self.waiting[ticket]
        self.running += 1
        return ticket

    def sort_key(self, ticket, now):
        """Order of waiting statements: priority, still on target, earliest target."""
        request = self.waiting[ticket]
        misses_target = now + self.mean_service_time > request.target_time
        return (request.priority, misses_target, request.target_time, ticket)

    def timed_out(self, now):
        """Tickets of waiting statements that can't be answered by their deadline."""
        return [
            ticket
            for ticket, request in self.waiting.items()
            if now + self.mean_service_time > request.deadline
        ]

    def expected_wait(self, request, now):
        """Seconds until a request starts; None: until all waiting ones have started."""
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
        """Seconds for which the queue has been non-empty without a break."""
        return now - self.backlogged_since if self.waiting else 0.0

    @property
    def load(self):
        """Number of running and waiting statements."""
        return self.running + len(self.waiting)

    def has_room(self, now):
        """Whether a statement would start at once."""
        return not self.waiting and self.running < self.limit_at(now)
