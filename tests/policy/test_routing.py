"""The order in which upstreams are asked for a read."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.routing import Candidate, order_for_read

PLAIN = Candidate(
    id="a",
    expected_latency=0.03,
    outstanding=0,
    slots=5,
    is_primary=False,
    far=False,
    leaving=False,
    avoided=False,
    lagging=False,
    saturated=False,
)


def order(*candidates):
    """The order of some candidates."""
    return order_for_read(candidates, far_cost=0.002)


def test_replicas_come_before_the_leader():
    assert order(replace(PLAIN, id="a", is_primary=True), replace(PLAIN, id="b")) == [
        "b",
        "a",
    ]


def test_a_leader_is_asked_when_replicas_are_slower_by_more_than_a_statement():
    slow = replace(PLAIN, id="b", expected_latency=0.2)
    assert order(replace(PLAIN, is_primary=True), slow) == ["a", "b"]


def test_the_near_one_of_two_equals_is_asked():
    assert order(replace(PLAIN, id="a", far=True), replace(PLAIN, id="b"))[0] == "b"


def test_load_outweighs_nearness():
    loaded = replace(PLAIN, id="a", outstanding=5)
    assert order(loaded, replace(PLAIN, id="b", far=True))[0] == "b"


def test_failed_leaving_and_lagging_ones_come_last_but_come():
    names = order(
        replace(PLAIN, id="a", avoided=True),
        replace(PLAIN, id="b", leaving=True),
        replace(PLAIN, id="c", lagging=True),
        replace(PLAIN, id="d", is_primary=True, expected_latency=0.3),
    )
    assert names == ["d", "c", "b", "a"]


@given(
    st.lists(
        st.builds(
            Candidate,
            id=st.uuids().map(str),
            expected_latency=st.floats(0.001, 10),
            outstanding=st.integers(0, 50),
            slots=st.integers(0, 50),
            is_primary=st.booleans(),
            far=st.booleans(),
            leaving=st.booleans(),
            avoided=st.booleans(),
            lagging=st.booleans(),
            saturated=st.booleans(),
        )
    )
)
def test_everybody_is_in_the_order_once(candidates):
    names = order(*candidates)
    assert sorted(names) == sorted(item.id for item in candidates)


def test_a_replica_with_a_connection_at_hand_is_asked_first():
    """Symptom: a workspace's reads open a connection at every replica in turn.

    Sequence: two replicas are idle, one has a connection of the workspace. Cause: what
    a new one costs did not count.
    """
    new = replace(PLAIN, id="a", connect_cost=0.012)
    at_hand = replace(PLAIN, id="b")
    assert order(new, at_hand) == ["b", "a"]


def test_a_queue_longer_than_a_dial_is_left_for_a_new_connection():
    new = replace(PLAIN, id="a", connect_cost=0.012)
    at_hand = replace(PLAIN, id="b", outstanding=5)
    assert order(new, at_hand) == ["a", "b"]
