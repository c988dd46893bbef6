"""How long owners' answers take, and when another one is asked first."""

from gypsum_policy.latency import (
    DEFAULT_LATENCY,
    FORGET_AFTER,
    LatencyTracker,
    is_slower,
)
from gypsum_policy.ownership import OwnerView, owners_to_ask


def view(name, rank=0, **more):
    """An owner as seen from somewhere."""
    return OwnerView(name=name, rank=rank, far=False, avoided=False, **more)


def tracker(*seconds):
    """The pace of an owner with some answers, one a second."""
    tracked = LatencyTracker()
    for now, each in enumerate(seconds):
        tracked.record(each, float(now))
    return tracked


def test_nothing_is_expected_of_an_owner_that_nobody_asked():
    assert LatencyTracker().estimate(1.0) is None


def test_three_slow_answers_say_that_an_owner_lags():
    fast = tracker(0.05, 0.05).estimate(1.0)
    assert not is_slower(tracker(0.05, 0.4).estimate(1.0), fast)
    assert is_slower(tracker(0.05, 0.4, 0.4, 0.4).estimate(3.0), fast)


def test_an_owner_that_answers_nothing_lags_before_any_answer():
    """Symptom: a daemon sends everything to an owner that takes seconds.

    Sequence: an owner turns very slow. Cause: answers alone tell how fast it is, and
    there are none. One question that waits says nothing: it may be slow by itself.
    """
    tracked = tracker(0.05)
    tracked.start_request(1, 1.0)
    assert not is_slower(tracked.estimate(2.0), DEFAULT_LATENCY)
    tracked.start_request(2, 1.5)
    assert is_slower(tracked.estimate(2.0), DEFAULT_LATENCY)
    tracked.finish_request(1)
    assert not is_slower(tracked.estimate(2.0), DEFAULT_LATENCY)


def test_what_was_slow_long_ago_is_tried_again():
    tracked = tracker(1.0)
    assert tracked.estimate(FORGET_AFTER) == 1.0
    assert tracked.estimate(FORGET_AFTER + 0.1) is None
    tracked.record(0.05, FORGET_AFTER + 1.0)
    assert tracked.estimate(FORGET_AFTER + 1.0) == 0.05


def test_when_all_are_slow_nobody_lags():
    assert not is_slower(1.0, 0.9)
    assert not is_slower(0.15, None)


def test_an_owner_that_lags_is_asked_after_the_next():
    names = owners_to_ask([view("a"), view("b")], owners=2, daemon="me")
    slow = [
        view(name, expected_latency=1.0 if name == names[0] else None) for name in names
    ]
    assert owners_to_ask(slow, owners=2, daemon="me") == names[::-1]


def test_nobody_who_owns_nothing_is_asked_for_an_owner_that_lags():
    views = [view("owner", expected_latency=1.0), view("next", 1)]
    assert owners_to_ask(views, owners=1, daemon="me") == ["owner", "next"]
