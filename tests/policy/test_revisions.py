"""Revisions over returns of the store from older copies."""

from gypsum_policy.relays import is_contiguous
from gypsum_policy.revisions import (
    MOST_NUMBER,
    era_of,
    in_era,
    label,
    number_of,
    same_era,
)


def test_every_revision_of_a_later_era_is_above_all_earlier_ones():
    assert in_era(2, 0) > in_era(1, MOST_NUMBER)
    assert in_era(1, 8) > in_era(1, 7)


def test_a_revision_tells_its_era_and_number():
    revision = in_era(3, 91)
    assert (era_of(revision), number_of(revision), label(revision)) == (3, 91, "3/91")
    assert same_era(revision, in_era(3, 1)) and not same_era(revision, in_era(2, 91))


def test_without_eras_a_revision_is_the_number():
    assert in_era(0, 93) == number_of(93) == label(93) == 93


def test_nothing_follows_on_an_earlier_history():
    """Guards against taking changes of a new history as the next of a lost one."""
    known, since = in_era(1, 93), in_era(1, 90)
    assert is_contiguous(known, since, in_era(1, 94))
    assert not is_contiguous(known, since, in_era(2, 91))
