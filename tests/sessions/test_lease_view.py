"""Which members each takeover knows, by the store's revisions."""

from gypsum_sessions.interfaces import PromotionLease
from gypsum_sessions.takeover.lease_view import INITIAL_WINDOW, LeaseView

WINDOW = 4.0


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


def make_view():
    """A view that knows all leases up to revision 10, and its clock."""
    clock = Clock()
    view = LeaseView(clock=clock, takeover_window=WINDOW)
    view.record_revision(10)
    return view, clock


def lease(token, revision, *, settled=False, chain=0):
    """A lease of some daemon."""
    return PromotionLease(
        holder="d",
        token=token,
        revision=revision,
        settled=settled,
        chain_start=chain,
    )


def test_members_listed_up_to_the_known_revision_are_known():
    view, _ = make_view()
    assert view.member_known("g", 10)
    assert not view.member_known("g", 11)


def test_a_member_that_joins_during_a_takeover_is_not_known_until_it_is_settled():
    """Guards against losing an acknowledged commit with a promotion.

    A takeover's order gets no answer and its holder dies. The old primary returns, a
    member joins and commits are acknowledged through it. Ten seconds later the order is
    carried out, while a time limit of four seconds would have ended the takeover.
    """
    view, clock = make_view()
    view.record("g", lease(1, 20))
    view.record_revision(30)
    assert view.member_known("g", 19)
    assert not view.member_known("g", 25)
    clock.now += 100 * WINDOW
    assert not view.member_known("g", 25)
    view.record("g", lease(1, 31, settled=True))
    assert view.member_known("g", 25)
    assert not view.under_way("g")


def test_leases_that_follow_each_other_unsettled_are_one_chain():
    view, _ = make_view()
    view.record("g", lease(1, 20))
    second = lease(2, 30, chain=lease(1, 20).next_chain_start)
    view.record("g", second)
    view.record_revision(40)
    assert not view.member_known("g", 25)
    assert second.next_chain_start == 20
    assert lease(2, 35, settled=True, chain=20).next_chain_start == 0


def test_a_lease_without_a_holder_is_not_a_takeover():
    """Guards against unconfirmable commits after the first read of a lease.

    A daemon that is about to acquire a lease that was never held records what it read:
    revision 0. That must not count as a takeover older than all members.
    """
    view, _ = make_view()
    view.record("g", lease(0, 0))
    assert not view.under_way("g")
    assert view.member_known("g", 5)


def test_a_takeover_found_at_the_start_is_under_way_for_a_moment():
    view, clock = make_view()
    view.record_initial("g", lease(3, 8))
    assert view.under_way("g")
    assert not view.member_known("g", 9)
    clock.now += INITIAL_WINDOW
    assert not view.under_way("g")
    assert view.member_known("g", 7)


def test_a_connection_opened_after_a_takeover_began_is_no_proof():
    view, clock = make_view()
    view.record_confirmed(clock.now)
    assert view.connection_trusted("g", clock.now)
    view.record("g", lease(1, 20))
    clock.now += 1.0
    view.record("g", lease(2, 30, chain=20))
    assert view.connection_trusted("g", 49.9)
    assert not view.connection_trusted("g", 50.5)
    view.record("g", lease(2, 40, settled=True, chain=20))
    assert not view.connection_trusted("g", 50.5)
    view.record_confirmed(clock.now)
    assert view.connection_trusted("g", clock.now)


def test_a_connection_is_no_proof_before_the_lease_is_known_to_be_settled_after_it():
    """Guards against trusting a replica that restarted in an unknown takeover.

    A daemon that is cut off from the store knows of no takeover, however old its
    knowledge of the leases is.
    """
    view, clock = make_view()
    view.record_confirmed(clock.now)
    clock.now += 2.0
    opened_at = clock.now
    assert not view.connection_trusted("g", opened_at)
    assert view.must_read("g", opened_at)
    view.record_read("g", lease(1, 20), opened_at + 0.1)
    assert not view.connection_trusted("g", opened_at)
    assert not view.must_read("g", opened_at)
    view.record_read("g", lease(1, 30, settled=True), opened_at + 0.2)
    assert view.connection_trusted("g", opened_at)
    assert not view.connection_trusted("other", opened_at)
