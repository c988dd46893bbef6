"""Turns of a daemon's feeds while the store gives them no answer."""

from gypsum_policy.retries import (
    MAX_SKIPPED,
    RETRY_BACKOFF_MAX,
    SHARED_BACKOFF_MAX,
    FailedFeeds,
)


def test_a_feed_whose_calls_alone_fail_skips_no_turn():
    """Guards against a large list that is never read over a slow link."""
    failed = FailedFeeds()
    for at in range(10):
        failed.record_failure("config", float(at))
        assert not failed.skip_turn("config")
    assert failed.max_backoff() == RETRY_BACKOFF_MAX


def test_a_failure_of_another_feed_takes_the_place_of_a_call():
    failed = FailedFeeds()
    failed.record_failure("config", 0.0)
    failed.record_failure("servers", 1.0)
    assert failed.skip_turn("config")
    assert not failed.skip_turn("config")
    assert not failed.skip_turn("servers")
    assert failed.max_backoff() == SHARED_BACKOFF_MAX


def test_a_feed_calls_itself_after_a_few_skipped_turns():
    """Guards against a feed that never calls while those of another kind fail."""
    failed = FailedFeeds()
    failed.record_failure("config", 0.0)
    skipped = 0
    for at in range(1, 10):
        failed.record_failure("servers", float(at))
        skipped += failed.skip_turn("config")
    assert skipped == MAX_SKIPPED
    failed.record_failure("config", 10.0)
    failed.record_failure("servers", 11.0)
    assert failed.skip_turn("config")


def test_an_answered_feed_takes_no_turn_from_others():
    failed = FailedFeeds()
    failed.record_failure("config", 0.0)
    failed.record_failure("servers", 1.0)
    failed.record_success("servers", 2.0)
    assert not failed.includes("servers")
    assert not failed.skip_turn("config")
    assert failed.max_backoff() == RETRY_BACKOFF_MAX
