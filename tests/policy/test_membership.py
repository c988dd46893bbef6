"""When the list of daemons counts as complete."""

from gypsum_policy.membership import STABILITY_TIMEOUT, STABLE_AFTER, is_list_stable


def test_a_growing_list_is_not_complete():
    assert not is_list_stable(rejoined=False, listed_for=1.0, unchanged_for=0.1)


def test_an_unchanged_list_is_complete():
    assert is_list_stable(rejoined=False, listed_for=3.0, unchanged_for=STABLE_AFTER)


def test_a_restarted_daemon_does_not_wait():
    """Waiting would prolong the outage after a power loss of all daemons."""
    assert is_list_stable(rejoined=True, listed_for=0.0, unchanged_for=0.0)


def test_the_wait_for_a_growing_list_is_bounded():
    assert is_list_stable(
        rejoined=False, listed_for=STABILITY_TIMEOUT, unchanged_for=0.0
    )
