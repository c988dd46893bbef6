"""Who wrote last: the home's bounded table for callers without a token."""

from collections import OrderedDict

from gypsum_core.records import Position


class RecentWriters:
    """Last write position of each caller, complete above `floor`.

    A caller that lost its token must still see its last write. The table is
    complete for writes after the claim that `floor` stands for, since the group
    refuses writes of a daemon that does not hold the claim. What is cut from the
    table raises the floor, so cutting can only send reads to the primary.
    """

    def __init__(self, *, limit):
        self.limit = limit
        self.floor = Position(term=0, index=0)
        self.positions = OrderedDict()

    def reset(self, floor):
        """Start anew: everything up to `floor` may be anyone's write."""
        self.floor = max(self.floor, floor)
        self.positions.clear()

    def record(self, caller, position):
        """Note a caller's write."""
        previous = self.positions.pop(caller, position)
        self.positions[caller] = max(previous, position)
        if len(self.positions) > self.limit:
            _, evicted = self.positions.popitem(last=False)
            self.floor = max(self.floor, evicted)

    def required_position(self, caller):
        """The position that the caller's next read must cover."""
        return self.positions.get(caller, self.floor)
