"""Which daemons own a group, how many connections they hold, and which are asked."""

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
    """A daemon as seen by the asking one."""
    return OwnerView(name=name, rank=rank, far=far, avoided=avoided)


def test_in_a_small_fleet_all_daemons_are_owners():
    assert owner_count(9, 34) == 9
    assert owner_count(9, 23) == 9


def test_in_a_large_fleet_few_daemons_are_owners():
    """Upstreams must not be idle while statements are refused.

    If each of 91 daemons opens two connections to upstreams that accept 42 each, three
    of four statements are refused while most upstreams are idle.
    """
    owners = owner_count(91, 42)
    assert owners * connection_share(owners, 42) <= 42
    assert connection_share(owners, 42) >= 6


def test_a_small_fleet_with_too_few_connections_has_the_minimum_of_owners():
    assert owner_count(9, 12) == MIN_OWNERS


@given(daemons=st.integers(1, 4000), limit=st.integers(9, 500))
def test_the_shares_of_all_owners_leave_one_share_over(daemons, limit):
    owners = owner_count(daemons, limit)
    share = connection_share(owners, limit)
    assert 1 <= owners <= daemons
    assert share >= MIN_CONNECTIONS
    assert share == MIN_CONNECTIONS or share * (owners + 1) <= limit


def test_an_owner_asks_itself_first():
    views = [view("a"), view("me", rank=1, far=True)]
    assert owners_to_ask(views, owners=2, daemon="me")[0] == "me"


def test_near_owners_are_asked_first_and_avoided_ones_last():
    views = [view("far", far=True), view("avoided", avoided=True), view("near")]
    assert owners_to_ask(views, owners=3, daemon="me") == ["near", "far", "avoided"]


def test_standbys_are_asked_before_avoided_owners():
    views = [view("owner", 0, avoided=True), view("next", 1)]
    assert owners_to_ask(views, owners=1, daemon="me") == ["next", "owner"]


def test_owners_of_a_domain_share_its_callers():
    views = [view("a"), view("b"), view("c")]
    first = [
        owners_to_ask(views, owners=3, daemon=f"d{number}")[0] for number in range(300)
    ]
    assert all(70 < first.count(name) < 130 for name in "abc")


def test_all_daemons_send_a_workspaces_work_to_one_owner():
    """Statements must find a connection of their workspace.

    If the asking daemon determines the owner, a workspace's callers at many daemons
    reach all owners. Each owner has fewer connections than there are workspaces, so
    that nearly every statement opens a new connection.
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


def test_an_avoided_owners_workspaces_go_to_the_next_owner():
    views = [view("a"), view("b"), view("c")]
    order = owners_to_ask(views, owners=3, daemon="me", workspace="north")
    away = [view(name, avoided=name == order[0]) for name in "abc"]
    assert owners_to_ask(away, owners=3, daemon="x", workspace="north")[0] == order[1]


def test_an_owners_share_grows_after_its_start():
    """Callers must not wait for connections while upstreams are idle.

    If an owner stays at two connections for four seconds after its start, paused
    transactions hold both of them and other callers wait.
    """
    shares = [share_after_start(7, seconds) for seconds in (0.0, 1.0, 2.0, 60.0)]
    assert shares[0] == MIN_CONNECTIONS
    assert shares == sorted(shares)
    assert shares[2] > MIN_CONNECTIONS + 1
    assert shares[3] == 7
