"""Which daemons serve a database, in which order.

Every daemon computes the same order from the same list. A daemon that comes or
goes moves only the databases it served. One order costs a few look-ups, whatever
the number of daemons: with plain rendezvous hashing over 4,000 daemons, a change of
the list would cost every daemon tens of seconds for 8,700 databases.
"""

import math
from bisect import bisect_right
from functools import lru_cache

from xxhash import xxh3_64_intdigest

POINTS = 64
HASH_RANGE = float(1 << 64)


def hash_of(*words):
    """A stable 64-bit hash of some words."""
    return xxh3_64_intdigest("\x00".join(words).encode())


@lru_cache(maxsize=20_000)
def points_of(daemon):
    """A daemon's points on the ring of its failure domain."""
    return tuple(hash_of(daemon, str(number)) for number in range(POINTS))


class Ring:
    """A consistent-hash ring of the daemons of one failure domain."""

    def __init__(self, *, members):
        self.members = frozenset(members)
        pairs = sorted(
            (point, daemon) for daemon in self.members for point in points_of(daemon)
        )
        self.points = [point for point, _ in pairs]
        self.owners = [daemon for _, daemon in pairs]

    def successors(self, position, count):
        """The first `count` different daemons at or after a position."""
        found = []
        start = bisect_right(self.points, position)
        total = len(self.owners)
        wanted = min(count, len(self.members))
        for step in range(total):
            owner = self.owners[(start + step) % total]
            if owner not in found:
                found.append(owner)
                if len(found) == wanted:
                    break
        return found


class Placement:
    """The order of daemons for each database, spread over failure domains."""

    def __init__(self):
        self.rings = {}

    def update(self, daemons):
        """Take in a list of daemons; only domains that changed are built anew."""
        by_domain = {}
        for daemon in daemons:
            by_domain.setdefault(daemon.domain, []).append(daemon.id)
        self.rings = {
            domain: self.ring_of(domain, frozenset(members))
            for domain, members in by_domain.items()
        }

    def ring_of(self, domain, members):
        """A domain's ring, the old one if its daemons are the same."""
        old = self.rings.get(domain)
        if old is not None and old.members == members:
            return old
        return Ring(members=members)

    def order(self, database, length):
        """The first `length` daemons of a database.

        Each round takes one daemon of every failure domain, so that the second in
        the order never shares the domain of the first while there is another.
        """
        domains = sorted(self.rings, key=lambda name: self.weight(database, name))
        rounds = -(-length // max(1, len(domains)))
        position = hash_of(database)
        lines = [self.rings[name].successors(position, rounds) for name in domains]
        order = [
            line[rank] for rank in range(rounds) for line in lines if rank < len(line)
        ]
        return order[:length]

    def first(self, database):
        """The first daemon of a database, or an empty name."""
        order = self.order(database, 1)
        return order[0] if order else ""

    def weight(self, database, domain):
        """Weighted rendezvous: a domain comes first as often as it has daemons."""
        draw = (hash_of(database, domain) + 1) / (HASH_RANGE + 2)
        return -math.log(draw) / len(self.rings[domain].members)
