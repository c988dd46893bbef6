"""Manifests in force, and how news of them spreads among daemons.

The platform holds the one true version of each manifest. A few daemons of each
failure domain watch it; the others get changes from them along a tree, so that
the platform's calls do not grow with the fleet.
"""

from gypsum_core.messages import Changes, DatabaseVersion, Digest, Versions
from gypsum_core.placement import hash_of

PART = "manifest"
BOOTSTRAP = "bootstrap"
BOOTSTRAP_PEERS = 3
BOOTSTRAP_PAUSE = 0.5
OTHER_DOMAINS = 3


class Manifests:
    """The highest version of each manifest that this daemon has seen."""

    def __init__(self, *, ctx, peers, node):
        self.ctx = ctx
        self.peers = peers
        self.node = node
        self.in_force = {}
        self.digest = 0
        self.lines = {}
        self.ready = False
        self.rounds = 0

    # Versions

    def seen(self, event):
        """Put newer manifests in force; return the specs that changed.

        An answer of the platform or a peer may be old: a version is only ever
        raised, so a late one changes nothing.
        """
        changed = []
        for manifest in event.manifests:
            if self.raise_to(manifest):
                changed.append(manifest)
        if event.complete and not self.ready:
            self.ready = True
            self.ctx.log(PART, f"ready with databases={len(self.in_force)}")
        if changed:
            entries = tuple(manifest.entry for manifest in changed)
            self.pass_on(entries, source=event.source)
        return [manifest.spec for manifest in changed]

    def raise_to(self, manifest):
        """Take in one manifest if it is newer; tell whether it was."""
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

    # The tree

    def line(self):
        """The daemons of our failure domain in relay order."""
        return self.lines.get(self.node.domain, [])

    def list_changed(self):
        """The instance list changed: order each failure domain's daemons anew."""
        lines = {}
        for daemon in self.node.daemons():
            lines.setdefault(daemon.domain, []).append(daemon.id)
        for domain, line in lines.items():
            line.sort(key=lambda name, domain=domain: hash_of("@relay", domain, name))
        self.lines = lines

    def watches(self):
        """Tell whether this daemon is among those that watch the platform."""
        line = self.line()
        watchers = [name for name in line if self.is_usable(name)]
        return self.ctx.daemon in watchers[: self.ctx.tuning.relay_watchers]

    def is_usable(self, name):
        """Tell whether a daemon is this one or answers."""
        return name == self.ctx.daemon or self.peers.usable(name)

    def children(self):
        """The daemons that get changes from us."""
        line = self.line()
        if self.ctx.daemon not in line:
            return []
        place = line.index(self.ctx.daemon)
        tuning = self.ctx.tuning
        first = tuning.relay_watchers + place * tuning.relay_fanout
        return line[first : first + tuning.relay_fanout]

    def parents(self):
        """Whom to compare with: our parent, our watchers, other domains' first."""
        line = self.line()
        tuning = self.ctx.tuning
        parents = []
        if self.ctx.daemon in line:
            place = line.index(self.ctx.daemon)
            if place >= tuning.relay_watchers:
                above = (place - tuning.relay_watchers) // tuning.relay_fanout
                parents.append(line[above])
        parents.extend(line[: tuning.relay_watchers])
        parents.extend(self.heads_elsewhere())
        return [name for name in parents if name != self.ctx.daemon]

    def heads_elsewhere(self):
        """The first watchers of a few other failure domains."""
        own = self.node.domain
        others = sorted(domain for domain in self.lines if domain != own)
        return [self.lines[domain][0] for domain in others[:OTHER_DOMAINS]]

    def pass_on(self, entries, *, source):
        """Send changes down the tree, and across when they came from above."""
        for peer in self.targets():
            if peer != source:
                self.ctx.send(peer, Changes(entries=entries))

    def targets(self):
        """Who gets news from us: our children; a watcher tells other domains too."""
        targets = list(self.children())
        if self.watches():
            targets.extend(self.parents())
        return list(dict.fromkeys(targets))

    # Comparing

    def start(self):
        """Ask peers for what the platform may be unable to tell."""
        self.ctx.set_timer(0.0, part=PART, detail=BOOTSTRAP)
        self.ctx.set_timer(self.ctx.tuning.digest_interval, part=PART)

    def on_timer(self, timer):
        """Compare with a peer, or go on asking until ready."""
        if timer.detail == BOOTSTRAP:
            self.bootstrap()
            return
        self.compare()
        self.ctx.set_timer(self.ctx.tuning.digest_interval, part=PART)

    def bootstrap(self):
        """Ask a few peers for all they have, until somebody answered in full."""
        if self.ready:
            return
        question = Versions(versions=self.versions(), reply=True)
        asked = [name for name in self.parents() if self.peers.usable(name)]
        for peer in asked[:BOOTSTRAP_PEERS]:
            self.ctx.send(peer, question)
            self.ctx.send(peer, self.own_digest())
        self.ctx.set_timer(BOOTSTRAP_PAUSE, part=PART, detail=BOOTSTRAP)

    def compare(self):
        """Send our digest to one peer above us; equal digests cost one message.

        What goes wrong without it: a change lost with a broken link leaves a
        daemon on an old manifest until the next change.
        """
        parents = [name for name in self.parents() if self.peers.usable(name)]
        if not parents:
            return
        self.rounds += 1
        across = self.watches() and self.rounds % 2 == 0
        peer = parents[-1] if across else parents[0]
        self.ctx.send(peer, self.own_digest())

    def own_digest(self):
        """What we hold, in a few bytes."""
        return Digest(digest=f"{self.digest:016x}", revision=self.node.list.revision)

    def on_digest(self, peer, message):
        """A peer's digest differs: offer our versions and ask for its own."""
        self.node.send_list(peer, message.revision)
        if message.digest != f"{self.digest:016x}":
            self.ctx.send(peer, Versions(versions=self.versions(), reply=True))

    def on_versions(self, peer, message):
        """Send what the peer lacks; ask for what we lack."""
        entries = self.newer_than(message.versions)
        if entries or message.reply:
            self.ctx.send(
                peer,
                Changes(
                    entries=entries,
                    complete=message.reply and self.ready,
                ),
            )
        mine = {name: item.spec.version for name, item in self.in_force.items()}
        lacking = any(
            item.version > mine.get(item.database, -1) for item in message.versions
        )
        if message.reply and lacking:
            self.ctx.send(peer, Versions(versions=self.versions(), reply=False))


def version_hash(name, version):
    """Hash one database's version; the digest is the exclusive or of them."""
    return hash_of(name, str(version))
