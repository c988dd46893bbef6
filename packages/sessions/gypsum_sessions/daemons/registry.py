"""The known daemons, and which of them own which group."""

from dataclasses import dataclass

from gypsum_core.placement import Placement
from gypsum_policy.ownership import connection_share, owner_count
from gypsum_policy.relays import ALL_WATCH_UP_TO, watcher_count

# Placement key that selects the watchers; no group can have this name.
WATCHERS_KEY = "\x00watchers"


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonEntry:
    """A registered daemon; other daemons reach it at `link`, `host:port`.

    `revision` is the store's revision of its entry, 0 if it has none.
    """

    id: str
    domain: str
    link: str = ""
    revision: int = 0


class DaemonRegistry:
    """All known daemons, this one included, ordered separately for each group.

    Up to `all_watch_up_to` daemons all watch the store. `listed` says that the list has
    been read; before that, this daemon would consider itself the owner of every group.
    """

    def __init__(self, *, own, all_watch_up_to=ALL_WATCH_UP_TO):
        self.own = own
        self.all_watch_up_to = all_watch_up_to
        self.listed = False
        # Whether this daemon had an entry before its start.
        self.rejoined = False
        self.known = {own.id: own}
        # Number of checks in which each missing daemon was not on the list.
        self.missing = {}
        self.placement = Placement()
        self.orders = {}
        # Whether the list has changed since the order was computed.
        self.changed = True

    def update_order(self):
        """Recompute the order of the daemons if the list has changed.

        Doing this on each change would take up all CPU time while a fleet of hundreds
        starts, since each daemon hears of all others one by one.
        """
        if not self.changed:
            return
        self.changed = False
        self.placement.update(self.known.values())
        self.orders.clear()

    def mark_rejoined(self):
        """Record that this daemon was registered before it started."""
        self.rejoined = True

    def take_all(self, entries):
        """Replace the list; daemons that are not on it stay known as missing."""
        self.listed = True
        by_id = {entry.id: entry for entry in entries}
        by_id.setdefault(self.own.id, self.own)
        self.missing = {
            name: self.missing.get(name, 0) for name in self.known.keys() - by_id
        }
        kept = {name: self.known[name] for name in self.missing}
        self.known = kept | by_id
        self.changed = True

    def expire(self, checks):
        """Count one check; returns the daemons to remove, missing in `checks` checks.

        Checks are counted rather than time, because a daemon that was suspended has
        seen no list meanwhile.
        """
        self.missing = {name: seen + 1 for name, seen in self.missing.items()}
        return [name for name, seen in self.missing.items() if seen >= checks]

    def add(self, entry):
        """Add a daemon or replace its entry."""
        self.known[entry.id] = entry
        self.missing.pop(entry.id, None)
        self.changed = True

    def discard(self, name):
        """Remove a daemon's entry; this daemon's own is kept."""
        self.missing.pop(name, None)
        if name != self.own.id and self.known.pop(name, None) is not None:
            self.changed = True

    def get(self, name):
        """Return a daemon's entry, or None."""
        return self.known.get(name)

    def order(self, group, length):
        """The first daemons in a group's order; cached until the list changes."""
        self.update_order()
        key = (group, min(length, len(self.known)))
        if key not in self.orders:
            self.orders[key] = self.placement.order(*key)
        return self.orders[key]

    def owner_count(self, spec):
        """Number of daemons that own a group."""
        return owner_count(len(self.known), spec.max_connections)

    def owners(self, spec):
        """The daemons that own a group, in the group's order."""
        return self.order(spec.name, self.owner_count(spec))

    def owns(self, spec):
        """Return whether this daemon owns a group."""
        return self.own.id in self.owners(spec)

    def rank(self, spec):
        """This daemon's index among a group's owners; their number if it is none."""
        owners = self.owners(spec)
        return owners.index(self.own.id) if self.own.id in owners else len(owners)

    def watchers(self):
        """The daemons that watch the store."""
        self.update_order()
        domains = len(self.placement.domains)
        count = watcher_count(len(self.known), domains, self.all_watch_up_to)
        return self.order(WATCHERS_KEY, count)

    def watches(self):
        """Return whether this daemon watches the store itself."""
        return not self.listed or self.own.id in self.watchers()

    def connection_share(self, spec):
        """Connections that each owner of a group may hold to one upstream."""
        return connection_share(self.owner_count(spec), spec.max_connections)
