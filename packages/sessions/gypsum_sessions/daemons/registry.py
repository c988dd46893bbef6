"""The daemons known to run, and which of them own which group."""

from dataclasses import dataclass

from gypsum_core.placement import Placement
from gypsum_policy.ownership import connection_share, owner_count
from gypsum_policy.relays import FEW_DAEMONS, watcher_count

# The watchers' place in the order of daemons; no group has such a name.
WATCHERS_KEY = "\x00watchers"


@dataclass(frozen=True, slots=True, kw_only=True)
class DaemonEntry:
    """A daemon as it is registered: `link` is where others reach it, `host:port`.

    `revision` is the store's revision of its entry, 0 for one that is not there.
    """

    id: str
    domain: str
    link: str = ""
    revision: int = 0


class DaemonRegistry:
    """All known daemons, this one included, in one order for each group.

    Up to `all_watch_up_to` of them all watch the store.
    `listed` says that the list has been read: before, this daemon would take itself for
    the owner of everything.
    """

    def __init__(self, *, own, all_watch_up_to=FEW_DAEMONS):
        self.own = own
        self.all_watch_up_to = all_watch_up_to
        self.listed = False
        # Whether this daemon had an entry from before its start.
        self.rejoined = False
        self.known = {own.id: own}
        # Looks at daemons that the last whole list lacked.
        self.missing = {}
        self.placement = Placement()
        self.orders = {}
        # Whether the list is another one than that which was ordered.
        self.changed = True

    def update_order(self):
        """Order the daemons anew if the list has changed.

        What goes wrong when each change orders them: a fleet of hundreds starts, each
        daemon hears of all others one by one, and none has time for anything else.
        """
        if not self.changed:
            return
        self.changed = False
        self.placement.update(self.known.values())
        self.orders.clear()

    def mark_rejoined(self):
        """This daemon was registered before it started."""
        self.rejoined = True

    def take_all(self, entries):
        """Take in the whole list; who vanished from it is missing for a while."""
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
        """One look: returns who was missing in so many, to be dropped.

        Looks are counted, not time: a daemon that was suspended has seen no list.
        """
        self.missing = {name: seen + 1 for name, seen in self.missing.items()}
        return [name for name, seen in self.missing.items() if seen >= checks]

    def add(self, entry):
        """A daemon registered, or changed its entry."""
        self.known[entry.id] = entry
        self.missing.pop(entry.id, None)
        self.changed = True

    def discard(self, name):
        """A daemon's entry was removed; our own place is kept."""
        self.missing.pop(name, None)
        if name != self.own.id and self.known.pop(name, None) is not None:
            self.changed = True

    def get(self, name):
        """A daemon's entry, or None."""
        return self.known.get(name)

    def order(self, group, length):
        """The first daemons in a group's order; kept until the list changes."""
        self.update_order()
        key = (group, min(length, len(self.known)))
        if key not in self.orders:
            self.orders[key] = self.placement.order(*key)
        return self.orders[key]

    def owner_count(self, spec):
        """How many daemons own a group."""
        return owner_count(len(self.known), spec.max_connections)

    def owners(self, spec):
        """The daemons that own a group, in its order."""
        return self.order(spec.name, self.owner_count(spec))

    def owns(self, spec):
        """Tell whether this daemon owns a group."""
        return self.own.id in self.owners(spec)

    def rank(self, spec):
        """This daemon's place among a group's owners; after them if it is none."""
        owners = self.owners(spec)
        return owners.index(self.own.id) if self.own.id in owners else len(owners)

    def watchers(self):
        """The daemons that watch the store."""
        self.update_order()
        domains = len(self.placement.domains)
        count = watcher_count(len(self.known), domains, self.all_watch_up_to)
        return self.order(WATCHERS_KEY, count)

    def watches(self):
        """Tell whether this daemon watches the store itself."""
        return not self.listed or self.own.id in self.watchers()

    def connection_share(self, spec):
        """Connections that each owner of a group may hold to one upstream."""
        return connection_share(self.owner_count(spec), spec.max_connections)
