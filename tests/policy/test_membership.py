"""When a list of daemons can be gone by."""

from gypsum_policy.membership import STABILITY_TIMEOUT, STABLE_AFTER, is_list_stable


def test_a_list_that_grows_is_waited_for():
    assert not is_list_stable(rejoined=False, listed_for=1.0, unchanged_for=0.1)


def test_one_that_stands_still_is_whole():
    assert is_list_stable(rejoined=False, listed_for=3.0, unchanged_for=STABLE_AFTER)


def test_who_restarts_waits_for_nothing():
    """After a power loss of all every moment counts."""
    assert is_list_stable(rejoined=True, listed_for=0.0, unchanged_for=0.0)


def test_nobody_waits_for_ever():
    assert is_list_stable(
        rejoined=False, listed_for=STABILITY_TIMEOUT, unchanged_for=0.0
    )
