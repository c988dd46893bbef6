"""One daemon's whole decision logic: events in, actions out."""

from dataclasses import replace

from gypsum_core import timers
from gypsum_core.context import Context
from gypsum_core.drain import PART as DRAIN_PART
from gypsum_core.drain import Drain
from gypsum_core.events import (
    CallerGone,
    CallerRequest,
    DrainAsked,
    InstancesListed,
    ManifestsSeen,
    PeerLost,
    PeerMessage,
    TimerFired,
    UpstreamEvent,
)
from gypsum_core.failover import PART as FAILOVER_PART
from gypsum_core.home import Home
from gypsum_core.instances import Instances
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

    `handle` is the only way in. The shell feeds it events with the time of a
    monotonic clock and carries out the actions it returns, in order.
    """

    def __init__(self, *, daemon, domain, incarnation, rng, tuning=DEFAULT_TUNING):
        self.ctx = Context(
            daemon=daemon, incarnation=incarnation, rng=rng, tuning=tuning
        )
        self.domain = domain
        self.daemon_by_id = {}
        self.staying = ()
        self.leaving_upstreams = frozenset()
        self.placement = Placement()
        self.orders = {}
        self.homes = {}
        self.peers = Peers(ctx=self.ctx)
        self.entry = RequestRouter(ctx=self.ctx, peers=self.peers, node=self)
        self.list = Instances(ctx=self.ctx, office=self)
        self.manifests = Manifests(ctx=self.ctx, peers=self.peers, office=self)
        self.drain = Drain(ctx=self.ctx, office=self)

    def start(self, now):
        """Begin; returns the first actions."""
        self.ctx.now = now
        self.manifests.start()
        return self.ctx.take()

    def handle(self, event, now):
        """Take in one event and return the actions it calls for."""
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
            self.peers.lost(event.peer)
            self.entry.on_peer_lost(event.peer)
        elif isinstance(event, CallerGone):
            self.entry.on_caller_gone(event.request)
        elif isinstance(event, InstancesListed):
            self.on_list(event.instances, event.revision, source="platform")
        elif isinstance(event, ManifestsSeen):
            self.on_manifests(event)
        elif isinstance(event, DrainAsked):
            self.drain.start()
        return self.ctx.take()

    # Events

    def on_upstream(self, event):
        """Give an upstream's answer to the home that asked."""
        item = self.homes.get(event.database)
        if item is not None:
            item.responses.on_response(event)

    def on_message(self, peer, message):
        """Take in a message from another daemon."""
        self.peers.heard(peer)
        if isinstance(message, Forward):
            self.on_forward(peer, message.request)
        elif isinstance(message, Answered):
            self.entry.on_answer(message.answer)
        elif isinstance(message, Ping):
            self.ctx.send(peer, Pong(nonce=message.nonce, leaving=self.ctx.draining))
        elif isinstance(message, Pong):
            self.peers.left(peer, message.leaving)
        elif isinstance(message, Leaving):
            self.peers.left(peer)
            self.rank_homes()
        elif isinstance(message, Redirect):
            self.entry.on_redirect(message.request, message.to)
        elif isinstance(message, Digest):
            self.manifests.on_digest(peer, message)
        elif isinstance(message, Versions):
            self.manifests.on_versions(peer, message)
        elif isinstance(message, InstanceChanges):
            if self.list.changes(peer, message):
                self.list_changed()
        elif isinstance(message, AskInstances):
            self.list.asked(peer)
        elif isinstance(message, WholeList):
            self.on_list(message.instances, message.revision, source=peer)
        else:
            self.on_group_message(peer, message)

    def on_group_message(self, peer, message):
        """Take in what a peer says or asks about a group."""
        item = self.home(message.database)
        if item is None:
            return
        if isinstance(message, AskPrimary):
            item.watch.asked(peer, message)
        elif isinstance(message, PrimaryHeard):
            item.failover.peer_said(peer, message)
            item.dispatch.start_queued()
        elif isinstance(message, TermNews) and item.active:
            item.watch.poll_once()

    def on_forward(self, peer, request):
        """Another daemon takes us for the home of a database."""
        deadline = self.ctx.now + request.deadline
        request = replace(request, deadline=deadline)
        known = request.id in self.home_jobs(request)
        if self.ctx.draining and not known and not request.tx:
            self.redirect(peer, request.id, self.next_home(request.database))
            return
        self.serve(request, peer)

    def home_jobs(self, request):
        """The jobs of a request's home, if we have one."""
        item = self.homes.get(request.database)
        return item.jobs if item else {}

    def on_timer(self, timer):
        """Give a timer to the part that set it."""
        if timer.part == ENTRY_PART:
            self.entry.on_timer(timer)
        elif timer.part == MANIFEST_PART:
            self.manifests.on_timer(timer)
        elif timer.part == DRAIN_PART:
            self.drain.check()
        elif timer.part in HOME_PARTS and timer.database in self.homes:
            self.homes[timer.database].on_timer(timer)

    def on_list(self, instances, revision, *, source):
        """Take in a whole instance list."""
        if self.list.listed(instances=instances, revision=revision, source=source):
            self.list_changed()

    def list_changed(self):
        """Take our new place; the list lags, so it is only advice."""
        instances = self.list.all()
        self.daemon_by_id = {
            item.id: item for item in instances if item.role is InstanceRole.DAEMON
        }
        self.leaving_upstreams = frozenset(
            item.id
            for item in instances
            if item.role is InstanceRole.UPSTREAM and item.leaving
        )
        self.peers.forget(self.daemon_by_id)
        staying = tuple(item for item in self.daemon_by_id.values() if not item.leaving)
        if staying == self.staying:
            # Only upstreams came or went: nobody's place has changed.
            return
        self.staying = staying
        self.placement.update(staying or self.daemon_by_id.values())
        self.orders.clear()
        self.manifests.list_changed()
        self.rank_homes()

    def on_manifests(self, event):
        """Put newer manifests in force."""
        for spec in self.manifests.seen(event):
            item = self.homes.get(spec.name)
            if item is not None:
                item.update_spec(spec)
            else:
                self.rank_home(spec.name)

    def home(self, database):
        """Our part in serving a database, made when first needed; None if unknown.

        A daemon serves a few of all databases: keeping a home for each would cost
        more memory than the control of a daemon may.
        """
        item = self.homes.get(database)
        spec = self.spec(database)
        if item is None and spec is not None:
            item = Home(ctx=self.ctx, spec=spec, node=self)
            self.homes[database] = item
        return item

    # Placement

    def order(self, database):
        """The daemons of a database, first its home; leaving ones have no place."""
        order = self.orders.get(database)
        if order is None:
            order = self.placement.order(database, ORDER_LENGTH)
            self.orders[database] = order
        return order

    def rank(self, database):
        """Our place in a database's order: 0 home, 1 standby, None further down."""
        leaving = sum(peer.leaving for peer in self.peers.known.values())
        if not self.placement.may_rank(database, self.domain, RANKS + leaving):
            return None
        order = self.placement.order(database, RANKS + leaving)
        order = [name for name in order if self.is_here(name)]
        return order.index(self.ctx.daemon) if self.ctx.daemon in order else None

    def is_here(self, name):
        """Tell whether a daemon is this one or has not said that it leaves."""
        peer = self.peers.known.get(name)
        return name == self.ctx.daemon or peer is None or not peer.leaving

    def rank_homes(self):
        """Take our new place in each database's order."""
        for name in self.manifests.in_force:
            self.rank_home(name)

    def rank_home(self, database):
        """Take our place in one database's order; drop what we need no longer."""
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

    # What the parts ask of the daemon

    def spec(self, database):
        """The manifest in force of a database, or None."""
        manifest = self.manifests.in_force.get(database)
        return manifest.spec if manifest else None

    def daemons(self):
        """The daemons on the instance list."""
        return self.daemon_by_id.values()

    def relay_targets(self):
        """Who gets news of manifests and instances from us."""
        return self.manifests.targets()

    def send_list(self, peer, revision):
        """Send the instance list to a peer whose revision is older."""
        if revision < self.list.revision:
            self.list.asked(peer)

    def reads_list(self):
        """Tell whether we read the platform's instance list ourselves.

        A daemon that is not on its list does so until it is: nobody passes changes
        on to it, and it would wait for its place for ever.
        """
        listed = self.is_daemon(self.ctx.daemon)
        return not listed or self.list.revision <= 0 or self.manifests.watches()

    def is_daemon(self, name):
        """Tell whether the instance list names a daemon."""
        return name in self.daemon_by_id

    def serve(self, request, origin):
        """Work on a request as the database's home."""
        item = self.home(request.database)
        if item is None:
            self.redirect(origin, request.id, self.next_home(request.database))
            return
        item.submit(request, origin)

    def deliver(self, origin, answer):
        """Bring a home's answer to the daemon that the request came from."""
        if origin == self.ctx.daemon:
            self.entry.on_answer(answer)
            return
        self.ctx.send(origin, Answered(answer=answer))

    def redirect(self, origin, request, to):
        """Send a request's daemon elsewhere."""
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
        """Tell whether the instance list marks an upstream as leaving."""
        return upstream in self.leaving_upstreams

    def linked_peers(self):
        """Daemons that we have exchanged messages with."""
        return list(self.peers.known)

    def hand_over_queues(self):
        """Send queued requests to the next homes; running ones stay."""
        for name, item in self.homes.items():
            item.hand_over(self.next_home(name))

    def end_transactions(self):
        """Roll back the transactions that did not end in time."""
        for item in self.homes.values():
            item.transaction_manager.abort_all()

    def busy(self):
        """Tell whether anything is still to be answered."""
        homes_busy = any(item.busy for item in self.homes.values())
        return homes_busy or bool(self.entry.pending)

    @property
    def ready(self):
        """Tell whether callers may be taken: manifests are known, no drain."""
        return self.manifests.ready and not self.ctx.draining
