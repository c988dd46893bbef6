"""Service times by kind, the pace of a queue, arrivals, and corrected forecasts."""

import pytest

from gypsum_policy.forecast import (
    ARRIVAL_INTERVAL,
    MAX_CORRECTION,
    MAX_KINDS,
    PACE_EXPIRY,
    ArrivalRates,
    ForecastCheck,
    Pace,
    ServiceTimes,
)


def test_each_kind_has_its_own_time_and_unknown_kinds_the_mean():
    times = ServiceTimes(mean=0.03)
    for _ in range(50):
        times.record("short", 0.01)
        times.record("long", 0.2)
    assert times.expected("short") == pytest.approx(0.01, rel=0.01)
    assert times.expected("long") == pytest.approx(0.2, rel=0.01)
    assert times.expected("other") == times.mean
    assert 0.05 < times.mean < 0.15


def test_the_number_of_kinds_is_bounded():
    times = ServiceTimes(mean=0.03)
    for number in range(2 * MAX_KINDS):
        times.record(number, 0.01)
    assert len(times.means) == len(times.unloaded) == MAX_KINDS


def test_a_kind_first_seen_under_load_is_not_taken_for_unloaded():
    """Guards against an owner that starts in an overload and takes it for normal."""
    times = ServiceTimes(mean=0.03)
    for _ in range(50):
        times.record("known", 0.02)
    for _ in range(100):
        times.record("known", 0.1)
    times.record("new", 0.1)
    assert times.slowdown == pytest.approx(5.0, rel=0.2)
    assert times.least("new") < 0.03


def test_the_pace_is_measured_and_falls_while_the_next_start_is_overdue():
    """Guards against forecasts that promise the speed of an upstream gone silent."""
    pace = Pace()
    pace.begin(0.0, 4)
    assert pace.estimate(0.0, 0.02) == pytest.approx(4.0)
    for step in range(1, 101):
        pace.record_start(0.02, 0.01 * step)
    assert pace.estimate(1.0, 0.02) == pytest.approx(2.0, rel=0.05)
    assert pace.estimate(1.5, 0.02) < 1.0


def test_an_old_pace_is_forgotten():
    """Guards against refusals for the sake of an overload that is long over."""
    pace = Pace()
    pace.begin(0.0, 4)
    for step in range(1, 20):
        pace.record_start(0.02, 0.1 * step)
    pace.begin(2.0 + PACE_EXPIRY, 4)
    assert pace.estimate(2.0 + PACE_EXPIRY, 0.02) == pytest.approx(4.0)


def test_a_burst_is_no_lasting_load():
    """Guards against counting a burst twice, as waiting and as still to come."""
    burst, lasting = ArrivalRates(), ArrivalRates()
    for _ in range(100):
        burst.record(0, 0.02, 0.0)
    for step in range(100):
        lasting.record(0, 0.02, 0.01 * step)
    assert burst.rate(lambda priority: True, ARRIVAL_INTERVAL) == 0.0
    assert lasting.rate(lambda priority: True, 1.0) == pytest.approx(2.0, rel=0.1)
    assert lasting.rate(lambda priority: priority > 0, 1.0) == 0.0


def test_forecasts_are_corrected_by_what_came():
    check = ForecastCheck()
    for _ in range(200):
        check.record(0.2, 0.3)
    assert check.correction == pytest.approx(1.5, rel=0.05)
    assert check.error < 0.02
    for _ in range(200):
        check.record(0.1, 9.0)
    assert check.correction == MAX_CORRECTION
