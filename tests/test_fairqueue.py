"""Tests of the weighted fair queue: shares by weight, order within a member."""

from collections import Counter

from gypsum_core.fairqueue import FairQueue


def fill_queue(weights, count):
    """Return a queue with `count` items of each member, named after it."""
    queue = FairQueue(weights=weights)
    for member in weights:
        for number in range(count):
            queue.push(member, member=member, worth=1.0, deadline=number)
    return queue


def test_members_share_by_weight():
    queue = fill_queue({"north": 2.0, "south": 1.0}, 60)
    counts = Counter(queue.pop() for _ in range(60))
    assert counts == {"north": 40, "south": 20}


def test_newcomer_waits_for_its_share_only():
    queue = fill_queue({"north": 1.0}, 100)
    for _ in range(50):
        queue.pop()
    queue.push("south", member="south", worth=1.0, deadline=0)
    assert "south" in [queue.pop() for _ in range(2)]


def test_worth_comes_first_then_the_deadline():
    queue = FairQueue(weights={})
    queue.push("late", member="a", worth=1.0, deadline=9)
    queue.push("soon", member="a", worth=1.0, deadline=1)
    queue.push("worthy", member="a", worth=5.0, deadline=99)
    assert queue.count_ahead("a", worth=5.0, deadline=100) == 1
    assert queue.last("a") == "late"
    assert [queue.pop() for _ in range(4)] == ["worthy", "soon", "late", None]
