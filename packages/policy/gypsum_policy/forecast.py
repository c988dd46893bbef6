"""Forecasts for a work queue: learned service times, its pace, and how true they were.

Load pattern: statements of different cost before an upstream whose speed changes. One
mean over all statements refuses a short statement for the sake of a long one, and
admits a long one that can't end in time. A mean of past completions goes on promising
the speed of an upstream that has become slow or silent.
"""

from collections import Counter, deque
from dataclasses import dataclass
from math import exp
from statistics import median

# Kinds of statements with a mean of their own; all further ones share the overall mean.
MAX_KINDS = 256
# Weight of the newest sample in a moving mean.
SERVICE_TIME_WEIGHT = 0.1
# Weights of the mean in the service time without queueing at the upstream, when it is
# lower and when it is higher: a burst must not make queueing the usual speed.
UNLOADED_FALL = 0.02
UNLOADED_RISE = 0.0005
# The pace is that of about this many seconds. A change must show before callers with
# the shortest latency targets, some 0.25 s, have missed them.
PACE_WINDOW = 0.25
# A pace that was measured longer ago than this is forgotten: an overload or a slow
# upstream may have ended while nothing waited.
PACE_EXPIRY = 1.0
# Arrivals are counted in this many intervals of so many seconds: together about as long
# as callers wait, each with enough arrivals for a figure.
ARRIVAL_INTERVALS = 5
ARRIVAL_INTERVAL = 0.2
# Bounds of the factor that corrects forecasts by the error of earlier ones.
MAX_CORRECTION = 2.0
CORRECTION_WEIGHT = 0.05
# Wait of the assumed earlier forecasts, seconds.
CORRECTION_PRIOR = 0.1


class ServiceTimes:
    """Moving means of the seconds from start to answer, overall and by kind.

    `mean` is that of all statements and stands in for kinds that are not known yet.
    """

    def __init__(self, *, mean):
        self.mean = mean
        self.means = {}
        self.unloaded = {}
        self.fastest = {}
        self.slowdown = 1.0

    def expected(self, kind):
        """Expected seconds of a statement of a kind."""
        return self.means.get(kind, self.mean)

    def least(self, kind):
        """Seconds of a kind at an upstream without a queue; 0 if unknown."""
        return self.unloaded.get(kind, 0.0)

    def shortest(self, kind):
        """Seconds of the fastest statement of a kind; 0 if unknown."""
        return self.fastest.get(kind, 0.0)

    def record(self, kind, seconds):
        """Add a measured time; updates `slowdown`, the ratio to times without a queue.

        The first time of a kind is taken for as slow as those of the others were.
        """
        self.mean += SERVICE_TIME_WEIGHT * (seconds - self.mean)
        if kind not in self.means and len(self.means) >= MAX_KINDS:
            return
        mean = self.means.get(kind, seconds)
        mean += SERVICE_TIME_WEIGHT * (seconds - mean)
        self.means[kind] = mean
        self.fastest[kind] = min(seconds, self.fastest.get(kind, seconds))
        least = self.unloaded.get(kind, seconds / max(1.0, self.slowdown))
        weight = UNLOADED_FALL if mean < least else UNLOADED_RISE
        least = self.unloaded[kind] = least + weight * (mean - least)
        ratio = mean / max(least, 1e-6)
        self.slowdown += SERVICE_TIME_WEIGHT * (ratio - self.slowdown)


class Pace:
    """Seconds of work that a backlogged queue starts in each second.

    Service times include the wait in the upstream's own queue, so a queue that always
    has N statements running starts N seconds of work a second, whatever bounds it:
    slots, connections or other owners. Before the first measurement, and after
    `PACE_EXPIRY`, that is assumed.
    """

    def __init__(self):
        self.work = 0.0
        self.time = 0.0
        self.updated_at = float("-inf")

    def begin(self, now, running):
        """Begin to measure since statements wait from now on."""
        if now - self.updated_at > PACE_EXPIRY:
            self.work, self.time = running * PACE_WINDOW, PACE_WINDOW
        self.updated_at = now

    def record_start(self, work, now):
        """Record that a waiting statement with this much work has started."""
        passed = now - self.updated_at
        kept = exp(-passed / PACE_WINDOW)
        self.work = self.work * kept + work
        self.time = self.time * kept + passed
        self.updated_at = now

    def estimate(self, now, usual_work):
        """Current pace; it falls while the next start of `usual_work` is overdue."""
        if self.time <= 0.0 or self.work <= 0.0:
            return 1.0
        pace = self.work / self.time
        overdue = now - self.updated_at - usual_work / pace
        return self.work / (self.time + overdue) if overdue > 0 else pace


@dataclass(frozen=True, slots=True, kw_only=True)
class Outlook:
    """What the forecasts of one moment rest on; `mean` is the mean service time.

    While the next start is `overdue` by so many seconds, it is expected to take as long
    again.
    """

    pace: float
    mean: float
    correction: float
    overdue: float

    def wait(self, work, share=1.0):
        """Seconds until this much work has started and there is room again.

        `share` is the part of the pace that it gets.
        """
        wait = (work + self.mean) / (self.pace * share) * self.correction
        return max(wait, self.overdue)

    def wait_in_order(self, ahead, same_priority, share, least):
        """Seconds until a statement starts that has this much work before it.

        Its priority gets at least the part `least` of the pace for its own work,
        whatever waits above it.
        """
        wait = self.wait(ahead, share)
        if ahead == same_priority:
            return wait
        return min(wait, self.wait(same_priority, min(share, least)))


class ArrivalRates:
    """Seconds of work that arrive in each second, by priority.

    What arrives later and goes first delays a statement as much as what waits already.
    The rate is the median over the last intervals: a burst, all of which waits in the
    queue already, must not pass for a lasting load.
    """

    def __init__(self):
        self.intervals = deque()

    def record(self, priority, work, now):
        """Record a statement with this much work."""
        number = int(now / ARRIVAL_INTERVAL)
        if not self.intervals or self.intervals[-1][0] != number:
            self.intervals.append((number, Counter()))
        while self.intervals[0][0] < number - ARRIVAL_INTERVALS:
            self.intervals.popleft()
        self.intervals[-1][1][priority] += work

    def rate(self, goes_first, now):
        """The rate of the priorities for which `goes_first` is true."""
        current = int(now / ARRIVAL_INTERVAL)
        totals = [0.0] * ARRIVAL_INTERVALS
        for number, arrived in self.intervals:
            age = current - number
            if 1 <= age <= ARRIVAL_INTERVALS:
                totals[age - 1] = sum(
                    work for priority, work in arrived.items() if goes_first(priority)
                )
        return median(totals) / ARRIVAL_INTERVAL


class ForecastCheck:
    """Compares forecast with actual waits and corrects the forecasts to come.

    `error` is the mean difference in seconds; `correction` multiplies forecasts. It is
    a ratio of means: that of single waits would be dominated by the shortest ones.
    """

    def __init__(self):
        self.error = 0.0
        self.forecast = self.actual = CORRECTION_PRIOR

    @property
    def correction(self):
        """Factor by which forecasts were too short lately."""
        ratio = self.actual / self.forecast
        return min(MAX_CORRECTION, max(1 / MAX_CORRECTION, ratio))

    def record(self, forecast, actual):
        """Record a wait that has ended; `forecast` does not include the correction."""
        error = abs(actual - forecast * self.correction)
        self.error += CORRECTION_WEIGHT * (error - self.error)
        self.forecast += CORRECTION_WEIGHT * (forecast - self.forecast)
        self.actual += CORRECTION_WEIGHT * (actual - self.actual)
