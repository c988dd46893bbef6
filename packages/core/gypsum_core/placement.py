"""The order of the daemons that serve each database.

Every daemon computes the same order from the same list. A daemon that is added or
removed moves only the databases it serves. One order takes a few lookups, however
many daemons there are: with plain rendezvous hashing over 4,000 daemons, a change of
the list would cost every daemon tens of seconds for 8,700 databases.
"""

import math
from bisect import bisect_right
from dataclasses import dataclass
from functools import lru_cache

from xxhash import xxh3_64_intdigest

POINTS = 64
HASH_RANGE = float(1 << 64)


def stable_hash(*words):
    """A stable 64-bit hash of some words."""
    return xxh3_64_intdigest("\x00".join(words).encode())


@lru_cache(maxsize=20_000)
def ring_points(daemon):
    """A daemon's points on the ring of its failure domain."""
    return tuple(stable_hash(daemon, str(number)) for number in range(POINTS))


class Ring:
    """A consistent-hash ring of the daemons of one failure domain."""

    def __init__(self, *, members):
        self.members = frozenset(members)
        pairs = sorted(
            (point, daemon) for daemon in self.members for point in ring_points(daemon)
        )
        self.points = [point for point, _ in pairs]
        self.owners = [daemon for _, daemon in pairs]

    def successors(self, position, count):
        """The first `count` different daemons at or after a position."""
        daemons = []
        start = bisect_right(self.points, position)
        total = len(self.owners)
        wanted = min(count, len(self.members))
        for step in range(total):
            owner = self.owners[(start + step) % total]
            if owner not in daemons:
                daemons.append(owner)
                if len(daemons) == wanted:
                    break
        return daemons


@dataclass(frozen=True, slots=True)
class DatabaseHashes:
    """A database's position on the rings and its score in each failure domain."""

    position: int
    scores: tuple[float, ...]


class Placement:
    """The order of daemons for each database, spread over failure domains."""

    def __init__(self):
        self.rings = {}
        self.domains = ()
        self.sizes = ()
        self.hashes = {}

    def update(self, daemons):
        """Apply a list of daemons; only changed domains get a new ring."""
        by_domain = {}
        for daemon in daemons:
            by_domain.setdefault(daemon.domain, []).append(daemon.id)
        self.rings = {
            domain: self.ring_of(domain, frozenset(members))
            for domain, members in by_domain.items()
        }
        domains = tuple(sorted(self.rings))
        if domains != self.domains:
            self.hashes.clear()
        self.domains = domains
        self.sizes = tuple(len(self.rings[name].members) for name in domains)

    def ring_of(self, domain, members):
        """A domain's ring; the existing one is reused if its daemons are the same."""
        old = self.rings.get(domain)
        if old is not None and old.members == members:
            return old
        return Ring(members=members)

    def order(self, database, length):
        """The first `length` daemons of a database.

        Each round takes one daemon of every failure domain, so that the second in
        the order never shares the domain of the first while there is another.
        """
        hashes = self.hashes_of(database)
        domains = self.ranked_domains(hashes)
        rounds = -(-length // max(1, len(domains)))
        wanted = domains[:length]
        per_domain = [
            self.rings[name].successors(hashes.position, rounds) for name in wanted
        ]
        order = [
            daemons[rank]
            for rank in range(rounds)
            for daemons in per_domain
            if rank < len(daemons)
        ]
        return order[:length]

    def first(self, database):
        """The first daemon of a database, or an empty name."""
        order = self.order(database, 1)
        return order[0] if order else ""

    def may_be_ranked(self, database, domain, ranks):
        """Return, cheaply, whether a domain's daemon can be among the first `ranks`.

        Called for every database at every change of the list; for most databases
        the failure domain alone rules a daemon out.
        """
        if domain not in self.rings:
            return False
        if len(self.domains) <= ranks:
            return True
        scores = self.hashes_of(database).scores
        pos = self.domains.index(domain)
        own = scores[pos] / self.sizes[pos]
        before = 0
        for score, size in zip(scores, self.sizes, strict=True):
            before += score / size < own
        return before < ranks

    def hashes_of(self, database):
        """The hashes of a database, cached until the set of domains changes."""
        hashes = self.hashes.get(database)
        if hashes is None:
            scores = tuple(
                -math.log((stable_hash(database, name) + 1) / (HASH_RANGE + 2))
                for name in self.domains
            )
            hashes = DatabaseHashes(stable_hash(database), scores)
            self.hashes[database] = hashes
        return hashes

    def ranked_domains(self, hashes):
        """Domains by weighted rendezvous hashing, weighted by their daemons."""
        ranked = sorted(
            (score / size, name)
            for score, size, name in zip(
                hashes.scores, self.sizes, self.domains, strict=True
            )
        )
        return [name for _, name in ranked]
