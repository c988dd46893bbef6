"""Manifests in force, and the relay tree that distributes them among daemons.

The platform holds the authoritative version of each manifest. A few daemons of each
failure domain watch it; the others get changes from them through a tree, so that
the number of platform calls does not grow with the number of daemons.
"""

from gypsum_core.messages import Changes, DatabaseVersion, Digest, Versions
from gypsum_core.placement import stable_hash

PART = "manifest"
BOOTSTRAP = "bootstrap"
BOOTSTRAP_PEERS = 3
BOOTSTRAP_RETRY_INTERVAL = 0.5
OTHER_DOMAINS = 3


class Manifests:
    """The highest version of each manifest that this daemon has seen."""

    def __init__(self, *, ctx, peers, node):
        self.ctx = ctx
        self.peers = peers
        self.node = node
        self.in_force = {}
        self.digest = 0
        self.relay_orders = {}
        self.ready = False
        self.rounds = 0

    # Versions

    def apply(self, event):
        """Put newer manifests in force; return the specs that changed.

        An answer of the platform or a peer may be outdated. Versions only increase,
        so a late answer changes nothing.
        """
        changed = []
        for manifest in event.manifests:
            if self.apply_if_newer(manifest):
                changed.append(manifest)
        if event.complete and not self.ready:
            self.ready = True
            self.ctx.log(PART, f"ready with databases={len(self.in_force)}")
        if changed:
            entries = tuple(manifest.entry for manifest in changed)
            self.relay(entries, source=event.source)
        return [manifest.spec for manifest in changed]

    def apply_if_newer(self, manifest):
        """Put one manifest in force if it is newer; return whether it was."""
        name = manifest.spec.name
        known = self.in_force.get(name)
        if known and known.spec.version >= manifest.spec.version:
            return False
        if known:
            self.digest ^= version_hash(name, known.spec.version)
        self.digest ^= version_hash(name, manifest.spec.version)
        self.in_force[name] = manifest
        self.ctx.log(PART, f"{name}: version={manifest.spec.version} in force")
        return True

    def versions(self):
        """The versions in force."""
        return tuple(
            DatabaseVersion(database=name, version=manifest.spec.version)
            for name, manifest in self.in_force.items()
        )

    def newer_than(self, versions):
        """The entries that are newer than, or absent from, a list of versions."""
        known = {item.database: item.version for item in versions}
        return tuple(
            manifest.entry
            for name, manifest in self.in_force.items()
            if manifest.spec.version > known.get(name, -1)
        )

    # Relay tree

    def own_relay_order(self):
        """The daemons of our failure domain in relay order."""
        return self.relay_orders.get(self.node.domain, [])

    def update_relay_order(self):
        """Recompute the relay order of each failure domain from the instance list."""
        orders = {}
        for daemon in self.node.daemons():
            orders.setdefault(daemon.domain, []).append(daemon.id)
        for domain, order in orders.items():
            order.sort(
                key=lambda name, domain=domain: stable_hash("@relay", domain, name)
            )
        self.relay_orders = orders

    def is_watcher(self):
        """Return whether this daemon is one of those that watch the platform."""
        order = self.own_relay_order()
        watchers = [name for name in order if self.is_usable(name)]
        return self.ctx.daemon in watchers[: self.ctx.tuning.relay_watchers]

    def is_usable(self, name):
        """Return whether a daemon is this one or can be sent messages."""
        return name == self.ctx.daemon or self.peers.usable(name)

    def children(self):
        """The daemons that get changes from this one."""
        order = self.own_relay_order()
        if self.ctx.daemon not in order:
            return []
        pos = order.index(self.ctx.daemon)
        tuning = self.ctx.tuning
        first = tuning.relay_watchers + pos * tuning.relay_fanout
        return order[first : first + tuning.relay_fanout]

    def parents(self):
        """Daemons to compare with: parent, own watchers, other domains' watchers."""
        order = self.own_relay_order()
        tuning = self.ctx.tuning
        parents = []
        if self.ctx.daemon in order:
            pos = order.index(self.ctx.daemon)
            if pos >= tuning.relay_watchers:
                above = (pos - tuning.relay_watchers) // tuning.relay_fanout
                parents.append(order[above])
        parents.extend(order[: tuning.relay_watchers])
        parents.extend(self.other_domain_watchers())
        return [name for name in parents if name != self.ctx.daemon]

    def other_domain_watchers(self):
        """The first watchers of a few other failure domains."""
        own = self.node.domain
        others = sorted(domain for domain in self.relay_orders if domain != own)
        return [self.relay_orders[domain][0] for domain in others[:OTHER_DOMAINS]]

    def relay(self, entries, *, source):
        """Send changes to the relay targets, except the one they came from."""
        for peer in self.relay_targets():
            if peer != source:
                self.ctx.send(peer, Changes(entries=entries))

    def relay_targets(self):
        """Daemons to send updates to: the children, and for a watcher its parents."""
        targets = list(self.children())
        if self.is_watcher():
            targets.extend(self.parents())
        return list(dict.fromkeys(targets))

    # Comparison with peers

    def start(self):
        """Start to ask peers, since the platform may be unavailable."""
        self.ctx.set_timer(0.0, part=PART, detail=BOOTSTRAP)
        self.ctx.set_timer(self.ctx.tuning.digest_interval, part=PART)

    def on_timer(self, timer):
        """Compare with a peer, or continue the bootstrap."""
        if timer.detail == BOOTSTRAP:
            self.bootstrap()
            return
        self.send_digest()
        self.ctx.set_timer(self.ctx.tuning.digest_interval, part=PART)

    def bootstrap(self):
        """Ask a few peers for all manifests until one has answered completely."""
        if self.ready:
            return
        request = Versions(versions=self.versions(), reply=True)
        asked = [name for name in self.parents() if self.peers.usable(name)]
        for peer in asked[:BOOTSTRAP_PEERS]:
            self.ctx.send(peer, request)
            self.ctx.send(peer, self.own_digest())
        self.ctx.set_timer(BOOTSTRAP_RETRY_INTERVAL, part=PART, detail=BOOTSTRAP)

    def send_digest(self):
        """Send our digest to one parent; equal digests cost one message.

        Otherwise a change that is lost with a broken link would leave a daemon on an
        old manifest until the next change.
        """
        parents = [name for name in self.parents() if self.peers.usable(name)]
        if not parents:
            return
        self.rounds += 1
        other_domain = self.is_watcher() and self.rounds % 2 == 0
        peer = parents[-1] if other_domain else parents[0]
        self.ctx.send(peer, self.own_digest())

    def own_digest(self):
        """Digest of the versions in force and the revision of the instance list."""
        return Digest(
            digest=f"{self.digest:016x}", revision=self.node.instance_list.revision
        )

    def on_digest(self, peer, message):
        """Compare a peer's digest; if it differs, send our versions and request its."""
        self.node.send_list(peer, message.revision)
        if message.digest != f"{self.digest:016x}":
            self.ctx.send(peer, Versions(versions=self.versions(), reply=True))

    def on_versions(self, peer, message):
        """Send the manifests that the peer lacks; request those that we lack."""
        entries = self.newer_than(message.versions)
        if entries or message.reply:
            self.ctx.send(
                peer,
                Changes(
                    entries=entries,
                    complete=message.reply and self.ready,
                ),
            )
        own = {name: item.spec.version for name, item in self.in_force.items()}
        lacking = any(
            item.version > own.get(item.database, -1) for item in message.versions
        )
        if message.reply and lacking:
            self.ctx.send(peer, Versions(versions=self.versions(), reply=False))


def version_hash(name, version):
    """Hash one database's version; the digest is the XOR of all."""
    return stable_hash(name, str(version))
