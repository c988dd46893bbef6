"""The order in which upstreams are tried for a read."""

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


def test_replicas_come_before_the_primary():
    assert order(replace(PLAIN, id="a", is_primary=True), replace(PLAIN, id="b")) == [
        "b",
        "a",
    ]


def test_the_primary_comes_first_if_replicas_are_slower_by_over_a_statement():
    slow = replace(PLAIN, id="b", expected_latency=0.2)
    assert order(replace(PLAIN, is_primary=True), slow) == ["a", "b"]


def test_the_nearer_of_two_equal_replicas_comes_first():
    assert order(replace(PLAIN, id="a", far=True), replace(PLAIN, id="b"))[0] == "b"


def test_load_outweighs_distance():
    loaded = replace(PLAIN, id="a", outstanding=5)
    assert order(loaded, replace(PLAIN, id="b", far=True))[0] == "b"


def test_failed_leaving_and_lagging_upstreams_come_last():
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
def test_the_order_contains_every_candidate_once(candidates):
    names = order(*candidates)
    assert sorted(names) == sorted(item.id for item in candidates)


def test_a_replica_with_an_idle_connection_comes_first():
    """A workspace's reads must not open a connection at every replica in turn.

    Of two idle replicas one has a connection of the workspace; the cost of a new
    connection at the other has to count.
    """
    new = replace(PLAIN, id="a", connect_cost=0.012)
    connected = replace(PLAIN, id="b")
    assert order(new, connected) == ["b", "a"]


def test_a_new_connection_is_preferred_to_a_longer_queue():
    new = replace(PLAIN, id="a", connect_cost=0.012)
    connected = replace(PLAIN, id="b", outstanding=5)
    assert order(new, connected) == ["a", "b"]


def test_a_probed_upstream_comes_first_and_other_avoided_ones_last():
    probed = replace(PLAIN, id="c", avoided=True, probed=True)
    avoided = replace(PLAIN, id="a", avoided=True)
    assert order(avoided, replace(PLAIN, id="b"), probed) == ["c", "b", "a"]
