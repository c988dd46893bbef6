"""Contents of the manifest and the instance list as the decision logic uses them."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

from gypsum_core.records import Mode


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSpec:
    """One member of a database group and its limits."""

    id: str
    domain: str
    host: str
    port: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True, kw_only=True)
class KindSpec:
    """A kind of request: its mode, allowed age, worth and default deadline."""

    name: str
    mode: Mode
    max_age_ms: float = 0.0
    worth: float = 1.0
    deadline_ms: float = 5000.0
    repeatable: bool = True


@dataclass(frozen=True, kw_only=True)
class DatabaseSpec:
    """A database group as its manifest describes it, at one manifest version."""

    name: str
    version: int
    upstreams: tuple[UpstreamSpec, ...]
    kinds: tuple[KindSpec, ...]
    weights: tuple[tuple[str, float], ...]
    key_hashes: tuple[tuple[str, tuple[str, ...]], ...] = ()

    @cached_property
    def kind_by_name(self):
        """Kinds by their name."""
        return {kind.name: kind for kind in self.kinds}

    @cached_property
    def weight_by_member(self):
        """Members' weights by their name."""
        return dict(self.weights)

    @cached_property
    def key_hashes_by_member(self):
        """SHA-256 hashes, in hexadecimal, of the keys that authenticate a member."""
        return dict(self.key_hashes)

    @cached_property
    def upstream_by_id(self):
        """Upstreams by their id."""
        return {upstream.id: upstream for upstream in self.upstreams}

    @property
    def majority(self):
        """How many upstreams make a majority of the group."""
        return len(self.upstreams) // 2 + 1


class InstanceRole(StrEnum):
    """Role of an instance on the platform's list."""

    DAEMON = "daemon"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One entry of the platform's list of instances, which may lag."""

    id: str
    role: InstanceRole
    domain: str
    address: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Tuning:
    """Times and limits of the decision logic; times are in seconds."""

    poll_interval: float = 0.1
    idle_poll_interval: float = 0.5
    home_idle_after: float = 5.0
    probe_timeout: float = 0.2
    suspect_after: float = 0.5
    ask_after: float = 0.3
    election_backoff: float = 0.15
    fence_grace: float = 0.02
    verb_timeout: float = 0.5
    confirm_retry: float = 0.004
    confirm_stalled: float = 1.0
    read_timeout: float = 2.0
    replica_wait: float = 0.05
    route_margin: float = 0.01
    peer_ping_after: float = 0.1
    peer_silent_after: float = 0.3
    peer_retry_after: float = 1.0
    veto_for: float = 2.0
    drain_limit: float = 5.0
    drain_notice: float = 1.0
    tx_idle: float = 10.0
    switchover_wait: float = 1.0
    recent_writers: int = 10_000
    marks: int = 2048
    queue_limit: int = 10_000
    home_share: float = 0.8
    retry_rate: float = 0.2
    retry_burst: float = 50.0
    max_hops: int = 3
    monitors: int = 3
    relay_watchers: int = 2
    relay_fanout: int = 16
    digest_interval: float = 1.0


DEFAULT_TUNING = Tuning()
