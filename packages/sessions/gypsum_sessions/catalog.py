"""The routes, database groups and workspaces that this daemon serves."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsum_policy.credentials import ANONYMOUS, Credential, is_credential_valid
from gypsum_policy.ratelimit import Cap


class ReadRule(StrEnum):
    """Freshness that a route's reads require."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A database name that callers can open, and how its statements are run.

    `max_age` limits the staleness of reads, `statement_timeout` the time of one
    statement, `latency_target` that of a whole operation; all in seconds. A lower
    `priority` takes precedence. A `public` route is open to callers without a key.
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
    """A member of the platform, whose callers present one of its keys.

    `cap` limits the operations that it begins on all daemons, None for no limit.
    """

    name: str
    cap: Cap | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSpec:
    """Limits of a database group.

    `max_connections` is the number of connections that all daemons together may open
    to each upstream, `sync_replicas` the number of replicas that have a commit before
    it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogVersion:
    """One version of the whole configuration.

    `workspaces` are by name, None if callers need no keys. `key_workspaces` maps the
    digest of each key to the name of its workspace.
    """

    version: int
    routes: dict[str, Route]
    groups: dict[str, GroupSpec]
    transaction_idle: float
    workspaces: dict[str, Workspace] | None = None
    key_workspaces: dict[str, str] = field(default_factory=dict)

    def requires_key(self, route):
        """Return whether callers of a route have to present a key."""
        return self.workspaces is not None and not route.public


@dataclass(slots=True, kw_only=True)
class Catalog:
    """The configuration in force; its version never falls while the process runs."""

    current: CatalogVersion | None = None
    rejected_offers: int = field(default=0)

    @property
    def version(self):
        """Number of the version in force, -1 before the first."""
        return self.current.version if self.current else -1

    def offer(self, candidate):
        """Apply a configuration if it is newer; return whether it was.

        Without this check a late answer of the store, or a peer that was cut off, could
        bring back routes that the operator has removed.
        """
        if candidate.version <= self.version:
            self.rejected_offers += 1
            return False
        self.current = candidate
        return True

    def route(self, database):
        """Return the route of a database name, or None."""
        return self.current.routes.get(database) if self.current else None

    def authenticate(self, route, digest):
        """Return the credential of a caller with this key, or None if it is invalid."""
        current = self.current
        if not current.requires_key(route):
            return ANONYMOUS
        holder = current.key_workspaces.get(digest)
        if holder is None:
            return None
        return Credential(workspace=holder, digest=digest, version=current.version)

    def cap(self, workspace):
        """Return the cap of a workspace, or None."""
        known = (self.current.workspaces or {}) if self.current else {}
        found = known.get(workspace)
        return found.cap if found is not None else None

    def is_valid(self, credential):
        """Return whether a credential is still valid under the current version."""
        holder = (
            self.current.key_workspaces.get(credential.digest) if self.current else None
        )
        return is_credential_valid(credential, version=self.version, holder=holder)

    def renew(self, credential, route, digest):
        """Return a session's credential under the current version, None if invalid.

        A key that moved to another workspace is invalid too: the values and connections
        of the session belong to the old one.
        """
        if credential.version == self.version:
            return credential
        fresh = self.authenticate(route, digest)
        if fresh is None or fresh.workspace != credential.workspace:
            return None
        return fresh
