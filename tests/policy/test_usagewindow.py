"""Sliding windows of grants: what may be added, and what daemons report."""

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.ratelimit import WINDOW, Cap
from gypsum_policy.usagewindow import (
    SLOT,
    GrantWindow,
    ReceivedGrants,
    slot_at,
    window_limit,
)

CAP = Cap(rate=10, burst=30, version=1)


def test_an_empty_window_leaves_the_burst():
    assert GrantWindow().spare(100.0, 0.0, CAP) == CAP.burst
    assert GrantWindow().spare(100.0, CAP.burst, CAP) == 0


@given(
    st.lists(st.tuples(st.floats(0, WINDOW), st.integers(1, 20)), max_size=30),
    st.floats(0, 30),
)
def test_tokens_and_spare_leave_room_for_the_rate(past, tokens):
    """Guards against a window that a new home exceeds at the plain rate."""
    window, now = GrantWindow(), 100.0
    for age, count in past:
        window.record(now - age, count)
    spare = window.spare(now, tokens, CAP)
    if spare < 0:
        return
    for ahead in (0.0, 0.3, 1.0, 2.7, 4.0, WINDOW):
        counted = sum(n for age, n in past if age < WINDOW - ahead)
        begun = tokens + spare + CAP.rate * ahead
        assert counted + begun <= window_limit(CAP) + 1e-6


def test_a_report_that_comes_twice_counts_once():
    """Guards against refusals below the cap after lost answers.

    A report without an answer is sent again, also through another daemon.
    """
    window = GrantWindow()
    for total in (5, 5, 7):
        window.record_report(("d1", "d2", 20), 99.0, total)
    assert sum(window.slots.values()) == sum(window.foreign.values()) == 7


def test_grants_leave_the_window_after_its_length():
    window = GrantWindow()
    window.record(10.0, 3)
    window.record_report(("d1", "d2", 200), 10.0, 4)
    window.expire(10.0 + WINDOW)
    assert sum(window.slots.values()) == 7
    window.expire(10.0 + WINDOW + 2 * SLOT)
    assert not window.slots and not window.foreign
    window.expire(10.1 + 2 * WINDOW)
    assert not window.reported


def test_a_home_is_sent_what_it_neither_granted_nor_confirmed():
    received, now = ReceivedGrants(), 10.0
    received.record("d1", now, 3)
    received.record("d2", now, 4)
    report = received.report_for("d1", now)
    assert report == {(slot_at(now), "d2"): 4}
    assert received.report_for("d1", now) == report
    received.mark_reported("d1", report)
    assert received.report_for("d1", now) == {}
    received.record("d2", now, 1)
    assert received.report_for("d1", now) == {(slot_at(now), "d2"): 5}
    assert received.report_for("d1", now + WINDOW + 1) == {}
    assert not received.reported
