"""Bounded table of callers' last writes, for callers without a session token."""

from collections import OrderedDict

from gypsum_core.records import Position


class RecentWriters:
    """Last write position of each caller, complete above `floor`.

    A caller that lost its token must still see its last write. The table is
    complete for writes after `floor`, the position of our claim, since the group
    refuses writes of daemons that do not hold the claim. Evicting an entry raises
    the floor, so it can only cause more reads at the primary.
    """

    def __init__(self, *, limit):
        self.limit = limit
        self.floor = Position(term=0, index=0)
        self.positions = OrderedDict()

    def reset(self, floor):
        """Clear the table: writes up to `floor` may be of any caller."""
        self.floor = max(self.floor, floor)
        self.positions.clear()

    def record(self, caller, position):
        """Record the position of a caller's write."""
        previous = self.positions.pop(caller, position)
        self.positions[caller] = max(previous, position)
        if len(self.positions) > self.limit:
            _, evicted = self.positions.popitem(last=False)
            self.floor = max(self.floor, evicted)

    def required_position(self, caller):
        """Return the position that the caller's next read must reflect."""
        return self.positions.get(caller, self.floor)
