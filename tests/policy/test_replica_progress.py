"""What is known and expected of a replica's progress."""

import pytest

from gypsum_core.records import Position
from gypsum_policy.replica_progress import (
    KNOWLEDGE_EXPIRY,
    PROBE_INTERVAL_MAX,
    PROBE_INTERVAL_MIN,
    LagBounds,
    Readiness,
    ReplicaProgress,
)


def at(index, term=1):
    """A position."""
    return Position(term=term, index=index)


def known(index=100, seen_at=10.0, lag=0.15):
    """The progress of a replica that showed a position."""
    progress = ReplicaProgress()
    progress.record_position(at(index), seen_at, LagBounds(least=lag, greatest=lag))
    return progress


def test_the_same_replica_serves_an_old_floor_and_not_a_new_one():
    progress = known()
    assert progress.readiness(at(100), 9.9, 10.0) is Readiness.SHOWN
    assert progress.readiness(at(101), 9.9, 10.0) is Readiness.SOON
    assert progress.ready_in(9.9, 10.0) == pytest.approx(0.05)


def test_a_replica_is_expected_to_have_what_its_lag_lets_it_have():
    assert known().readiness(at(101), 9.9, 10.06) is Readiness.EXPECTED


def test_a_replica_of_which_nothing_is_known_is_asked():
    assert ReplicaProgress().readiness(at(5), 9.0, 10.0) is Readiness.EXPECTED


def test_nothing_is_expected_of_a_replica_after_a_refusal_until_it_shows_progress():
    """Guards against asking a replica again that has stopped applying."""
    progress = known()
    progress.record_refusal(at(101), at(100), 11.0, 10.5)
    assert progress.readiness(at(101), 10.5, 11.9) is Readiness.BEHIND
    assert progress.readiness(at(100), 9.9, 11.9) is Readiness.SHOWN
    progress.record_position(at(100), 11.1)
    assert progress.readiness(at(101), 10.5, 11.9) is Readiness.BEHIND
    progress.record_position(at(140), 11.2)
    assert progress.readiness(at(120), 11.0, 11.9) is Readiness.SHOWN


def test_a_refusal_without_answers_to_probes_is_not_remembered_for_ever():
    """Guards against a replica that is left out because no probe gets through."""
    progress = known()
    progress.record_refusal(at(101), at(100), 11.0, 10.5)
    later = 11.1 + KNOWLEDGE_EXPIRY
    assert progress.readiness(at(101), 10.5, later) is Readiness.UNKNOWN


def test_the_lag_grows_at_once_and_shrinks_step_by_step():
    progress = known(lag=0.15)
    progress.record_position(at(101), 11.0, LagBounds(least=0.5, greatest=0.6))
    assert progress.lag == 0.5
    progress.record_position(at(102), 12.0, LagBounds(least=0.1, greatest=0.2))
    assert 0.2 < progress.lag < 0.5
    for number in range(20):
        progress.record_position(at(103 + number), 13.0, LagBounds(greatest=0.2))
    assert progress.lag == pytest.approx(0.2, abs=0.01)


def test_probes_of_a_stopped_replica_become_rarer_up_to_a_bound():
    progress = known()
    progress.record_refusal(at(101), at(100), 11.0, 10.5)
    times, now = [], 11.0
    while now < 17.0:
        now += 0.01
        if progress.probe_due(now):
            progress.start_probe(now)
            times.append(now)
            progress.record_position(at(100), now)
    gaps = [late - early for early, late in zip(times, times[1:], strict=False)]
    assert times[0] - 11.0 < PROBE_INTERVAL_MIN + 0.02
    assert max(gaps) <= PROBE_INTERVAL_MAX + 0.02
    assert len(times) < 20


def test_answers_to_other_reads_make_probes_unnecessary():
    progress = known()
    progress.record_refusal(at(101), at(100), 11.0, 10.5)
    progress.record_position(at(100), 11.04)
    assert not progress.probe_due(11.06)


def test_a_floor_that_was_shown_and_refused_is_asked_for_rarely():
    """Guards against reads in a loop where the shown position is not applied yet."""
    progress = known(index=120)
    now, asked = 11.0, 0
    while now < 15.0:
        now += 0.01
        if progress.readiness(at(110), 10.0, now) is Readiness.SHOWN:
            asked += 1
            progress.record_refusal(at(110), at(120), now, 10.0)
            progress.record_position(at(120 + asked), now)
    assert asked < 15
    progress.record_served(at(110))
    assert progress.readiness(at(110), 10.0, now) is Readiness.SHOWN


def test_a_position_of_another_term_is_no_proof():
    assert known(index=120).readiness(at(110, term=2), 10.0, 10.0) is Readiness.SOON
