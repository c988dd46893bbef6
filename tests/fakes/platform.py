"""The platform in virtual time: manifests with versions, watches, outages."""

from dataclasses import dataclass

from gypsum_core.events import AcceptedManifest, InstancesListed, ManifestsSeen
from gypsum_core.messages import ManifestEntry

CALL_LATENCY = 0.004
WATCH_RETRY = 0.5
LIST_INTERVAL = 1.0


@dataclass
class PutOutcome:
    """What an operator learns of a put; None when the answer was lost."""

    accepted: bool | None
    version: int


class FakePlatform:
    """Serves manifests and the instance list to hosts; counts its calls."""

    def __init__(self, *, world):
        self.world = world
        self.clock = world.clock
        self.specs = {}
        self.writers = {}
        self.instances = ()
        self.list_revision = 0
        self.down = False
        self.slow = 0.0
        self.lose_answers = 0
        self.calls = 0
        self.accepted_at = {}

    def delay(self):
        """One way to the platform and back."""
        return CALL_LATENCY + self.slow

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
        """Watchers learn of a change after a call's time."""
        for host in self.world.hosts.values():
            if host.alive and host.node.manifests.watches():
                self.calls += 1
                self.clock.after(self.delay(), self.send_all, host, self.snapshot())

    def snapshot(self):
        """All manifests as they stand now; a late answer carries old ones."""
        return tuple(accepted(spec) for spec in self.specs.values())

    # Hosts

    def follow(self, host):
        """A host's loops: the instance list and the first listing."""
        self.clock.after(self.delay(), self.list_instances, host, host.incarnation)
        self.clock.after(self.delay(), self.load, host, host.incarnation)

    def list_instances(self, host, incarnation):
        """Give a host the list, again and again."""
        if host.incarnation != incarnation:
            return
        if host.node.reads_list():
            self.send_list(host)
        self.clock.after(LIST_INTERVAL, self.list_instances, host, incarnation)

    def send_list(self, host):
        """Answer a host's question for the list."""
        self.calls += 1
        if self.down or self.world.is_cut(host.name, "platform"):
            return
        listed = InstancesListed(instances=self.instances, revision=self.list_revision)
        self.clock.after(self.slow, host.feed, listed)

    def load(self, host, incarnation):
        """Give a host everything once, then what it missed if it watches."""
        if host.incarnation != incarnation:
            return
        self.calls += 1
        cut = self.world.is_cut(host.name, "platform")
        if not self.down and not cut:
            snapshot = self.snapshot()
            self.clock.after(self.slow, self.send_all, host, snapshot)
        self.clock.after(WATCH_RETRY, self.watch, host, incarnation)

    def watch(self, host, incarnation):
        """A watcher reconnects and gets what changed while it was away."""
        if host.incarnation != incarnation:
            return
        if not host.loaded or host.node.manifests.watches():
            self.load(host, incarnation)
        else:
            self.clock.after(WATCH_RETRY, self.watch, host, incarnation)

    def send_all(self, host, snapshot):
        """Hand manifests to a host."""
        if self.down or not host.alive:
            return
        host.loaded = True
        host.feed(ManifestsSeen(manifests=snapshot, source="platform", complete=True))


def accepted(spec):
    """A manifest as the border hands it on; the body is not looked at."""
    entry = ManifestEntry(database=spec.name, version=spec.version, body="")
    return AcceptedManifest(spec=spec, entry=entry)
