"""Reserves, shares and return times of a workspace's priorities."""

from gypsum_policy.usagepriority import (
    OWED_SHARE,
    RESERVE_SHARE,
    RETURN_SECONDS,
    PriorityShares,
)

RATE = 40.0


def shares_with(demand, seconds=10.0):
    """Shares after steady demand, in operations per second by priority."""
    shares = PriorityShares()
    for step in range(round(seconds * 10)):
        for priority, rate in demand.items():
            shares.record_demand(priority, rate / 10, step / 10, RATE)
    return shares, seconds


def test_one_priority_leaves_no_reserve():
    shares, now = shares_with({2: 200.0})
    assert shares.reserve(2, now, RATE) == 0


def test_a_lower_priority_leaves_a_reserve_for_recent_demand():
    shares, now = shares_with({0: 10.0, 2: 200.0})
    assert 5.0 <= shares.reserve(2, now, RATE) <= 15.0
    assert shares.reserve(0, now, RATE) <= 1
    assert shares.reserve(2, now + 3.0, RATE) < shares.reserve(2, now, RATE)


def test_a_reserve_is_bounded():
    shares, now = shares_with({0: 500.0, 2: 200.0})
    assert shares.reserve(2, now, RATE) == RESERVE_SHARE * RATE
    assert shares.reserve(2, now, 1.0) == 0


def test_a_priority_that_waits_is_owed_a_share():
    shares, now = shares_with({0: 500.0, 2: 10.0})
    assert shares.owed(2) == OWED_SHARE * RATE
    shares.record_grants(2, 5)
    assert shares.owed(2) == 0


def test_refused_operations_return_one_after_the_other():
    """Guards against a burst that returns all at once."""
    shares, now = shares_with({1: 20.0})
    first = shares.return_after(1, 8, 0.01, now, RATE)
    second = shares.return_after(1, 8, 0.01, now, RATE)
    assert first == 0.01
    assert abs(second - first - 8 / RATE) < 1e-6
    for _ in range(50):
        assert shares.return_after(1, 8, 0.01, now, RATE) <= RETURN_SECONDS
    assert shares.return_after(1, 8, 20.0, now, RATE) == RETURN_SECONDS
    shares.served(1, now)
    assert shares.return_after(1, 8, 0.01, now, RATE) == 0.01
