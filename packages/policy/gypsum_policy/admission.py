"""Admission control for an upstream: concurrency limit, queue order and load shedding.

Load pattern: more statements than a group's slots can run, from a burst of callers or
from lagging replicas that leave all reads to the primary. Without a limit here, the
statements wait in the upstream's own queue in order of arrival: it rejects the excess,
all callers retry, and every answer that does come is late. With the limit they wait in
this queue, which starts those that can still be answered in time first and refuses
those that cannot be answered at all early enough for their callers to retry.
"""

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum
from itertools import count

from xxhash import xxh32_intdigest

from gypsum_policy.concurrency import ConcurrencyLimit
from gypsum_policy.forecast import (
    PACE_EXPIRY,
    ArrivalRates,
    ForecastCheck,
    Outlook,
    Pace,
    ServiceTimes,
)

# Each rejection by an upstream with a full queue lowers the limit by one for this many
# seconds, which is longer than its queue takes to empty.
LIMIT_REDUCED_FOR = 1.0
# Shortest retry delay sent to callers: about one statement's time.
MIN_RETRY_MS = 30
# Retry delays are spread over this fraction of the expected wait.
RETRY_JITTER = 0.5
# A statement that waits is refused early only if its forecast wait exceeds its time by
# this factor for this many seconds. Forecasts vary, most after a start or a stall, and
# nearly all that were admitted are served in time.
REJUDGE_TOLERANCE = 1.25
LATE_FOR = 0.15
# Work of lower priorities that starts while a higher one waits: one part in this many.
# Without it, a long overload of one priority would refuse all callers of the others.
LOWER_PRIORITY_PART = 8
# Seconds without a start that say more than the pace: the upstream may be silent.
SILENCE = 0.25
# The pace is at least this part of the running statements: after a stall it would be
# almost 0 for a moment, and an upstream that is slower than this shows in the service
# times and in overdue starts.
LEAST_PACE_SHARE = 0.2
# Part of the pace that late statements are assumed to get in any overload.
LEAST_LATE_SHARE = 0.25


def retry_after_ms(wait, request_id):
    """Milliseconds after which a refused caller should retry.

    `wait` is the expected wait in seconds. The jitter depends on the request id: with
    the same delay for all, the callers would retry together and the queue would be as
    long as before.
    """
    spread = xxh32_intdigest(request_id.encode()) % 1000 / 1000
    return max(MIN_RETRY_MS, round(wait * 1000 * (1 + RETRY_JITTER * spread)))


class RefusalCause(StrEnum):
    """Why a statement was refused before it was sent."""

    QUEUE_TOO_LONG = "queue_too_long"
    TOO_LITTLE_TIME = "too_little_time"
    FORECAST_CHANGED = "forecast_changed"


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A statement to be admitted; times in seconds on one clock.

    A lower `priority` number goes first. An answer after `target_time` misses the
    route's latency target, one after `deadline` is useless to the caller. Statements of
    one `kind` take about the same time.
    """

    priority: int
    target_time: float
    deadline: float
    kind: Hashable = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingStatement:
    """A statement in the queue.

    Its forecast is the uncorrected wait expected on arrival; None if it was expected to
    miss its latency target.
    """

    request: AdmissionRequest
    since: float
    forecast: float | None


class QueueTimeout(Exception):
    """A statement can't be answered in time; in `wait` seconds the queue has room.

    `forecast` is the time until its own answer, `queued` and `limit` are the length of
    the queue and its concurrency limit.
    """

    def __init__(self, wait, *, cause, forecast=0.0, queued=0, limit=0):
        super().__init__(f"the queue takes {wait:.3f} s")
        self.wait = wait
        self.cause = cause
        self.forecast = forecast
        self.queued = queued
        self.limit = limit


class WorkQueue:
    """One owner's statements for one upstream, running and waiting.

    `times` are the seconds from a statement's start to its end, which also include the
    wait for a connection and for a commit's confirmation. `answer_times` are those of
    the upstream alone. `refusals` counts refused statements by cause.
    """

    def __init__(self, *, limit, mean_service_time):
        self.concurrency = ConcurrencyLimit(share=limit)
        self.times = ServiceTimes(mean=mean_service_time)
        self.answer_times = ServiceTimes(mean=mean_service_time)
        self.pace = Pace()
        self.check = ForecastCheck()
        self.arrivals = ArrivalRates()
        self.refusals = Counter()
        self.running = 0
        self.waiting = {}
        self.late_since = {}
        self.backlogged_since = None
        self.ticket_numbers = count()
        self.reductions = []
        self.passed_over = 0.0

    @property
    def limit(self):
        """The concurrency limit, not lowered by recent rejections."""
        return self.concurrency.current

    @property
    def mean_service_time(self):
        """Mean seconds from a statement's start to its end."""
        return self.times.mean

    @mean_service_time.setter
    def mean_service_time(self, seconds):
        self.times.mean = seconds

    @property
    def completion_interval(self):
        """Mean seconds between the starts of two waiting statements."""
        return self.times.mean / self.pace.estimate(self.pace.updated_at, 0.0)

    def limit_at(self, now):
        """The concurrency limit, lowered by the upstream's recent rejections."""
        self.reductions = [until for until in self.reductions if until > now]
        return max(1, self.limit - len(self.reductions))

    def record_rejection(self, now):
        """Lower the limit for a while: the upstream's queue was full."""
        if len(self.reductions) < self.limit - 1:
            self.reductions.append(now + LIMIT_REDUCED_FOR)
        self.concurrency.record_rejection(now, self.answer_times.mean)

    def record_answer(self, kind, seconds):
        """Adapt the limit to the time of an answer of the upstream alone."""
        self.answer_times.record(kind, seconds)
        self.concurrency.record_answer(
            self.answer_times.slowdown, queued=bool(self.waiting)
        )

    # Admission

    def admit(self, request, now):
        """Return a ticket for a statement that has to wait, None for one that starts.

        Raises QueueTimeout for one that would not be answered in time.
        """
        if self.has_room(now):
            if not self.has_time(request, now):
                raise self.refusal(request, now, RefusalCause.TOO_LITTLE_TIME, 0.0)
            self.running += 1
            self.record_arrival(request, now)
            return None
        if not self.waiting:
            self.backlogged_since = now
            self.pace.begin(now, self.running)
        wait = self.expected_wait(request, now)
        on_target = self.reaches_target(request, wait, now)
        if now + wait + self.times.expected(request.kind) > request.deadline:
            raise self.refusal(request, now, RefusalCause.QUEUE_TOO_LONG, wait)
        ticket = next(self.ticket_numbers)
        self.waiting[ticket] = WaitingStatement(
            request=request,
            since=now,
            forecast=wait / self.check.correction if on_target else None,
        )
        self.record_arrival(request, now)
        return ticket

    def record_arrival(self, request, now):
        """Count a statement that goes before late ones."""
        if self.misses_target(request, now):
            return
        work = self.times.expected(request.kind)
        self.arrivals.record(request.priority, work, now)

    def has_time(self, request, now):
        """Return whether an answer may arrive in time if a statement starts now.

        One always may start when none runs: the upstream may be faster than it was.
        """
        if not self.running:
            return True
        return now + self.answer_times.least(request.kind) <= request.deadline

    def refusal(self, request, now, cause, wait):
        """The QueueTimeout of a statement; it counts the refusal."""
        self.refusals[cause] += 1
        return QueueTimeout(
            self.time_to_room(request, now),
            cause=cause,
            forecast=wait + self.times.expected(request.kind),
            queued=len(self.waiting),
            limit=self.limit_at(now),
        )

    def time_to_room(self, request, now):
        """Seconds until all that wait at its priority or a higher one have started."""
        work = sum(
            self.work(item)
            for item in self.waiting.values()
            if item.request.priority <= request.priority
        )
        return self.outlook(now).wait(work)

    def start_unqueued(self):
        """Start a statement that must not wait since its transaction is open."""
        self.running += 1

    def finish(self, now, seconds=None, kind=""):
        """Record the end of a statement; `seconds` is its time if it was answered."""
        self.running -= 1
        if seconds is not None:
            self.times.record(kind, seconds)

    def withdraw(self, ticket):
        """Remove a waiting statement."""
        self.waiting.pop(ticket, None)
        self.late_since.pop(ticket, None)

    def start_next(self, now, among):
        """Start the next of the tickets in `among` and return it; None if none may."""
        if not self.waiting or self.running >= self.limit_at(now):
            return None
        startable = sorted(
            self.sort_key(ticket, now)
            for ticket, item in self.waiting.items()
            if ticket in among and not self.is_too_late(item.request, now)
        )
        if not startable:
            return None
        ticket = self.next_ticket(startable)
        item = self.waiting.pop(ticket)
        self.late_since.pop(ticket, None)
        self.pace.record_start(self.work(item), now)
        if item.forecast is not None:
            self.check.record(item.forecast, now - item.since)
        self.running += 1
        return ticket

    def is_too_late(self, request, now):
        """Return whether a statement that started now would end after its deadline."""
        if not self.running:
            return now >= request.deadline
        return now + self.times.expected(request.kind) > request.deadline

    def next_ticket(self, keys):
        """The ticket of the first sort key, or now and then of a lower priority."""
        first = keys[0]
        lower = [key for key in keys if key[0] > first[0]]
        if not lower:
            self.passed_over = 0.0
            return first[-1]
        other = min(lower, key=lambda key: key[1:])
        due = (LOWER_PRIORITY_PART - 1) * self.work(self.waiting[other[-1]])
        if self.passed_over < due:
            self.passed_over += self.work(self.waiting[first[-1]])
            return first[-1]
        self.passed_over = 0.0
        return other[-1]

    def sort_key(self, ticket, now):
        """Order of waiting statements: priority, still on target, earliest target."""
        return (*self.rank(self.waiting[ticket].request, now), ticket)

    def rank(self, request, now):
        """The sort key of a request without its ticket."""
        late = self.misses_target(request, now)
        return (request.priority, late, request.target_time)

    def misses_target(self, request, now):
        """Return whether a statement that started now would miss its latency target."""
        return now + self.times.expected(request.kind) > request.target_time

    def work(self, item):
        """Expected seconds of a waiting statement from its start to its end."""
        return self.times.expected(item.request.kind)

    # Forecast

    def outlook(self, now):
        """What forecasts rest on now."""
        mean = self.times.mean
        overdue = now - self.pace.updated_at - self.completion_interval
        # While nothing waits, no start is overdue.
        measured = self.waiting or now - self.pace.updated_at <= PACE_EXPIRY
        pace_at = now if measured else self.pace.updated_at
        pace = self.pace.estimate(pace_at, mean)
        return Outlook(
            pace=max(pace, LEAST_PACE_SHARE * self.running),
            mean=mean,
            correction=self.check.correction,
            overdue=overdue if self.waiting and overdue > SILENCE else 0.0,
        )

    def share_left(self, priority, late, pace, now):
        """Part of the pace that what arrives later and goes first leaves.

        Before a late statement go all of its priority that can still meet their target.
        In the long run the pace is the number of running statements: a short stall,
        which lowers the measured pace, must not pass for a lasting overload.
        """

        def goes_first(other):
            return other < priority or (late and other == priority)

        left = 1.0 - self.arrivals.rate(goes_first, now) / max(pace, self.running)
        return max(left, LEAST_LATE_SHARE if late else 1 / LOWER_PRIORITY_PART)

    def expected_wait(self, request, now):
        """Seconds until a request starts; None: until all waiting ones have started."""
        outlook = self.outlook(now)
        if request is None:
            return outlook.wait(sum(map(self.work, self.waiting.values())))
        rank = self.rank(request, now)
        ahead = [
            item
            for item in self.waiting.values()
            if self.rank(item.request, now) <= rank
        ]
        wait = self.wait_behind(ahead, request, False, outlook, now)
        if self.reaches_target(request, wait, now):
            return wait
        ahead = [
            item
            for item in self.waiting.values()
            if item.request.priority <= request.priority
        ]
        return self.wait_behind(ahead, request, True, outlook, now)

    def reaches_target(self, request, wait, now):
        """Return whether a statement with this wait is answered within its target."""
        return not self.misses_target(request, now + wait + self.check.error)

    def wait_behind(self, ahead, request, late, outlook, now):
        """Seconds until a request starts behind the statements `ahead` of it."""
        same = [item for item in ahead if item.request.priority == request.priority]
        return outlook.wait_in_order(
            sum(map(self.work, ahead)),
            sum(map(self.work, same)),
            self.share_left(request.priority, late, outlook.pace, now),
            1 / LOWER_PRIORITY_PART,
        )

    def timed_out(self, now):
        """Tickets of waiting statements that can't be answered by their deadline."""
        outlook, late, shares = self.outlook(now), [], {}
        ahead, by_priority = 0.0, Counter()
        for ticket in sorted(self.waiting, key=lambda item: self.sort_key(item, now)):
            item = self.waiting[ticket]
            work, priority = self.work(item), item.request.priority
            rank = (priority, self.misses_target(item.request, now))
            if rank not in shares:
                shares[rank] = self.share_left(*rank, outlook.pace, now)
            wait = outlook.wait_in_order(
                ahead, by_priority[priority], shares[rank], 1 / LOWER_PRIORITY_PART
            )
            time_left = item.request.deadline - now - work
            if time_left < 0 or self.stays_late(ticket, wait, time_left, now):
                late.append(ticket)
                continue
            ahead += work
            by_priority[priority] += work
        return late

    def stays_late(self, ticket, wait, time_left, now):
        """Return whether a statement has been expected to be too late for a while."""
        if wait <= REJUDGE_TOLERANCE * time_left:
            self.late_since.pop(ticket, None)
            return False
        return now - self.late_since.setdefault(ticket, now) >= LATE_FOR

    def refuse(self, ticket, now):
        """Remove a waiting statement that is too late; returns its QueueTimeout."""
        item = self.waiting.pop(ticket)
        self.late_since.pop(ticket, None)
        waited = now - item.since
        if item.forecast is not None and waited > item.forecast:
            self.check.record(item.forecast, waited)
        wait = self.expected_wait(item.request, now)
        return self.refusal(item.request, now, RefusalCause.FORECAST_CHANGED, wait)

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
