"""One daemon in virtual time: its node, timers, links and faults."""

from collections import defaultdict
from random import Random

from gypsum_core import actions
from gypsum_core.events import (
    ManifestsSeen,
    PeerLost,
    PeerMessage,
    TimerFired,
)
from gypsum_core.messages import Changes
from gypsum_core.node import Node


class Host:
    """Feeds a node and carries out its actions over the fake network."""

    def __init__(self, *, world, name, domain, tuning, node_class=Node):
        self.world = world
        self.clock = world.clock
        self.name = name
        self.domain = domain
        self.tuning = tuning
        self.node_class = node_class
        self.incarnation = 0
        self.replies = {}
        self.boot()

    def boot(self):
        """Start a new process."""
        self.incarnation += 1
        self.alive = True
        self.frozen = False
        self.loaded = False
        self.exited = False
        self.backlog = []
        self.calls = {}
        self.generation = defaultdict(int)
        self.muted = {}
        self.logs = []
        self.node = self.node_class(
            daemon=self.name,
            domain=self.domain,
            incarnation=str(self.incarnation),
            rng=Random(f"{self.world.seed}/{self.name}/{self.incarnation}"),
            tuning=self.tuning,
        )
        self.execute(self.node.start(self.clock.now))

    def feed(self, event):
        """Give the node an event, or keep it while the process is stopped."""
        if not self.alive:
            return
        if self.frozen:
            self.backlog.append(event)
            return
        self.execute(self.node.handle(event, self.clock.now))
        self.world.after_event(self)

    def execute(self, pending):
        """Carry out actions."""
        for action in pending:
            if isinstance(action, actions.Send):
                self.world.send(self, action.peer, action.message)
            elif isinstance(action, actions.Reply):
                self.world.on_reply(self, action.answer)
            elif isinstance(action, actions.SetTimer):
                delay = action.at - self.clock.now
                self.clock.after(delay, self.timer, self.incarnation, action.timer)
            elif isinstance(action, actions.Log):
                self.logs.append((self.clock.now, action.part, action.text))
            elif isinstance(action, actions.Exit):
                self.exited = True
                self.alive = False
            else:
                self.execute_upstream(action)

    def execute_upstream(self, action):
        """Carry out what concerns upstreams."""
        if isinstance(action, actions.DropConnections):
            self.generation[action.upstream] += 1
        elif isinstance(action, actions.Abandon):
            call = self.calls.get(action.op)
            if call is not None:
                call.ignore()
        elif isinstance(action, actions.TxAbort):
            group = self.world.groups[action.database]
            group.servers[action.upstream].txs.pop(action.tx, None)
        elif isinstance(action, actions.UpstreamAction):
            self.world.groups[action.database].start(self, action)

    def timer(self, incarnation, timer):
        """A timer is due, unless the process that set it is gone."""
        if incarnation == self.incarnation:
            self.feed(TimerFired(timer=timer))

    def message(self, peer, message):
        """A message from a peer."""
        if isinstance(message, Changes):
            self.on_changes(peer, message)
            return
        self.feed(PeerMessage(peer=peer, message=message))

    def on_changes(self, peer, changes):
        """Manifests from a peer, as the shell hands them in."""
        manifests = tuple(self.world.manifest_of(entry) for entry in changes.entries)
        self.feed(
            ManifestsSeen(manifests=manifests, source=peer, complete=changes.complete)
        )

    # Faults

    def kill(self):
        """The process dies."""
        self.alive = False
        self.incarnation += 1
        for call in list(self.calls.values()):
            call.ignore()
        self.world.disconnect_callers(self.name)
        for group in self.world.groups.values():
            group.forget_transactions(self.name)
        for other in self.world.hosts.values():
            if other is not self:
                self.clock.after(0.002, other.feed, PeerLost(peer=self.name))

    def freeze(self):
        """The process stops running."""
        self.frozen = True

    def thaw(self):
        """The process goes on; what arrived meanwhile comes at once."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for event in backlog:
            self.feed(event)

    def mute(self, upstream):
        """All open connections to an upstream go silent for good."""
        self.muted[upstream] = self.generation[upstream]

    def is_muted(self, upstream):
        """Tell whether an open connection to an upstream is silent."""
        return self.muted.get(upstream) == self.generation[upstream]
