"""Routes and database groups in force on this daemon."""

from dataclasses import dataclass, field
from enum import StrEnum


class ReadRule(StrEnum):
    """How fresh a route's reads have to be."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One kind of request: a database name that callers ask for.

    `max_age` bounds the age of what a read shows, `statement_timeout` the time of
    one statement, `latency_target` that of a whole operation; all in seconds.
    A lower `priority` is worth more.
    """

    name: str
    database: str
    group: str
    rule: ReadRule
    statement_timeout: float
    latency_target: float
    max_age: float = 0.0
    priority: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSpec:
    """A database group: connections allowed at each upstream, by all daemons.

    `sync_replicas` is the number of replicas that have a commit before it is
    acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogVersion:
    """One version of the whole configuration."""

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSpec]
    transaction_idle: float


@dataclass(slots=True, kw_only=True)
class Catalog:
    """The version in force; it only ever rises while the process runs."""

    current: CatalogVersion | None = None
    rejected: int = field(default=0)

    @property
    def version(self):
        """Number of the version in force, -1 before the first."""
        return self.current.version if self.current else -1

    def offer(self, candidate):
        """Bring a version into force if it is newer; tell whether it was.

        What goes wrong without the check: a late answer of the store, or a peer
        that was cut off, brings back routes that the operator has removed.
        """
        if candidate.version <= self.version:
            self.rejected += 1
            return False
        self.current = candidate
        return True

    def route(self, database):
        """The route of a database name, or None."""
        return self.current.routes.get(database) if self.current else None
