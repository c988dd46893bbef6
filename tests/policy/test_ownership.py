"""Who holds connections, how many, and whom others ask."""

from hypothesis import given
from hypothesis import strategies as st

from gypsum_policy.ownership import (
    MIN_CONNECTIONS,
    MIN_OWNERS,
    OwnerView,
    connection_share,
    owner_count,
    owners_to_ask,
    share_after_start,
)


def view(name, rank=0, *, far=False, avoided=False):
    """An owner as seen from somewhere."""
    return OwnerView(name=name, rank=rank, far=far, avoided=avoided)


def test_a_few_daemons_all_hold_connections():
    assert owner_count(9, 34) == 9
    assert owner_count(9, 23) == 9


def test_many_daemons_leave_the_connections_to_a_few():
    """Symptom: three of four statements are refused, most upstreams are idle.

    Sequence: 91 daemons start before upstreams that take 42 connections each; each
    opens two. Cause: every daemon held connections of its own.
    """
    owners = owner_count(91, 42)
    assert owners * connection_share(owners, 42) <= 42
    assert connection_share(owners, 42) >= 6


def test_a_few_daemons_that_cannot_share_leave_the_connections_to_some():
    assert owner_count(9, 12) == MIN_OWNERS


@given(daemons=st.integers(1, 4000), limit=st.integers(9, 500))
def test_the_shares_of_all_owners_leave_room_for_one_more(daemons, limit):
    owners = owner_count(daemons, limit)
    share = connection_share(owners, limit)
    assert 1 <= owners <= daemons
    assert share >= MIN_CONNECTIONS
    assert share == MIN_CONNECTIONS or share * (owners + 1) <= limit


def test_a_daemon_that_owns_asks_itself():
    views = [view("a"), view("me", rank=1, far=True)]
    assert owners_to_ask(views, owners=2, daemon="me")[0] == "me"


def test_near_owners_are_asked_first_and_silent_ones_last():
    views = [view("far", far=True), view("silent", avoided=True), view("near")]
    assert owners_to_ask(views, owners=3, daemon="me") == ["near", "far", "silent"]


def test_daemons_that_stand_in_are_asked_when_all_owners_are_silent():
    views = [view("owner", 0, avoided=True), view("next", 1)]
    assert owners_to_ask(views, owners=1, daemon="me") == ["next", "owner"]


def test_owners_of_a_domain_share_its_callers():
    views = [view("a"), view("b"), view("c")]
    first = [
        owners_to_ask(views, owners=3, daemon=f"d{number}")[0] for number in range(300)
    ]
    assert all(70 < first.count(name) < 130 for name in "abc")


def test_a_workspaces_work_goes_to_one_owner_from_all_daemons():
    """Symptom: nearly each statement of a workspace opens a connection.

    Sequence: callers of a workspace come to all daemons, each asks an owner of its own
    choice, each owner has fewer connections than there are workspaces. Cause: owners
    were chosen by who asks.
    """
    views = [view("a"), view("b", far=True), view("c")]
    for workspace in ("north", "south", "east"):
        first = {
            owners_to_ask(views, owners=3, daemon=f"d{n}", workspace=workspace)[0]
            for n in range(50)
        }
        assert len(first) == 1


def test_workspaces_are_spread_over_the_owners():
    views = [view("a"), view("b", far=True), view("c")]
    first = [
        owners_to_ask(views, owners=3, daemon="me", workspace=f"w{number}")[0]
        for number in range(300)
    ]
    assert all(70 < first.count(name) < 130 for name in "abc")


def test_an_owner_that_is_away_leaves_its_workspaces_to_the_next():
    views = [view("a"), view("b"), view("c")]
    order = owners_to_ask(views, owners=3, daemon="me", workspace="north")
    away = [view(name, avoided=name == order[0]) for name in "abc"]
    assert owners_to_ask(away, owners=3, daemon="x", workspace="north")[0] == order[1]


def test_after_its_start_an_owners_share_grows():
    """Symptom: seconds after a restart of all, callers wait beside idle upstreams.

    Sequence: each owner is content with two connections for four seconds; transactions
    that pause hold both. Cause: nothing but the time decided.
    """
    shares = [share_after_start(7, seconds) for seconds in (0.0, 1.0, 2.0, 60.0)]
    assert shares[0] == MIN_CONNECTIONS
    assert shares == sorted(shares)
    assert shares[2] > MIN_CONNECTIONS + 1
    assert shares[3] == 7
