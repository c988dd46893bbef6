"""The instance list, relayed between daemons as changes.

Only the few daemons that watch the platform read its list; the others receive
changes through the relay tree of the manifests. The list lags and may be wrong: it
decides which daemons serve a database and which upstreams get new work, but no
guarantee depends on it.
"""

from gypsum_core.messages import AskInstances, InstanceChanges, WholeList

PART = "instances"


class InstanceList:
    """The list at the highest revision seen."""

    def __init__(self, *, ctx, node):
        self.ctx = ctx
        self.node = node
        self.by_id = {}
        self.revision = -1

    def all_instances(self):
        """All instances on the list."""
        return tuple(self.by_id.values())

    def apply_list(self, *, instances, revision, source):
        """Apply a whole list; return whether it changed anything.

        A list of an older revision is dropped: two watchers whose lists lag
        differently would otherwise exchange the old state forever.
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
        self.relay(base, changed, removed, source)
        return True

    def apply_changes(self, peer, message):
        """Apply changes from a peer; return whether they changed anything.

        Requests the whole list if changes in between were missed."""
        if message.revision <= self.revision:
            return False
        if message.base != self.revision:
            self.ctx.send(peer, AskInstances())
            return False
        by_id = {**self.by_id, **{item.id: item for item in message.changed}}
        for name in message.removed:
            by_id.pop(name, None)
        instances = tuple(by_id.values())
        return self.apply_list(
            instances=instances, revision=message.revision, source=peer
        )

    def relay(self, base, changed, removed, source):
        """Send the changes to the relay targets, except the one they came from."""
        message = InstanceChanges(
            base=base, revision=self.revision, changed=changed, removed=removed
        )
        for peer in self.node.relay_targets():
            if peer != source:
                self.ctx.send(peer, message)

    def send_list(self, peer):
        """Send the whole list to a peer that missed changes."""
        self.ctx.send(
            peer, WholeList(revision=self.revision, instances=self.all_instances())
        )
