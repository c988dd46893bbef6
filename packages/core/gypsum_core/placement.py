"""Which daemons serve a database, in which order.

Every daemon computes the same order from the same list. A daemon that comes or
goes moves only the databases it served. One order costs a few look-ups, whatever
the number of daemons: with plain rendezvous hashing over 4,000 daemons, a change of
the list would cost every daemon tens of seconds for 8,700 databases.
"""

import math
from bisect import bisect_right
from dataclasses import dataclass
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


@dataclass(frozen=True, slots=True)
class Draws:
    """A database's place on the rings and its luck in each failure domain."""

    position: int
    lucks: tuple[float, ...]


class Placement:
    """The order of daemons for each database, spread over failure domains."""

    def __init__(self):
        self.rings = {}
        self.domains = ()
        self.sizes = ()
        self.draws = {}

    def update(self, daemons):
        """Take in a list of daemons; only domains that changed are built anew."""
        by_domain = {}
        for daemon in daemons:
            by_domain.setdefault(daemon.domain, []).append(daemon.id)
        self.rings = {
            domain: self.ring_of(domain, frozenset(members))
            for domain, members in by_domain.items()
        }
        domains = tuple(sorted(self.rings))
        if domains != self.domains:
            self.draws.clear()
        self.domains = domains
        self.sizes = tuple(len(self.rings[name].members) for name in domains)

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
        draws = self.draws_of(database)
        domains = self.ranked_domains(draws)
        rounds = -(-length // max(1, len(domains)))
        wanted = domains[:length]
        lines = [self.rings[name].successors(draws.position, rounds) for name in wanted]
        order = [
            line[rank] for rank in range(rounds) for line in lines if rank < len(line)
        ]
        return order[:length]

    def first(self, database):
        """The first daemon of a database, or an empty name."""
        order = self.order(database, 1)
        return order[0] if order else ""

    def may_rank(self, database, domain, ranks):
        """Tell cheaply whether a domain's daemon can be among the first `ranks`.

        A daemon asks this of every database at every change of the list; for most
        of them its failure domain alone rules it out.
        """
        if domain not in self.rings:
            return False
        if len(self.domains) <= ranks:
            return True
        lucks = self.draws_of(database).lucks
        place = self.domains.index(domain)
        own = lucks[place] / self.sizes[place]
        before = 0
        for luck, size in zip(lucks, self.sizes, strict=True):
            before += luck / size < own
        return before < ranks

    def draws_of(self, database):
        """What hashing gives a database; it changes only with the domains."""
        draws = self.draws.get(database)
        if draws is None:
            lucks = tuple(
                -math.log((hash_of(database, name) + 1) / (HASH_RANGE + 2))
                for name in self.domains
            )
            draws = Draws(hash_of(database), lucks)
            self.draws[database] = draws
        return draws

    def ranked_domains(self, draws):
        """Weighted rendezvous: a domain comes first as often as it has daemons."""
        ranked = sorted(
            (luck / size, name)
            for luck, size, name in zip(
                draws.lucks, self.sizes, self.domains, strict=True
            )
        )
        return [name for _, name in ranked]
