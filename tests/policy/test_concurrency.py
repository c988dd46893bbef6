"""Concurrency limits of owners that share an upstream, in a model of its slots."""

from random import Random

import pytest

from gypsum_policy.concurrency import (
    ConcurrencyLimit,
    concurrency_limit,
    greatest_limit,
    least_limit,
    queue_goal,
)

SLOTS = 6
OWNERS = 7


def make_limit(connections=40):
    """The limit of one of several owners."""
    limit = ConcurrencyLimit(share=concurrency_limit(SLOTS, OWNERS))
    limit.set_bounds(
        share=concurrency_limit(SLOTS, OWNERS),
        floor=least_limit(SLOTS, OWNERS),
        ceiling=greatest_limit(SLOTS, connections),
        queue_goal=queue_goal(SLOTS, OWNERS),
    )
    return limit


def load(limits, *, busy, answers=4000, slow=1.0):
    """Let the busy owners use their limits; all see the upstream's mean time."""
    rng = Random(1)
    for _ in range(answers):
        limit = rng.choice(limits)
        outstanding = sum(item.current for item in limits if item in busy)
        slowdown = slow * max(1.0, outstanding / SLOTS) * rng.uniform(0.85, 1.15)
        limit.record_answer(slowdown, queued=limit in busy)


def test_busy_owners_keep_the_upstreams_own_queue_short_and_share_equally():
    limits = [make_limit() for _ in range(OWNERS)]
    before = sum(limit.current for limit in limits)
    load(limits, busy=limits)
    after = sum(limit.current for limit in limits)
    assert before > 5 * SLOTS
    assert 2 * SLOTS <= after <= 3.5 * SLOTS
    assert max(item.value for item in limits) <= 2 * min(item.value for item in limits)


def test_one_busy_owner_takes_what_idle_owners_leave_and_gives_it_back():
    limits = [make_limit() for _ in range(OWNERS)]
    busy, share = limits[0], limits[0].share
    load(limits, busy=[busy])
    assert busy.current > share
    assert busy.current >= SLOTS
    load(limits, busy=[])
    assert busy.value == pytest.approx(share, abs=1.0)


def test_a_slow_upstream_gets_the_least_that_uses_its_slots():
    limits = [make_limit() for _ in range(OWNERS)]
    load(limits, busy=limits, slow=8.0)
    assert {limit.current for limit in limits} == {least_limit(SLOTS, OWNERS)}
    assert sum(limit.current for limit in limits) >= SLOTS


def test_an_owner_that_is_cut_off_leaves_its_part_to_the_others():
    """Guards against a part that stays reserved for an owner that is gone."""
    limits = [make_limit() for _ in range(OWNERS)]
    load(limits, busy=limits)
    left = limits[:3]
    before = sum(item.value for item in left)
    load(left, busy=left)
    assert sum(item.value for item in left) > 1.2 * before


def test_rejections_lower_the_limit_once_an_answer_time():
    limit = make_limit()
    for _ in range(20):
        limit.record_rejection(1.0, 0.1)
    assert limit.value == pytest.approx(0.7 * limit.share)
    limit.record_rejection(1.2, 0.1)
    assert limit.value == pytest.approx(max(limit.floor, 0.49 * limit.share))


def test_a_limit_stays_within_its_connections():
    limit = make_limit(connections=7)
    load([limit], busy=[limit])
    assert limit.current <= 7
