"""Tests which news of an upstream's entry counts as outdated."""

import pytest

from gypsum_policy.listing import (
    UNKNOWN,
    is_outdated,
    is_outdated_list,
    is_outdated_removal,
)


@pytest.mark.parametrize(
    ("changed", "shown_at", "known", "listed_up_to", "outdated"),
    [
        (5, 5, 7, 7, True),
        (7, 7, 7, 9, False),
        (8, 8, 7, 7, False),
        (5, 6, None, 8, True),
        (5, 8, None, 8, False),
        (UNKNOWN, 6, 7, 8, False),
        (5, UNKNOWN, None, 8, False),
    ],
)
def test_an_entry_counts_only_for_what_it_is_newer_about(
    changed, shown_at, known, listed_up_to, outdated
):
    found = is_outdated(
        changed, shown_at=shown_at, known=known, listed_up_to=listed_up_to
    )
    assert found is outdated


def test_removals_and_lists_from_before_what_is_known_are_outdated():
    assert is_outdated_removal(5, known=6)
    assert not is_outdated_removal(6, known=6)
    assert not is_outdated_removal(UNKNOWN, known=6)
    assert is_outdated_list(5, listed_up_to=6)
    assert not is_outdated_list(6, listed_up_to=6)
    assert not is_outdated_list(UNKNOWN, listed_up_to=6)
