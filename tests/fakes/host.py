"""A simulated daemon: its node, timers, links and faults."""

from collections import defaultdict
from random import Random

from gypsum_core import actions
from gypsum_core.events import (
    ManifestsReceived,
    PeerLost,
    PeerMessage,
    TimerFired,
)
from gypsum_core.messages import Changes
from gypsum_core.node import Node


class Host:
    """Passes events to a node and executes its actions on the simulated network."""

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
        """Start a new process of this daemon."""
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
        """Pass an event to the node, or queue it while the process is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self.backlog.append(event)
            return
        self.execute(self.node.handle(event, self.clock.now))
        self.world.after_event(self)

    def execute(self, pending):
        """Execute a node's actions."""
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
        """Execute an action on an upstream."""
        if isinstance(action, actions.DropConnections):
            self.generation[action.upstream] += 1
        elif isinstance(action, actions.Abandon):
            call = self.calls.get(action.op)
            if call is not None:
                call.abandon()
        elif isinstance(action, actions.TxAbort):
            group = self.world.groups[action.database]
            group.servers[action.upstream].txs.pop(action.tx, None)
        elif isinstance(action, actions.UpstreamAction):
            self.world.groups[action.database].start(self, action)

    def timer(self, incarnation, timer):
        """Fire a timer, unless the process that set it has ended."""
        if incarnation == self.incarnation:
            self.feed(TimerFired(timer=timer))

    def message(self, peer, message):
        """Handle a message from a peer."""
        if isinstance(message, Changes):
            self.on_changes(peer, message)
            return
        self.feed(PeerMessage(peer=peer, message=message))

    def on_changes(self, peer, changes):
        """Pass manifests from a peer to the node, as the shell does."""
        manifests = tuple(self.world.manifest_of(entry) for entry in changes.entries)
        self.feed(
            ManifestsReceived(
                manifests=manifests, source=peer, complete=changes.complete
            )
        )

    # Faults

    def kill(self):
        """Kill the process."""
        self.alive = False
        self.incarnation += 1
        for call in list(self.calls.values()):
            call.abandon()
        self.world.disconnect_callers(self.name)
        for group in self.world.groups.values():
            group.roll_back_transactions(self.name)
        for other in self.world.hosts.values():
            if other is not self:
                self.clock.after(0.002, other.feed, PeerLost(peer=self.name))

    def freeze(self):
        """Freeze the process."""
        self.frozen = True

    def thaw(self):
        """Resume the process and handle the events that arrived meanwhile."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for event in backlog:
            self.feed(event)

    def mute(self, upstream):
        """Make all open connections to an upstream permanently silent."""
        self.muted[upstream] = self.generation[upstream]

    def is_muted(self, upstream):
        """Return whether the open connections to an upstream are silent."""
        return self.muted.get(upstream) == self.generation[upstream]
