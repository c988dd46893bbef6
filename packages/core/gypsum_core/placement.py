"""Which daemons serve a database, in which order.

Rendezvous hashing: every daemon computes the same order from the same list,
and a daemon that comes or goes moves only the databases it served.
"""

from functools import lru_cache

from xxhash import xxh3_64_intdigest


@lru_cache(maxsize=200_000)
def score(database, daemon):
    """Rendezvous weight of a daemon for a database."""
    return xxh3_64_intdigest(f"{database}\x00{daemon}".encode())


def order_daemons(*, database, daemons, first=0):
    """Order daemons for a database, spread over failure domains.

    `daemons` are instances. Each round takes the best daemon of every failure
    domain, so that the second in the order never shares the domain of the first
    while another domain has a daemon. `first` bounds the length (0: all).
    """
    ranked = sorted(daemons, key=lambda daemon: -score(database, daemon.id))
    by_domain = {}
    for daemon in ranked:
        by_domain.setdefault(daemon.domain, []).append(daemon)
    order = []
    rounds = max(map(len, by_domain.values()), default=0)
    for rank in range(rounds):
        row = [line[rank] for line in by_domain.values() if rank < len(line)]
        row.sort(key=lambda daemon: -score(database, daemon.id))
        order.extend(row)
        if first and len(order) >= first:
            return order[:first]
    return order
