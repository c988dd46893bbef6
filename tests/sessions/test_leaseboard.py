"""Which members each takeover has on its list, by the store's order."""

from gypsum_sessions.interfaces import PromotionLease
from gypsum_sessions.takeover.leaseboard import START_REST, LeaseBoard

REST = 4.0


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


def make_board():
    """A board that has heard all up to revision 10, and its clock."""
    clock = Clock()
    board = LeaseBoard(clock=clock, rest=REST)
    board.note_known(10)
    return board, clock


def lease(token, revision, *, settled=False, chain=0):
    """A lease of some daemon."""
    return PromotionLease(
        holder="d",
        token=token,
        revision=revision,
        settled=settled,
        chain_start=chain,
    )


def test_members_listed_before_the_newest_news_are_known():
    board, _ = make_board()
    assert board.knows("g", 10)
    assert not board.knows("g", 11)


def test_a_member_that_joins_during_a_takeover_is_not_known_until_it_is_settled():
    """Symptom: an acknowledged commit vanishes with a promotion.

    Sequence: a takeover's order gets no answer, its holder dies, the old primary is
    back and a member joins it; commits are acknowledged through that, and ten seconds
    later the order is carried out. Cause: a takeover counted as over after four.
    """
    board, clock = make_board()
    board.note("g", lease(1, 20))
    board.note_known(30)
    assert board.knows("g", 19)
    assert not board.knows("g", 25)
    clock.now += 100 * REST
    assert not board.knows("g", 25)
    board.note("g", lease(1, 31, settled=True))
    assert board.knows("g", 25)
    assert not board.under_way("g")


def test_leases_that_follow_each_other_unsettled_are_one_chain():
    board, _ = make_board()
    board.note("g", lease(1, 20))
    second = lease(2, 30, chain=lease(1, 20).next_chain_start)
    board.note("g", second)
    board.note_known(40)
    assert not board.knows("g", 25)
    assert second.next_chain_start == 20
    assert lease(2, 35, settled=True, chain=20).next_chain_start == 0


def test_nobodys_lease_is_no_takeover():
    """Symptom: no commit can be confirmed after the first look at a lease.

    Sequence: a daemon is about to take a lease that nobody ever had, and notes what it
    found: revision 0. Cause: that counted as a takeover older than all members.
    """
    board, _ = make_board()
    board.note("g", lease(0, 0))
    assert not board.under_way("g")
    assert board.knows("g", 5)


def test_a_takeover_found_at_the_start_is_under_way_for_a_moment():
    board, clock = make_board()
    board.note_first("g", lease(3, 8))
    assert board.under_way("g")
    assert not board.knows("g", 9)
    clock.now += START_REST
    assert not board.under_way("g")
    assert board.knows("g", 7)


def test_a_connection_that_is_younger_than_a_takeover_is_not_trusted():
    board, clock = make_board()
    assert board.trusts("g", clock.now)
    board.note("g", lease(1, 20))
    clock.now += 1.0
    board.note("g", lease(2, 30, chain=20))
    assert board.trusts("g", 49.9)
    assert not board.trusts("g", 50.5)
    board.note("g", lease(2, 40, settled=True, chain=20))
    assert board.trusts("g", clock.now)
