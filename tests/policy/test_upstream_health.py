"""Which upstreams are left to probes because of their results."""

from gypsum_policy.upstream_health import (
    PROBE_INTERVAL_MAX,
    PROBE_INTERVAL_MIN,
    UpstreamResults,
)


def results(latency=0.03, failures=()):
    """An upstream's results: ten answers, then attempts that failed or did not."""
    found = UpstreamResults()
    for number in range(10):
        found.start(number, 0.0)
        found.finish(number, latency, failed=False)
    for number, failed in enumerate(failures):
        found.start(number, 0.0)
        found.finish(number, latency, failed=failed)
    return found


def test_an_upstream_eight_times_slower_is_suspected():
    assert results(0.24).judge([results(0.03)], 1.0)


def test_an_upstream_that_is_as_slow_as_the_others_is_not_suspected():
    assert not results(0.24).judge([results(0.2)], 1.0)


def test_two_failures_in_a_row_are_enough():
    assert not results(failures=[True]).judge([results()], 1.0)
    assert results(failures=[True, True]).judge([results()], 1.0)


def test_failures_everywhere_are_the_statements_fault():
    """Guards against avoiding an upstream because of statements that fail anywhere."""
    failing = [True, True, False, True]
    assert not results(failures=failing).judge([results(failures=failing)], 1.0)


def test_an_upstream_with_no_other_to_compare_is_not_suspected():
    assert not results(failures=[True] * 5).judge([], 1.0)


def test_an_attempt_without_an_answer_counts_before_its_timeout():
    """Guards against waiting for the timeouts of an upstream that hangs."""
    hanging = results()
    for number in range(2):
        hanging.start(f"hangs {number}", 5.0)
    hanging.count_overdue(5.2, 0.25)
    assert hanging.failure_share == 0.0
    hanging.count_overdue(5.3, 0.25)
    hanging.count_overdue(5.4, 0.25)
    assert hanging.judge([results()], 5.4)
    share = hanging.failure_share
    hanging.finish("hangs 0", 6.0, failed=True)
    assert hanging.failure_share == share


def test_six_answers_in_a_row_end_the_suspicion():
    failing = results(failures=[True, True])
    assert failing.judge([results()], 1.0)
    for number in range(6):
        assert failing.suspected
        failing.start(number, 2.0)
        failing.finish(number, 2.03, failed=False)
        failing.judge([results()], 2.1)
    assert not failing.suspected


def test_one_probe_at_a_time_at_intervals_that_double():
    failing = results(failures=[True, True])
    failing.judge([results()], 0.0)
    times, now = [], 1.0
    while now < 8.0:
        now += 0.01
        if failing.probe_due(now):
            times.append(now)
            failing.start(now, now)
            failing.start_probe(now)
            assert not failing.probe_due(now + 5.0)
            failing.finish(now, now + 0.005, failed=True)
    gaps = [late - early for early, late in zip(times, times[1:], strict=False)]
    assert all(late > early - 0.02 for early, late in zip(gaps, gaps[1:], strict=False))
    assert gaps[-1] < PROBE_INTERVAL_MAX + 0.03
    failing.start("good", now)
    failing.finish("good", now + 0.03, failed=False)
    assert failing.probe_due(now + 0.03 + PROBE_INTERVAL_MIN)
