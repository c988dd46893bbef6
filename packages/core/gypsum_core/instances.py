"""The instance list, passed on among daemons as changes.

Only the few daemons that watch the platform read its list; the others learn of
changes along the manifests' tree. The list lags and may be wrong: it decides who
serves whom and which upstreams get new work, never whether a promise holds.
"""

from gypsum_core.messages import AskInstances, InstanceChanges, WholeList

PART = "instances"


class Instances:
    """The list at the highest revision seen."""

    def __init__(self, *, ctx, node):
        self.ctx = ctx
        self.node = node
        self.by_id = {}
        self.revision = -1

    def all(self):
        """All instances on the list."""
        return tuple(self.by_id.values())

    def listed(self, *, instances, revision, source):
        """Take in a whole list; returns whether it changed anything.

        A list of an older revision is dropped: two watchers whose lists lag
        differently would otherwise tell each other the old state for ever.
        """
        if revision < self.revision:
            return False
        new = {item.id: item for item in instances}
        changed = tuple(item for item in instances if self.by_id.get(item.id) != item)
        removed = tuple(name for name in self.by_id if name not in new)
        base, self.revision = self.revision, revision
        if not changed and not removed:
            return False
        self.by_id = new
        self.pass_on(base, changed, removed, source)
        return True

    def changes(self, peer, message):
        """Take in changes from a peer; returns whether they changed anything."""
        if message.revision <= self.revision:
            return False
        if message.base != self.revision:
            self.ctx.send(peer, AskInstances())
            return False
        by_id = {**self.by_id, **{item.id: item for item in message.changed}}
        for name in message.removed:
            by_id.pop(name, None)
        whole = tuple(by_id.values())
        return self.listed(instances=whole, revision=message.revision, source=peer)

    def pass_on(self, base, changed, removed, source):
        """Send what changed down the tree and across."""
        message = InstanceChanges(
            base=base, revision=self.revision, changed=changed, removed=removed
        )
        for peer in self.node.relay_targets():
            if peer != source:
                self.ctx.send(peer, message)

    def asked(self, peer):
        """Send the whole list to a peer that missed something."""
        self.ctx.send(peer, WholeList(revision=self.revision, instances=self.all()))
