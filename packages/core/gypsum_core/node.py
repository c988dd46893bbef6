"""One daemon's whole decision logic: events in, actions out."""

from dataclasses import replace

from gypsum_core import timers
from gypsum_core.context import Context
from gypsum_core.drain import PART as DRAIN_PART
from gypsum_core.drain import Drain
from gypsum_core.events import (
    CallerDisconnected,
    CallerRequest,
    DrainRequested,
    InstancesReceived,
    ManifestsReceived,
    PeerLost,
    PeerMessage,
    TimerFired,
    UpstreamEvent,
)
from gypsum_core.failover import PART as FAILOVER_PART
from gypsum_core.home import Home
from gypsum_core.instances import InstanceList
from gypsum_core.manifests import PART as MANIFEST_PART
from gypsum_core.manifests import Manifests
from gypsum_core.messages import (
    Answered,
    AskInstances,
    AskPrimary,
    Digest,
    Forward,
    InstanceChanges,
    Leaving,
    Ping,
    Pong,
    PrimaryHeard,
    Redirect,
    TermNews,
    Versions,
    WholeList,
)
from gypsum_core.peers import Peers
from gypsum_core.placement import Placement
from gypsum_core.router import PART as ENTRY_PART
from gypsum_core.router import RequestRouter
from gypsum_core.spec import DEFAULT_TUNING, InstanceRole

HOME_PARTS = frozenset({timers.PART, timers.DEADLINE, timers.CATCH_UP, FAILOVER_PART})
ORDER_LENGTH = 8
RANKS = 2


class Node:
    """The decision logic of one daemon.

    `handle` is the only entry point. The shell passes it events with the time of a
    monotonic clock and carries out the returned actions in order.
    """

    def __init__(self, *, daemon, domain, incarnation, rng, tuning=DEFAULT_TUNING):
        self.ctx = Context(
            daemon=daemon, incarnation=incarnation, rng=rng, tuning=tuning
        )
        self.domain = domain
        self.daemon_by_id = {}
        self.active_daemons = ()
        self.leaving_upstreams = frozenset()
        self.placement = Placement()
        self.orders = {}
        self.homes = {}
        self.peers = Peers(ctx=self.ctx)
        self.entry = RequestRouter(ctx=self.ctx, peers=self.peers, node=self)
        self.instance_list = InstanceList(ctx=self.ctx, node=self)
        self.manifests = Manifests(ctx=self.ctx, peers=self.peers, node=self)
        self.drain = Drain(ctx=self.ctx, node=self)

    def start(self, now):
        """Start; return the first actions."""
        self.ctx.now = now
        self.manifests.start()
        return self.ctx.take_actions()

    def handle(self, event, now):
        """Process one event and return the resulting actions."""
        self.ctx.now = max(now, self.ctx.now)
        if isinstance(event, UpstreamEvent):
            self.on_upstream(event)
        elif isinstance(event, CallerRequest):
            self.entry.submit(event.request)
        elif isinstance(event, PeerMessage):
            self.on_message(event.peer, event.message)
        elif isinstance(event, TimerFired):
            self.on_timer(event.timer)
        elif isinstance(event, PeerLost):
            self.peers.on_link_lost(event.peer)
            self.entry.on_peer_lost(event.peer)
        elif isinstance(event, CallerDisconnected):
            self.entry.on_caller_gone(event.request)
        elif isinstance(event, InstancesReceived):
            self.on_instance_list(event.instances, event.revision, source="platform")
        elif isinstance(event, ManifestsReceived):
            self.on_manifests(event)
        elif isinstance(event, DrainRequested):
            self.drain.start()
        return self.ctx.take_actions()

    # Events

    def on_upstream(self, event):
        """Pass an upstream's answer to the home that requested it."""
        item = self.homes.get(event.database)
        if item is not None:
            item.responses.on_response(event)

    def on_message(self, peer, message):
        """Process a message from another daemon."""
        self.peers.record_message(peer)
        if isinstance(message, Forward):
            self.on_forward(peer, message.request)
        elif isinstance(message, Answered):
            self.entry.on_answer(message.answer)
        elif isinstance(message, Ping):
            self.ctx.send(peer, Pong(nonce=message.nonce, leaving=self.ctx.draining))
        elif isinstance(message, Pong):
            self.peers.set_leaving(peer, message.leaving)
        elif isinstance(message, Leaving):
            self.peers.set_leaving(peer)
            self.rank_homes()
        elif isinstance(message, Redirect):
            self.entry.on_redirect(message.request, message.to)
        elif isinstance(message, Digest):
            self.manifests.on_digest(peer, message)
        elif isinstance(message, Versions):
            self.manifests.on_versions(peer, message)
        elif isinstance(message, InstanceChanges):
            if self.instance_list.apply_changes(peer, message):
                self.on_instances_changed()
        elif isinstance(message, AskInstances):
            self.instance_list.send_list(peer)
        elif isinstance(message, WholeList):
            self.on_instance_list(message.instances, message.revision, source=peer)
        else:
            self.on_group_message(peer, message)

    def on_group_message(self, peer, message):
        """Process a message about a group."""
        item = self.home(message.database)
        if item is None:
            return
        if isinstance(message, AskPrimary):
            item.watch.on_peer_query(peer, message)
        elif isinstance(message, PrimaryHeard):
            item.failover.on_peer_answer(peer, message)
            item.dispatch.start_queued()
        elif isinstance(message, TermNews) and item.active:
            item.watch.probe_all()

    def on_forward(self, peer, request):
        """Another daemon forwards a request to us as the home of a database."""
        deadline = self.ctx.now + request.deadline
        request = replace(request, deadline=deadline)
        known = request.id in self.jobs_of(request)
        if self.ctx.draining and not known and not request.tx:
            self.redirect(peer, request.id, self.next_home(request.database))
            return
        self.serve(request, peer)

    def jobs_of(self, request):
        """The jobs of the request's home on this daemon, empty if there is none."""
        item = self.homes.get(request.database)
        return item.jobs if item else {}

    def on_timer(self, timer):
        """Pass a timer to the component that set it."""
        if timer.part == ENTRY_PART:
            self.entry.on_timer(timer)
        elif timer.part == MANIFEST_PART:
            self.manifests.on_timer(timer)
        elif timer.part == DRAIN_PART:
            self.drain.check()
        elif timer.part in HOME_PARTS and timer.database in self.homes:
            self.homes[timer.database].on_timer(timer)

    def on_instance_list(self, instances, revision, *, source):
        """Apply a whole instance list."""
        if self.instance_list.apply_list(
            instances=instances, revision=revision, source=source
        ):
            self.on_instances_changed()

    def on_instances_changed(self):
        """Update placement and ranks; the list lags, so no guarantee depends on it."""
        instances = self.instance_list.all_instances()
        self.daemon_by_id = {
            item.id: item for item in instances if item.role is InstanceRole.DAEMON
        }
        self.leaving_upstreams = frozenset(
            item.id
            for item in instances
            if item.role is InstanceRole.UPSTREAM and item.leaving
        )
        self.peers.remove_unlisted(self.daemon_by_id)
        active = tuple(item for item in self.daemon_by_id.values() if not item.leaving)
        if active == self.active_daemons:
            # Only upstreams changed: the order of daemons is the same.
            return
        self.active_daemons = active
        self.placement.update(active or self.daemon_by_id.values())
        self.orders.clear()
        self.manifests.update_relay_order()
        self.rank_homes()

    def on_manifests(self, event):
        """Put newer manifests in force."""
        for spec in self.manifests.apply(event):
            item = self.homes.get(spec.name)
            if item is not None:
                item.update_spec(spec)
            else:
                self.rank_home(spec.name)

    def home(self, database):
        """The home object of a database, created on first use; None if unknown.

        A daemon serves only a few of all databases; a home for each would exceed
        the memory budget of a daemon's control logic.
        """
        item = self.homes.get(database)
        spec = self.spec(database)
        if item is None and spec is not None:
            item = Home(ctx=self.ctx, spec=spec, node=self)
            self.homes[database] = item
        return item

    # Placement

    def order(self, database):
        """The daemons of a database, its home first; leaving ones are left out."""
        order = self.orders.get(database)
        if order is None:
            order = self.placement.order(database, ORDER_LENGTH)
            self.orders[database] = order
        return order

    def rank(self, database):
        """Our rank in a database's order: 0 home, 1 standby, None beyond that."""
        leaving = sum(peer.leaving for peer in self.peers.known.values())
        if not self.placement.may_be_ranked(database, self.domain, RANKS + leaving):
            return None
        order = self.placement.order(database, RANKS + leaving)
        order = [name for name in order if self.is_available(name)]
        return order.index(self.ctx.daemon) if self.ctx.daemon in order else None

    def is_available(self, name):
        """Return whether a daemon is this one or has not announced that it leaves."""
        peer = self.peers.known.get(name)
        return name == self.ctx.daemon or peer is None or not peer.leaving

    def rank_homes(self):
        """Update our rank for each database."""
        for name in self.manifests.in_force:
            self.rank_home(name)

    def rank_home(self, database):
        """Update our rank for one database; drop its home if no longer needed."""
        rank = self.rank(database)
        if rank is not None:
            self.home(database).set_rank(rank)
            return
        item = self.homes.get(database)
        if item is None:
            return
        item.set_rank(None)
        if not item.busy and not item.active:
            del self.homes[database]

    def next_home(self, database):
        """The first usable daemon of the order that is not this one."""
        for name in self.order(database):
            if name != self.ctx.daemon and self.peers.usable(name):
                return name
        return ""

    # Interface for the components

    def spec(self, database):
        """The manifest in force of a database, or None."""
        manifest = self.manifests.in_force.get(database)
        return manifest.spec if manifest else None

    def daemons(self):
        """The daemons on the instance list."""
        return self.daemon_by_id.values()

    def relay_targets(self):
        """Daemons to which this one relays manifest and instance changes."""
        return self.manifests.relay_targets()

    def send_list(self, peer, revision):
        """Send the instance list to a peer whose revision is older."""
        if revision < self.instance_list.revision:
            self.instance_list.send_list(peer)

    def should_poll_instances(self):
        """Return whether to read the platform's instance list directly.

        A daemon that is not on its own list does so until it is: no other daemon
        relays changes to it, so it would never learn its rank.
        """
        listed = self.is_daemon(self.ctx.daemon)
        return (
            not listed
            or self.instance_list.revision <= 0
            or self.manifests.is_watcher()
        )

    def is_daemon(self, name):
        """Return whether the instance list contains a daemon."""
        return name in self.daemon_by_id

    def serve(self, request, origin):
        """Process a request as the database's home."""
        item = self.home(request.database)
        if item is None:
            self.redirect(origin, request.id, self.next_home(request.database))
            return
        item.submit(request, origin)

    def deliver(self, origin, answer):
        """Send a home's answer to the daemon that the request came from."""
        if origin == self.ctx.daemon:
            self.entry.on_answer(answer)
            return
        self.ctx.send(origin, Answered(answer=answer))

    def redirect(self, origin, request, to):
        """Tell the origin of a request to send it to daemon `to`."""
        if origin == self.ctx.daemon:
            self.entry.on_redirect(request, to)
            return
        self.ctx.send(origin, Redirect(request=request, to=to))

    def monitors(self, database):
        """Other daemons that may be asked about a database's primary."""
        count = self.ctx.tuning.monitors
        others = [name for name in self.order(database) if name != self.ctx.daemon]
        return [name for name in others if self.peers.usable(name)][:count]

    def upstream_leaving(self, upstream):
        """Return whether the instance list marks an upstream as leaving."""
        return upstream in self.leaving_upstreams

    def linked_peers(self):
        """Daemons that we have exchanged messages with."""
        return list(self.peers.known)

    def hand_over_queues(self):
        """Redirect queued requests to the next homes; running ones stay."""
        for name, item in self.homes.items():
            item.hand_over(self.next_home(name))

    def end_transactions(self):
        """Roll back the transactions that did not end in time."""
        for item in self.homes.values():
            item.transaction_manager.abort_all()

    def busy(self):
        """Return whether any request is still unanswered."""
        homes_busy = any(item.busy for item in self.homes.values())
        return homes_busy or bool(self.entry.pending)

    @property
    def ready(self):
        """Whether callers can be served: manifests are known and no drain runs."""
        return self.manifests.ready and not self.ctx.draining
