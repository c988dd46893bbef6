"""The store's era, as its answers name it."""

import pytest
from tornado.httputil import HTTPHeaders

from gypsum_platform.eras import ERA_HEADER, EraTracker


def answer(text=None):
    """Headers of an answer that names an era, or none."""
    return HTTPHeaders({} if text is None else {ERA_HEADER: text})


def tracker():
    """A tracker and what it reports."""
    reports = []

    def report(event, **fields):
        reports.append((event, fields))

    return EraTracker(report=report), reports


def test_an_era_that_another_daemon_has_seen_makes_earlier_ones_unexpected():
    eras, _ = tracker()
    eras.observe(answer("3"))
    eras.advance(4)
    eras.advance(2)
    assert not eras.observe(answer("3"))
    assert eras.current == 4


def test_an_increase_is_reported_and_the_first_era_is_not():
    eras, reports = tracker()
    assert [eras.observe(answer(text)) for text in ("3", "3", "4")] == [True] * 3
    assert reports == [("new era", {"era": 4, "before": 3})]
    assert eras.current == 4


@pytest.mark.parametrize(
    "text", [None, "", "x", "-1", "1.5", "\u0663", "2", "9" * 7, "9" * 5000]
)
def test_an_unusable_or_earlier_era_changes_nothing_and_is_reported_once(text):
    eras, reports = tracker()
    eras.observe(answer("3"))
    assert [eras.observe(answer(text)) for _ in range(3)] == [False] * 3
    assert eras.current == 3
    assert reports == [("unexpected era", {"named": text, "era": 3})]


def test_a_store_that_names_no_era_is_not_reported():
    eras, reports = tracker()
    assert eras.observe(answer())
    assert (eras.current, reports) == (0, [])
