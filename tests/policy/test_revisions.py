"""Revisions of a store that is restored from older copies."""

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


def test_a_revision_contains_its_era_and_number():
    revision = make_revision(3, 91)
    assert (era_of(revision), number_of(revision), format_revision(revision)) == (
        3,
        91,
        "3/91",
    )
    assert same_era(revision, make_revision(3, 1)) and not same_era(
        revision, make_revision(2, 91)
    )


def test_without_eras_a_revision_is_the_stores_number():
    assert make_revision(0, 93) == number_of(93) == format_revision(93) == 93


def test_changes_of_a_new_era_do_not_follow_on_an_earlier_one():
    """Changes of a new history must not count as the next ones of the lost history."""
    known, since = make_revision(1, 93), make_revision(1, 90)
    assert is_contiguous(known, since, make_revision(1, 94))
    assert not is_contiguous(known, since, make_revision(2, 91))
