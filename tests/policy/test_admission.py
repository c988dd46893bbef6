"""Loads before one upstream in steps: who starts, who waits, who is refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.admission import (
    LIMIT_REDUCED_FOR,
    MIN_RETRY_MS,
    AdmissionRequest,
    QueueTimeout,
    WorkQueue,
    concurrency_limit,
    retry_after_ms,
)

MEAN = 0.02


def claim(*, priority=1, target_time=0.2, deadline=1.0):
    """What a statement wants, on a clock that starts at 0."""
    return AdmissionRequest(
        priority=priority, target_time=target_time, deadline=deadline
    )


def full_queue(limit=2):
    """A queue all of whose places are taken."""
    queue = WorkQueue(limit=limit, mean_service_time=MEAN)
    for _ in range(limit):
        assert queue.admit(claim(), 0.0) is None
    return queue


def next_of(queue, tickets, now=0.0):
    """The name of the ticket that starts when one place comes free."""
    queue.finish(now)
    started = queue.start_next(now, set(tickets.values()))
    return next(name for name, ticket in tickets.items() if ticket == started)


def test_all_owners_together_stay_near_the_upstreams_slots():
    for owners in (1, 3, 5, 9):
        total = owners * concurrency_limit(3, owners)
        assert 12 <= total <= 12 + 2 * owners


def test_worth_goes_first_then_what_can_be_in_time_then_urgency():
    queue = full_queue()
    tickets = {
        "late": queue.admit(claim(target_time=0.01), 0.0),
        "patient": queue.admit(claim(target_time=0.5), 0.0),
        "urgent": queue.admit(claim(target_time=0.1), 0.0),
        "worth": queue.admit(claim(priority=0, target_time=0.9), 0.0),
    }
    order = [next_of(queue, tickets) for _ in range(4)]
    assert order == ["worth", "urgent", "patient", "late"]


def test_what_cannot_be_answered_in_time_is_refused_at_once():
    """Symptom: callers wait to their deadline and hear that there was no time.

    Sequence: more statements come than can run. Cause: each joins the queue whatever
    its length.
    """
    queue = full_queue()
    waiting = 0
    with pytest.raises(QueueTimeout) as caught:
        while waiting < 1000:
            queue.admit(claim(deadline=0.2), 0.0)
            waiting += 1
    assert 5 < waiting < 30
    assert caught.value.wait == pytest.approx((waiting + 1) * queue.completion_interval)


def test_the_pace_that_is_seen_decides_not_the_statements_own_time():
    """Before an upstream that others load too a queue moves slower than it looks."""
    queue = full_queue()
    tickets = [queue.admit(claim(deadline=9.0), 0.0) for _ in range(20)]
    for step in range(1, 15):
        queue.finish(0.2 * step)
        queue.start_next(0.2 * step, set(tickets))
    assert queue.completion_interval > 0.15


def test_who_waits_too_long_is_found():
    queue = full_queue()
    ticket = queue.admit(claim(deadline=0.3), 0.0)
    assert queue.timed_out(0.1) == []
    assert queue.timed_out(0.29) == [ticket]


def test_a_full_queue_at_the_upstream_lowers_the_limit_for_a_while():
    queue = WorkQueue(limit=4, mean_service_time=MEAN)
    for _ in range(9):
        queue.record_rejection(0.0)
    assert queue.limit_at(0.0) == 1
    assert queue.limit_at(LIMIT_REDUCED_FOR + 0.01) == 4


def test_the_press_lasts_as_long_as_somebody_waits():
    queue = full_queue()
    ticket = queue.admit(claim(deadline=9.0), 1.0)
    assert queue.backlogged_for(1.5) == 0.5
    queue.withdraw(ticket)
    assert queue.backlogged_for(2.0) == 0.0


def test_refused_callers_come_back_after_the_queue_and_one_by_one():
    times = [retry_after_ms(0.4, f"request-{number}") for number in range(200)]
    assert min(times) >= 400 and max(times) <= 600
    assert len(set(times)) > 100
    assert retry_after_ms(0.0, "x") == MIN_RETRY_MS


@given(steps=st.lists(st.sampled_from(["enter", "done", "start"]), max_size=60))
def test_no_more_run_than_may_whatever_comes(steps):
    queue = WorkQueue(limit=3, mean_service_time=MEAN)
    running = 0
    for number, step in enumerate(steps):
        now = number * 0.001
        if step == "enter":
            running += queue.admit(claim(deadline=99.0), now) is None
        elif step == "done" and running:
            queue.finish(now)
            running -= 1
        else:
            running += queue.start_next(now, set(queue.waiting)) is not None
        assert running == queue.running <= 3
