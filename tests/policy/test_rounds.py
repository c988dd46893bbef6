"""Rounds of a read over upstreams that all refused it."""

import pytest

from gypsum_policy.rounds import (
    FIRST_PAUSE,
    LONGEST_PAUSE,
    Obstacle,
    expected_lag,
    pause_before_round,
    retry_wait,
)

QUEUED = Obstacle(queued=True, ready_in=0.6)
UNKNOWN = Obstacle()


def lagging(ready_in):
    """A replica that is expected to be up to date after so many seconds."""
    return Obstacle(lagging=True, ready_in=ready_in)


def test_rounds_end_when_no_upstream_can_run_the_read_in_time():
    """Guards against rounds until the deadline in which nothing can change."""
    obstacles = [lagging(3.0), lagging(9.0), QUEUED]
    assert pause_before_round(obstacles, number=0, time_left=1.0) is None
    assert pause_before_round([], number=0, time_left=1.0) is None


def test_a_read_waits_for_a_replica_that_is_soon_up_to_date():
    obstacles = [lagging(0.15), lagging(9.0), QUEUED]
    assert pause_before_round(obstacles, number=0, time_left=1.0) == 0.15
    assert pause_before_round(obstacles, number=0, time_left=0.2) is None


def test_pauses_grow_where_nothing_is_known():
    pauses = [
        pause_before_round([UNKNOWN, QUEUED], number=number, time_left=1.0)
        for number in range(20)
    ]
    assert pauses[0] == FIRST_PAUSE
    assert pauses == sorted(pauses)
    assert pauses[-1] == LONGEST_PAUSE
    assert pause_before_round([UNKNOWN], number=0, time_left=0.0) is None


def test_a_replica_that_lags_for_long_is_expected_to_go_on():
    assert expected_lag(usual=0.15, behind_for=0.0) == pytest.approx(0.17)
    assert expected_lag(usual=0.15, behind_for=2.0) > 2.0


def test_callers_are_told_to_retry_when_the_first_upstream_is_ready():
    assert retry_wait([lagging(0.4), lagging(0.9)]) == 0.4
    assert retry_wait([]) == 0.0
