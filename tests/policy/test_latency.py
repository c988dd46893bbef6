"""How long owners' answers take, and when another one is asked first."""

from gypsum_policy.latency import FORGET_AFTER, TYPICAL, Pace, lags
from gypsum_policy.ownership import OwnerView, owners_to_ask


def view(name, rank=0, **more):
    """An owner as seen from somewhere."""
    return OwnerView(name=name, rank=rank, far=False, avoided=False, **more)


def pace(*seconds):
    """The pace of an owner with some answers, one a second."""
    made = Pace()
    for now, each in enumerate(seconds):
        made.note(each, float(now))
    return made


def test_nothing_is_expected_of_an_owner_that_nobody_asked():
    assert Pace().expected(1.0) is None


def test_three_slow_answers_say_that_an_owner_lags():
    fast = pace(0.05, 0.05).expected(1.0)
    assert not lags(pace(0.05, 0.4).expected(1.0), fast)
    assert lags(pace(0.05, 0.4, 0.4, 0.4).expected(3.0), fast)


def test_an_owner_that_answers_nothing_lags_before_any_answer():
    """Symptom: a daemon sends everything to an owner that takes seconds.

    Sequence: an owner turns very slow. Cause: answers alone tell how fast it is, and
    there are none. One question that waits says nothing: it may be slow by itself.
    """
    made = pace(0.05)
    made.asked(1, 1.0)
    assert not lags(made.expected(2.0), TYPICAL)
    made.asked(2, 1.5)
    assert lags(made.expected(2.0), TYPICAL)
    made.over(1)
    assert not lags(made.expected(2.0), TYPICAL)


def test_what_was_slow_long_ago_is_tried_again():
    made = pace(1.0)
    assert made.expected(FORGET_AFTER) == 1.0
    assert made.expected(FORGET_AFTER + 0.1) is None
    made.note(0.05, FORGET_AFTER + 1.0)
    assert made.expected(FORGET_AFTER + 1.0) == 0.05


def test_when_all_are_slow_nobody_lags():
    assert not lags(1.0, 0.9)
    assert not lags(0.15, None)


def test_an_owner_that_lags_is_asked_after_the_next():
    names = owners_to_ask([view("a"), view("b")], owners=2, daemon="me")
    slow = [
        view(name, expected_latency=1.0 if name == names[0] else None) for name in names
    ]
    assert owners_to_ask(slow, owners=2, daemon="me") == names[::-1]


def test_nobody_who_owns_nothing_is_asked_for_an_owner_that_lags():
    views = [view("owner", expected_latency=1.0), view("next", 1)]
    assert owners_to_ask(views, owners=1, daemon="me") == ["owner", "next"]
