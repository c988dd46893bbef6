"""The platform in virtual time: manifests with versions, watches, outages."""

from dataclasses import dataclass

from gypsum_core.events import AcceptedManifest, InstancesReceived, ManifestsReceived
from gypsum_core.messages import ManifestEntry

CALL_LATENCY = 0.004
WATCH_RETRY = 0.5
LIST_INTERVAL = 1.0


@dataclass
class PutOutcome:
    """Result of a put as an operator sees it; `accepted` is None if it is unknown."""

    accepted: bool | None
    version: int


class FakePlatform:
    """Serves manifests and the instance list to hosts, and counts calls."""

    def __init__(self, *, world):
        self.world = world
        self.clock = world.clock
        self.specs = {}
        self.writers = {}
        self.instances = ()
        self.list_revision = 0
        self.down = False
        self.extra_delay = 0.0
        self.lose_answers = 0
        self.calls = 0
        self.accepted_at = {}

    def delay(self):
        """Seconds for a call to the platform."""
        return CALL_LATENCY + self.extra_delay

    # Operators

    def put(self, make_spec, *, expect, writer):
        """A conditional put; the answer may be lost after it took effect."""
        self.calls += 1
        if self.down:
            return PutOutcome(accepted=None, version=0)
        spec = make_spec(expect + 1)
        current = self.specs.get(spec.name)
        version = current.version if current else 0
        accepted = version == expect
        if accepted:
            self.specs[spec.name] = spec
            self.world.manifests[(spec.name, spec.version)] = spec
            self.writers[spec.name] = writer
            self.accepted_at[(spec.name, spec.version)] = self.clock.now
            self.notify()
        if self.lose_answers:
            self.lose_answers -= 1
            return PutOutcome(accepted=None, version=0)
        return PutOutcome(accepted=accepted, version=max(version, spec.version))

    def notify(self):
        """Send all manifests to the watchers, after the delay of a call."""
        for host in self.world.hosts.values():
            if host.alive and host.node.manifests.is_watcher():
                self.calls += 1
                self.clock.after(self.delay(), self.send_all, host, self.snapshot())

    def snapshot(self):
        """The current manifests; an answer that is delayed then carries old ones."""
        return tuple(accepted_manifest(spec) for spec in self.specs.values())

    # Hosts

    def connect_host(self, host):
        """Start a host's loops for the instance list and the manifests."""
        self.clock.after(self.delay(), self.list_instances, host, host.incarnation)
        self.clock.after(self.delay(), self.load, host, host.incarnation)

    def list_instances(self, host, incarnation):
        """Send a host the instance list at each interval."""
        if host.incarnation != incarnation:
            return
        if host.node.should_poll_instances():
            self.send_list(host)
        self.clock.after(LIST_INTERVAL, self.list_instances, host, incarnation)

    def send_list(self, host):
        """Answer a host's request for the instance list."""
        self.calls += 1
        if self.down or self.world.is_cut(host.name, "platform"):
            return
        listed = InstancesReceived(
            instances=self.instances, revision=self.list_revision
        )
        self.clock.after(self.extra_delay, host.feed, listed)

    def load(self, host, incarnation):
        """Send a host all manifests, then start its watch loop."""
        if host.incarnation != incarnation:
            return
        self.calls += 1
        cut = self.world.is_cut(host.name, "platform")
        if not self.down and not cut:
            snapshot = self.snapshot()
            self.clock.after(self.extra_delay, self.send_all, host, snapshot)
        self.clock.after(WATCH_RETRY, self.watch, host, incarnation)

    def watch(self, host, incarnation):
        """Reload a watcher, or a host without manifests, at each interval."""
        if host.incarnation != incarnation:
            return
        if not host.loaded or host.node.manifests.is_watcher():
            self.load(host, incarnation)
        else:
            self.clock.after(WATCH_RETRY, self.watch, host, incarnation)

    def send_all(self, host, snapshot):
        """Deliver manifests to a host."""
        if self.down or not host.alive:
            return
        host.loaded = True
        host.feed(
            ManifestsReceived(manifests=snapshot, source="platform", complete=True)
        )


def accepted_manifest(spec):
    """A manifest as validation would return it; the body is not used."""
    entry = ManifestEntry(database=spec.name, version=spec.version, body="")
    return AcceptedManifest(spec=spec, entry=entry)
