"""Token buckets of caps: grants in any window, and retry delays."""

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.ratelimit import (
    INITIAL_TOKENS,
    TOLERATED_EXCESS,
    WINDOW,
    Cap,
    TokenBucket,
    bucket_size,
    initial_tokens,
    isolated_cap,
    refusal_retry_ms,
)

CAPS = st.builds(
    Cap, rate=st.floats(0.5, 200), burst=st.floats(1, 200), version=st.just(1)
)
STEPS = st.lists(st.tuples(st.floats(0, 2), st.integers(1, 300)), max_size=60)


@given(CAPS, STEPS)
def test_no_window_grants_more_than_rate_and_burst(cap, steps):
    now, bucket, granted = 0.0, TokenBucket(cap=cap, now=0.0, tokens=cap.burst), []
    for pause, wanted in steps:
        now += pause
        granted.append((now, bucket.take(wanted, now)))
    for first, _ in granted:
        for last, _ in granted:
            inside = sum(count for at, count in granted if first <= at <= last)
            span = max(0.0, last - first)
            assert inside <= cap.rate * span + bucket_size(cap) + 1e-6


@given(CAPS, st.floats(0.01, 3))
def test_after_the_wait_one_more_is_granted(cap, spent):
    bucket = TokenBucket(cap=cap, now=0.0, tokens=0.0)
    bucket.take(1, spent)
    wait = bucket.seconds_to_next()
    assert bucket.take(1, spent + wait + 1e-9) == 1


def test_a_lower_cap_applies_at_once_and_an_older_version_never():
    bucket = TokenBucket(cap=Cap(rate=100, burst=100, version=2), now=0.0, tokens=100)
    bucket.set_cap(Cap(rate=5, burst=5, version=3), 1.0)
    assert bucket.take(50, 1.0) == 5
    bucket.set_cap(Cap(rate=100, burst=100, version=2), 2.0)
    assert bucket.take(50, 2.0) == 5


def test_a_new_home_starts_with_the_tokens_since_it_may_be_one():
    cap = Cap(rate=10, burst=30, version=1)
    assert initial_tokens(cap, 0.0) == INITIAL_TOKENS
    assert initial_tokens(cap, 1.0) == INITIAL_TOKENS + 10
    assert initial_tokens(cap, 60.0) == 30


@given(CAPS, st.integers(1, 4000))
def test_isolated_daemons_stay_within_the_tolerated_excess(cap, daemons):
    share = isolated_cap(cap, daemons)
    isolated = daemons // 4
    tolerated = TOLERATED_EXCESS * (cap.rate * WINDOW + cap.burst)
    assert isolated * share.rate * WINDOW <= tolerated / 2 + 1e-6


def test_retry_delays_of_refused_callers_are_spread():
    times = {refusal_retry_ms(0.2, f"r{number}") for number in range(100)}
    assert min(times) >= 200 and max(times) <= 401
    assert len(times) > 50
