"""Which idle connection is closed, and how many a workspace may hold."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.connections import MIN_LIMIT_TO_RESERVE, index_to_evict, may_hold

IDLE = st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 100)), min_size=1)


def test_nothing_is_evicted_if_none_is_idle():
    assert index_to_evict([]) is None


def test_a_second_connection_is_evicted_before_the_only_one_of_another():
    assert index_to_evict([("a", 1.0), ("b", 5.0), ("b", 4.0)]) == 2


def test_of_single_connections_the_longest_idle_one_is_evicted():
    assert index_to_evict([("a", 3.0), ("b", 1.0), ("c", 2.0)]) == 1


@given(IDLE)
def test_no_workspace_loses_its_only_connection_while_another_has_two(idle):
    names = [name for name, _ in idle]
    chosen = names[index_to_evict(idle)]
    assert names.count(chosen) > 1 or len(set(names)) == len(names)


@given(st.integers(MIN_LIMIT_TO_RESERVE, 100))
def test_one_workspace_leaves_a_connection_to_the_others(limit):
    assert not may_hold(Counter(a=limit - 1), workspace="a", limit=limit)
    assert may_hold(Counter(a=limit - 1), workspace="b", limit=limit)


def test_nothing_is_reserved_where_callers_have_no_key():
    assert may_hold(Counter({"": 99}), workspace="", limit=100)
