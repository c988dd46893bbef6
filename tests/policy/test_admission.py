"""The admission queue of one upstream: what starts, what waits, what is refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.admission import (
    LIMIT_REDUCED_FOR,
    MIN_RETRY_MS,
    AdmissionRequest,
    QueueTimeout,
    RefusalCause,
    WorkQueue,
    retry_after_ms,
)
from gypsum_policy.concurrency import concurrency_limit

MEAN = 0.02


def request(*, priority=1, target_time=0.2, deadline=1.0, kind=""):
    """An admission request, on a clock that starts at 0."""
    return AdmissionRequest(
        priority=priority, target_time=target_time, deadline=deadline, kind=kind
    )


def full_queue(limit=2):
    """A queue whose concurrency limit is reached."""
    queue = WorkQueue(limit=limit, mean_service_time=MEAN)
    for _ in range(limit):
        assert queue.admit(request(), 0.0) is None
    return queue


def next_of(queue, tickets, now=0.0):
    """The name of the ticket that starts when one running statement finishes."""
    queue.finish(now)
    started = queue.start_next(now, set(tickets.values()))
    return next(name for name, ticket in tickets.items() if ticket == started)


def test_the_limits_of_all_owners_add_up_to_few_statements_per_slot():
    for owners in (1, 3, 5, 9):
        total = owners * concurrency_limit(3, owners)
        assert 12 <= total <= 12 + 2 * owners


def test_order_is_priority_then_on_target_then_earliest_target():
    queue = full_queue()
    tickets = {
        "late": queue.admit(request(target_time=0.01), 0.0),
        "patient": queue.admit(request(target_time=0.5), 0.0),
        "urgent": queue.admit(request(target_time=0.1), 0.0),
        "priority": queue.admit(request(priority=0, target_time=0.9), 0.0),
    }
    order = [next_of(queue, tickets) for _ in range(4)]
    assert order == ["priority", "urgent", "patient", "late"]


def test_statements_that_would_miss_their_deadline_are_refused_at_once():
    """Callers must not wait until their deadline and then be refused.

    If every statement joins the queue whatever its length, callers of an overloaded
    upstream are refused for lack of time only at their deadline.
    """
    queue = full_queue()
    waiting = 0
    with pytest.raises(QueueTimeout) as caught:
        while waiting < 1000:
            queue.admit(request(deadline=0.2), 0.0)
            waiting += 1
    assert 5 < waiting < 30
    assert caught.value.wait == pytest.approx((waiting + 1) * queue.completion_interval)


def test_the_wait_is_estimated_from_the_measured_completion_interval():
    """At an upstream that others load too a queue is slower than its service time."""
    queue = full_queue()
    tickets = [queue.admit(request(deadline=9.0), 0.0) for _ in range(20)]
    for step in range(1, 15):
        queue.finish(0.2 * step)
        queue.start_next(0.2 * step, set(tickets))
    assert queue.completion_interval > 0.15


def test_waiting_statements_past_their_time_are_listed():
    queue = full_queue()
    ticket = queue.admit(request(deadline=0.3), 0.0)
    assert queue.timed_out(0.1) == []
    assert queue.timed_out(0.29) == [ticket]


def test_rejections_by_the_upstream_lower_the_limit_temporarily():
    queue = WorkQueue(limit=4, mean_service_time=MEAN)
    for _ in range(9):
        queue.record_rejection(0.0)
    assert queue.limit_at(0.0) == 1
    assert queue.limit_at(LIMIT_REDUCED_FOR + 0.01) == 4


def test_backlog_time_ends_when_nothing_waits():
    queue = full_queue()
    ticket = queue.admit(request(deadline=9.0), 1.0)
    assert queue.backlogged_for(1.5) == 0.5
    queue.withdraw(ticket)
    assert queue.backlogged_for(2.0) == 0.0


def test_retry_delays_exceed_the_wait_and_are_spread():
    times = [retry_after_ms(0.4, f"request-{number}") for number in range(200)]
    assert min(times) >= 400 and max(times) <= 600
    assert len(set(times)) > 100
    assert retry_after_ms(0.0, "x") == MIN_RETRY_MS


@given(steps=st.lists(st.sampled_from(["enter", "done", "start"]), max_size=60))
def test_running_statements_never_exceed_the_limit(steps):
    queue = WorkQueue(limit=3, mean_service_time=MEAN)
    running = 0
    for number, step in enumerate(steps):
        now = number * 0.001
        if step == "enter":
            running += queue.admit(request(deadline=99.0), now) is None
        elif step == "done" and running:
            queue.finish(now)
            running -= 1
        else:
            running += queue.start_next(now, set(queue.waiting)) is not None
        assert running == queue.running <= 3


def queue_of_kinds(limit=2):
    """A full queue that knows statements of 10 ms and of 200 ms."""
    queue = full_queue(limit)
    for _ in range(60):
        queue.times.record("short", 0.01)
        queue.times.record("long", 0.2)
    return queue


def test_short_statements_are_admitted_behind_short_ones():
    """Guards against refusing short work for the mean of short and long work."""
    queue = queue_of_kinds()
    for _ in range(30):
        queue.admit(request(kind="short", deadline=0.4), 0.0)
    assert len(queue.waiting) == 30


def test_long_statements_are_refused_where_short_ones_fit():
    queue = queue_of_kinds()
    for _ in range(4):
        queue.admit(request(kind="long", deadline=1.0), 0.0)
    with pytest.raises(QueueTimeout) as caught:
        queue.admit(request(kind="long", deadline=0.6, target_time=0.6), 0.0)
    assert caught.value.cause is RefusalCause.QUEUE_TOO_LONG
    assert caught.value.forecast > 0.6 and caught.value.queued == 4
    queue.admit(request(kind="short", deadline=0.6, target_time=0.1), 0.0)


def test_a_statement_with_less_time_than_any_answer_takes_does_not_start():
    """Guards against sending what can't be answered before its caller has left."""
    queue = WorkQueue(limit=4, mean_service_time=MEAN)
    queue.record_answer("read", MEAN)
    assert queue.admit(request(kind="read", deadline=0.01), 0.0) is None
    with pytest.raises(QueueTimeout) as caught:
        queue.admit(request(kind="read", deadline=0.01), 0.0)
    assert caught.value.cause is RefusalCause.TOO_LITTLE_TIME


def test_an_upstream_that_turns_slow_has_its_queue_judged_again():
    """Guards against callers that wait to their deadline in an upstream's old queue.

    An upstream with a full queue takes eight times as long as before.
    """
    queue = full_queue()
    for _ in range(30):
        queue.admit(request(deadline=1.0, target_time=0.9), 0.0)
    refused_at = []
    for step in range(1, 100):
        now = 0.01 * step
        for ticket in queue.timed_out(now):
            queue.refuse(ticket, now)
            refused_at.append(now)
        if step % 8 == 0:
            queue.finish(now, 8 * MEAN)
            queue.start_next(now, set(queue.waiting))
    assert len(refused_at) > 15
    assert sorted(refused_at)[10] < 0.6
    assert queue.refusals[RefusalCause.FORECAST_CHANGED] == len(refused_at)


def test_a_lower_priority_gets_its_part_in_a_lasting_overload():
    """Guards against a priority that is refused whole while a higher one overloads."""
    queue = full_queue()
    started = []
    for step in range(400):
        now = MEAN / 2 * step
        for priority in (0, 0, 1):
            try:
                queue.admit(
                    request(
                        priority=priority, target_time=now + 0.4, deadline=now + 1.0
                    ),
                    now,
                )
            except QueueTimeout:
                continue
        for ticket in queue.timed_out(now):
            queue.refuse(ticket, now)
        queue.finish(now, MEAN)
        waiting = dict(queue.waiting)
        ticket = queue.start_next(now, set(waiting))
        started.append(waiting[ticket].request.priority)
    assert 1 / 12 < sum(started[100:]) / len(started[100:]) < 1 / 6


def test_the_forecast_of_a_wait_holds_in_a_steady_overload():
    """Guards against a forecast that promises more than the queue keeps."""
    queue = full_queue()
    waits = []
    for step in range(600):
        now = MEAN / 2 * step
        for _ in range(1 + step % 2):
            try:
                queue.admit(request(target_time=now + 0.4, deadline=now + 1.0), now)
            except QueueTimeout:
                continue
        for ticket in queue.timed_out(now):
            queue.refuse(ticket, now)
        queue.finish(now, MEAN)
        waiting = dict(queue.waiting)
        ticket = queue.start_next(now, set(waiting))
        waits.append(now - waiting[ticket].since)
    assert max(waits[200:]) < 0.45
    assert queue.check.error < 0.05
    assert queue.refusals[RefusalCause.QUEUE_TOO_LONG] > 150
    assert queue.refusals[RefusalCause.FORECAST_CHANGED] < 30


def test_a_stall_is_no_lasting_overload():
    """Guards against refusing callers who could be served, after a short stall.

    Eight statements run and a quarter of what they can do arrives. Few statements have
    started of late, so the measured pace is low.
    """
    queue = WorkQueue(limit=8, mean_service_time=MEAN)
    for _ in range(8):
        queue.admit(request(target_time=9.0, deadline=9.0), 0.0)
    for step in range(100):
        queue.arrivals.record(1, MEAN, 0.01 * step)
    queue.pace.begin(0.0, 1)
    queue.pace.record_start(MEAN, 1.0)
    outlook = queue.outlook(1.0)
    assert queue.pace.estimate(1.0, MEAN) < 1.0
    assert queue.share_left(1, True, outlook.pace, 1.0) == pytest.approx(0.75, abs=0.05)


def test_idle_time_does_not_lengthen_the_forecast():
    """Guards against retry times of seconds from a queue that was empty for long."""
    queue = full_queue()
    ticket = queue.admit(request(), 0.0)
    queue.finish(MEAN)
    queue.start_next(MEAN, {ticket})
    assert queue.expected_wait(None, 300.0) < 10 * MEAN


def test_a_stall_that_has_ended_refuses_nobody():
    """Guards against forecasts of many seconds behind a few waiting statements."""
    queue = full_queue(limit=8)
    waiting = [queue.admit(request(target_time=9.0, deadline=9.0), 0.0)]
    queue.finish(2.0, MEAN)
    queue.start_next(2.0, set(waiting))
    for _ in range(7):
        assert queue.admit(request(target_time=9.0, deadline=5.0), 2.01) is not None
    assert queue.expected_wait(None, 2.01) < 0.5
