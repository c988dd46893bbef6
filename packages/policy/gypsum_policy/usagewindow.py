"""Counts a workspace's grants in a sliding window, at its home and where it asks.

Load pattern: a workspace stays at its cap for longer than a window. A cap allows
`rate * WINDOW + burst` operations in every window, a token bucket only `rate * WINDOW`
once its burst is spent, so part of what the cap allows would be refused. The window
tells how many tokens a home may add to its bucket without exceeding any window.

What is added leaves room for `rate` from now on. A standby or a new home, which knows
nothing of these grants, can therefore begin at that rate at once.
"""

from gypsum_policy.ratelimit import WINDOW

# Grants are counted by slots of this many seconds, each until its end has left the
# window: at most this fraction of a window is granted too little.
SLOT = 0.05


def slot_at(at):
    """Number of the slot of a point in time."""
    return int(at // SLOT)


def slot_end(slot):
    """Point in time at which a slot ends."""
    return (slot + 1) * SLOT


def window_limit(cap):
    """Operations that a cap allows in any window."""
    return cap.rate * WINDOW + cap.burst


class GrantWindow:
    """The grants of one workspace that a home knows of, by slot.

    `foreign` are those by other homes; `slots` includes them. `reported` has the count
    and the time of each reported slot: a report may come twice.
    """

    def __init__(self):
        self.slots = {}
        self.foreign = {}
        self.reported = {}

    def record(self, at, count):
        """Count operations that begin at a point in time, which may be in future."""
        add_to_slot(self.slots, slot_at(at), count)

    def record_report(self, key, at, total):
        """Count operations that another home granted, `total` of them under a key."""
        known, _ = self.reported.get(key, (0, at))
        if total <= known:
            return
        self.reported[key] = (total, at)
        self.record(at, total - known)
        add_to_slot(self.foreign, slot_at(at), total - known)

    def clear(self):
        """Forget all grants."""
        self.slots.clear()
        self.foreign.clear()

    def expire(self, now):
        """Remove the slots that have left the window."""
        first = slot_at(now - WINDOW)
        for slots in (self.slots, self.foreign):
            for slot in [slot for slot in slots if slot < first]:
                del slots[slot]
        # Twice the window: the reporter's slots may be older by its clock.
        oldest = now - 2 * WINDOW
        for key in [key for key, (_, at) in self.reported.items() if at < oldest]:
            del self.reported[key]

    def spare(self, now, tokens, cap):
        """Tokens that may be added to `tokens` without exceeding any window.

        Afterwards all tokens can be used at once, and `cap.rate` from now on. Negative
        if there are too many tokens already.
        """
        self.expire(now)
        limit, left = window_limit(cap), sum(self.slots.values())
        least = limit - max(0.0, tokens + cap.rate * WINDOW)
        for slot in sorted(self.slots):
            # Just before a slot leaves the window, most tokens have accrued beside it.
            lasts = slot_end(slot) + WINDOW - now
            accrued = max(0.0, tokens + cap.rate * lasts)
            least = min(least, limit - accrued - left)
            left -= self.slots[slot]
        return least


class ReceivedGrants:
    """Grants that one daemon received for a workspace, by slot and granter.

    A home learns from these what others granted. `reported` has the counts that each
    home has confirmed; without an answer they are sent again.
    """

    def __init__(self):
        self.slots = {}
        self.reported = {}

    def record(self, granter, at, count):
        """Record operations that `granter` allowed to begin at a point in time."""
        add_to_slot(self.slots, (slot_at(at), granter), count)

    def report_for(self, home, now):
        """Total by (slot, granter) of what `home` neither granted nor confirmed."""
        first = slot_at(now - WINDOW)
        self.slots = {key: n for key, n in self.slots.items() if key[0] >= first}
        self.reported = {
            key: n for key, n in self.reported.items() if key[0][0] >= first
        }
        return {
            key: count
            for key, count in self.slots.items()
            if key[1] != home and count > self.reported.get((key, home), 0)
        }

    def mark_reported(self, home, report):
        """Record that a home has answered a request with this report."""
        for key, count in report.items():
            self.reported[key, home] = count


def add_to_slot(slots, slot, count):
    """Add to the count of a slot."""
    if count:
        slots[slot] = slots.get(slot, 0) + count
