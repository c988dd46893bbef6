"""Revisions over returns of the store from older copies."""

from gypsum_policy.relays import is_contiguous
from gypsum_policy.revisions import (
    MAX_NUMBER,
    era_of,
    format_revision,
    make_revision,
    number_of,
    same_era,
)


def test_every_revision_of_a_later_era_is_above_all_earlier_ones():
    assert make_revision(2, 0) > make_revision(1, MAX_NUMBER)
    assert make_revision(1, 8) > make_revision(1, 7)


def test_a_revision_tells_its_era_and_number():
    revision = make_revision(3, 91)
    assert (era_of(revision), number_of(revision), format_revision(revision)) == (
        3,
        91,
        "3/91",
    )
    assert same_era(revision, make_revision(3, 1)) and not same_era(
        revision, make_revision(2, 91)
    )


def test_without_eras_a_revision_is_the_number():
    assert make_revision(0, 93) == number_of(93) == format_revision(93) == 93


def test_nothing_follows_on_an_earlier_history():
    """Guards against taking changes of a new history as the next of a lost one."""
    known, since = make_revision(1, 93), make_revision(1, 90)
    assert is_contiguous(known, since, make_revision(1, 94))
    assert not is_contiguous(known, since, make_revision(2, 91))
