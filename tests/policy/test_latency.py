"""Measured latency of owners, and when another owner is asked first."""

from gypsum_policy.latency import (
    DEFAULT_LATENCY,
    FORGET_AFTER,
    LatencyTracker,
    is_slower,
)
from gypsum_policy.ownership import OwnerView, owners_to_ask


def view(name, rank=0, **more):
    """A daemon as seen by the asking one."""
    return OwnerView(name=name, rank=rank, far=False, avoided=False, **more)


def tracker(*seconds):
    """The latency of an owner with some answers, one per second."""
    tracked = LatencyTracker()
    for now, each in enumerate(seconds):
        tracked.record(each, float(now))
    return tracked


def test_the_latency_of_an_owner_that_was_never_asked_is_unknown():
    assert LatencyTracker().estimate(1.0) is None


def test_three_slow_answers_make_an_owner_slower():
    fast = tracker(0.05, 0.05).estimate(1.0)
    assert not is_slower(tracker(0.05, 0.4).estimate(1.0), fast)
    assert is_slower(tracker(0.05, 0.4, 0.4, 0.4).estimate(3.0), fast)


def test_pending_requests_make_an_owner_slower_before_any_answer():
    """An owner that takes seconds must not get all statements until it answers.

    Answers alone don't show that it became very slow, since there are none yet. One
    pending request proves nothing: it may itself be slow.
    """
    tracked = tracker(0.05)
    tracked.start_request(1, 1.0)
    assert not is_slower(tracked.estimate(2.0), DEFAULT_LATENCY)
    tracked.start_request(2, 1.5)
    assert is_slower(tracked.estimate(2.0), DEFAULT_LATENCY)
    tracked.finish_request(1)
    assert not is_slower(tracked.estimate(2.0), DEFAULT_LATENCY)


def test_an_old_measurement_is_forgotten():
    tracked = tracker(1.0)
    assert tracked.estimate(FORGET_AFTER) == 1.0
    assert tracked.estimate(FORGET_AFTER + 0.1) is None
    tracked.record(0.05, FORGET_AFTER + 1.0)
    assert tracked.estimate(FORGET_AFTER + 1.0) == 0.05


def test_no_owner_is_slower_when_all_are_slow():
    assert not is_slower(1.0, 0.9)
    assert not is_slower(0.15, None)


def test_a_slower_owner_is_asked_after_the_next_one():
    names = owners_to_ask([view("a"), view("b")], owners=2, daemon="me")
    slow = [
        view(name, expected_latency=1.0 if name == names[0] else None) for name in names
    ]
    assert owners_to_ask(slow, owners=2, daemon="me") == names[::-1]


def test_a_standby_is_not_asked_before_a_slow_owner():
    views = [view("owner", expected_latency=1.0), view("next", 1)]
    assert owners_to_ask(views, owners=1, daemon="me") == ["owner", "next"]
