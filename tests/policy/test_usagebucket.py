"""Buckets of workspaces at their homes: windows, priorities and bookings."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.ratelimit import WINDOW, Cap, standby_cap
from gypsum_policy.usagebucket import Demand, WorkspaceBucket, patience, shared_cap
from gypsum_policy.usagepriority import OWED_SHARE
from gypsum_policy.usagewindow import window_limit

CAP = Cap(rate=40.0, burst=40.0, version=1)
CAPS = st.builds(
    Cap, rate=st.floats(0.5, 200), burst=st.floats(1, 200), version=st.just(1)
)
STEPS = st.lists(
    st.tuples(st.floats(0, 2), st.integers(0, 2), st.integers(1, 300)), max_size=60
)


def ask(bucket, now, *wanted, patience=0.0):
    """Request operations by (priority, count); returns when each begins."""
    demands = [Demand(priority=p, count=n, patience=patience) for p, n in wanted]
    begins = []
    for item in bucket.grant(demands, now):
        begins += [now] * item.ready + [now + delay for delay in item.delays]
    return begins


def most_in_window(times):
    """The maximum number of operations in any window."""
    times = sorted(times)
    return max(
        (sum(first <= at <= first + WINDOW for at in times) for first in times),
        default=0,
    )


@given(CAPS, STEPS, st.floats(0, 0.3))
def test_no_window_grants_more_than_the_cap(cap, steps, longest):
    """Guards against operations beyond a cap in some window, with grants ahead."""
    now, bucket = 0.0, WorkspaceBucket(cap=cap, now=0.0, tokens=cap.burst)
    begins = []
    for pause, priority, count in steps:
        now += pause
        begins += ask(bucket, now, (priority, count), patience=longest)
    assert most_in_window(begins) <= window_limit(cap) + 1e-6


def test_a_workspace_at_its_cap_gets_what_windows_allow():
    """Guards against refusing a sixth of what a cap allows, once its burst is spent."""
    bucket, begins = WorkspaceBucket(cap=CAP, now=0.0, tokens=CAP.burst), []
    for step in range(3000):
        begins += ask(bucket, step / 100, (0, 2))
    allowed = window_limit(CAP) / WINDOW * 15
    assert 0.95 * allowed <= sum(at >= 15 for at in begins) <= allowed + 1
    assert most_in_window(begins) <= window_limit(CAP)


def test_until_a_window_is_known_the_tokens_alone_count():
    """Guards against a new home that adds a burst to what another one granted."""
    bucket, begins = WorkspaceBucket(cap=CAP, now=0.0, tokens=2.0), []
    for step in range(490):
        begins += ask(bucket, step / 100, (0, 5), patience=0.2)
    assert len(begins) <= 2 + CAP.rate * 4.9


@pytest.mark.parametrize("seed", range(10))
def test_homes_that_take_over_at_any_time_stay_within_the_window(seed):
    """Guards against a takeover right after a home has granted the whole window.

    Its successor knows none of these grants and begins at the plain rate.
    """
    rng = Random(seed)
    change = 20.0 + rng.random() * WINDOW
    first = WorkspaceBucket(cap=CAP, now=0.0, tokens=CAP.burst)
    second = WorkspaceBucket(cap=standby_cap(CAP), now=change, tokens=2.0)
    begins, now = [], 0.0
    while now < change + 4.9:
        begins += ask(first if now < change else second, now, (0, 9), patience=0.1)
        now += rng.random() * 0.05
    booked = CAP.rate * 0.1
    assert most_in_window(begins) <= window_limit(CAP) + 2.0 + booked


def test_reported_grants_leave_less():
    """Guards against a home that grants beside another one it doesn't hear of."""
    bucket = WorkspaceBucket(cap=CAP, now=0.0, tokens=40.0)
    bucket.window.record_report(("d2", "d3", 1), 9.0, 230)
    assert len(ask(bucket, 10.0, (0, 100))) <= window_limit(CAP) - 230


def test_what_was_granted_under_a_higher_cap_does_not_count():
    bucket = WorkspaceBucket(cap=CAP, now=0.0, tokens=40.0)
    for step in range(100):
        ask(bucket, step / 10, (0, 50))
    low = Cap(rate=8.0, burst=8.0, version=2)
    bucket.set_caps(low, low, 10.0)
    assert len(ask(bucket, 13.0, (0, 50))) == 8
    bucket.set_caps(CAP, CAP, 13.0)
    assert bucket.full_cap == low


def test_an_operation_begins_when_its_token_has_accrued():
    bucket = WorkspaceBucket(cap=CAP, now=0.0, tokens=40.0)
    assert len(ask(bucket, 6.0, (0, 40))) == 40
    begins = ask(bucket, 6.0, (0, 10), patience=0.1)
    assert len(begins) == 4
    for number, at in enumerate(begins, 1):
        assert abs(at - 6.0 - number / CAP.rate) < 0.02


def test_bookings_leave_half_of_the_reserve():
    """Guards against urgent operations that wait behind booked lower ones."""
    bucket = WorkspaceBucket(cap=CAP, now=0.0, tokens=40.0)
    for step in range(80):
        ask(bucket, step / 10, (0, 1), (2, 30), patience=0.2)
        assert bucket.tokens >= 1


def test_urgent_operations_pass_while_lower_ones_take_the_rest():
    bucket, rng = WorkspaceBucket(cap=CAP, now=0.0, tokens=40.0), Random(1)
    served = {0: 0, 1: 0, 2: 0}
    refused, now = 0, 0.0
    while now < 20:
        now += rng.expovariate(200)
        priority = rng.choices((0, 1, 2), (20, 60, 120))[0]
        begun = len(ask(bucket, now, (priority, 1)))
        served[priority] += begun
        refused += priority == 0 and not begun
    assert refused == 0
    assert served[2] >= 0.8 * 0.05 * CAP.rate * 20
    assert served[1] > 2 * served[2]


def test_an_operation_waits_for_a_part_of_its_target():
    assert patience(0.4, 1.0) == 0.1
    assert patience(2.0, 0.4) == 0.1


def test_lower_priorities_get_their_share_without_a_burst():
    """Guards against starving them where a bucket holds a single operation."""
    cap = Cap(rate=20.0, burst=0.0, version=1)
    bucket = WorkspaceBucket(cap=shared_cap(cap), now=0.0, tokens=0.0)
    begun = {0: 0, 1: 0, 2: 0}
    for step in range(1200):
        demands = [Demand(priority=p, count=2, patience=0.1) for p in begun]
        for item in bucket.grant(demands, 0.05 * step):
            begun[item.priority] += item.ready + len(item.delays)
    assert min(begun.values()) >= 0.6 * OWED_SHARE * cap.rate * 60
