"""Routes and database groups in force on this daemon."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsum_policy.credentials import NOBODY, Credential, stands
from gypsum_policy.usage import Cap


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
    A lower `priority` is worth more. A `public` one is open to callers without a key.
    """

    name: str
    database: str
    group: str
    rule: ReadRule
    statement_timeout: float
    latency_target: float
    max_age: float = 0.0
    priority: int = 0
    public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A member of the platform, whose callers show one of its keys.

    `cap` bounds the operations that it begins over all daemons, None if nothing does.
    """

    name: str
    cap: Cap | None = None


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
    """One version of the whole configuration.

    `workspaces` are by name, None where callers need no key. `key_workspaces` maps the
    digest of each key to the name of its workspace.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSpec]
    transaction_idle: float
    workspaces: dict[str, Workspace] | None = None
    key_workspaces: dict[str, str] = field(default_factory=dict)

    def requires_key(self, route):
        """Tell whether callers of a route have to show a key."""
        return self.workspaces is not None and not route.public


@dataclass(slots=True, kw_only=True)
class Catalog:
    """The version in force; it only ever rises while the process runs."""

    current: CatalogVersion | None = None
    rejected_offers: int = field(default=0)

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
            self.rejected_offers += 1
            return False
        self.current = candidate
        return True

    def route(self, database):
        """The route of a database name, or None."""
        return self.current.routes.get(database) if self.current else None

    def authenticate(self, route, digest):
        """The credential of a caller that shows a key; None if it is not let in."""
        current = self.current
        if not current.requires_key(route):
            return NOBODY
        holder = current.key_workspaces.get(digest)
        if holder is None:
            return None
        return Credential(workspace=holder, digest=digest, version=current.version)

    def cap(self, workspace):
        """The cap of a workspace, None if it has none."""
        known = (self.current.workspaces or {}) if self.current else {}
        found = known.get(workspace)
        return found.cap if found is not None else None

    def is_valid(self, credential):
        """Tell whether a caller that was let in may go on."""
        holder = (
            self.current.key_workspaces.get(credential.digest) if self.current else None
        )
        return stands(credential, version=self.version, holder=holder)

    def renew(self, credential, route, digest):
        """A session's credential under the version in force, None if it fell.

        One that moved to another workspace falls too: what the session holds, its
        values and connections, is the old one's.
        """
        if credential.version == self.version:
            return credential
        fresh = self.authenticate(route, digest)
        if fresh is None or fresh.workspace != credential.workspace:
            return None
        return fresh
