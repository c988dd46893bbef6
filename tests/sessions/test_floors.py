"""When the leader reached a position, and what that says of a replica's lag."""

import pytest

from gypsum_core.records import Position
from gypsum_sessions.takeover.floors import Floors


def at(index):
    """A position."""
    return Position(term=1, index=index)


def known_floors(*steps):
    """Floors of (index, time) pairs."""
    floors = Floors(retention=30.0)
    for index, asked_at in steps:
        floors.add(at(index), asked_at)
    return floors


def test_a_position_between_two_floors_was_reached_between_their_times():
    floors = known_floors((10, 1.0), (20, 2.0))
    assert floors.reached_at(at(15)) == pytest.approx(1.5)
    assert floors.reached_at(at(20)) == 2.0


def test_a_quiet_leader_reached_its_next_position_after_its_last_proof():
    floors = known_floors((10, 1.0), (10, 5.0), (11, 5.25))
    assert floors.reached_at(at(10)) == 1.0
    assert floors.reached_at(at(11)) == 5.25


def test_a_position_beyond_all_floors_was_reached_at_an_unknown_time():
    floors = known_floors((10, 1.0))
    assert floors.reached_at(at(11)) is None
    assert floors.expected_reached_at(at(11), 1.2) == pytest.approx(1.1)
    assert floors.expected_reached_at(at(10), 7.0) == 1.0


def test_the_lag_lies_between_the_shown_position_and_the_next():
    bounds = known_floors((10, 1.0), (20, 2.0)).lag_bounds(at(14), 2.1, 2.2)
    assert bounds.least == pytest.approx(0.6)
    assert bounds.greatest == pytest.approx(0.8)


def test_a_replica_with_all_known_positions_has_no_least_lag():
    """Guards against a quiet group whose replicas seem to lag ever more."""
    bounds = known_floors((10, 1.0), (10, 9.0)).lag_bounds(at(10), 9.1, 9.1)
    assert bounds.least is None


def test_old_steps_are_dropped_with_old_floors():
    floors = known_floors(*((number, float(number)) for number in range(100)))
    assert len(floors.steps) <= 32
    floors.clear()
    assert floors.reached_at(at(99)) is None
