"""Tests until when a leaving upstream is sent work."""

from gypsum_policy.leaving import UNKNOWN_REPORT_TIME, work_ends_at


def test_the_time_counts_from_before_the_report():
    ends_at = work_ends_at(
        not_reported_at=100.0, started_at=50.0, drain_seconds=7.0, margin=1.0
    )
    assert ends_at == 106.0


def test_a_report_of_unknown_age_counts_from_the_start_of_the_daemon():
    ends_at = work_ends_at(
        not_reported_at=None, started_at=100.0, drain_seconds=7.0, margin=1.0
    )
    assert ends_at == 100.0 + UNKNOWN_REPORT_TIME
