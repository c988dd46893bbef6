"""The sessions, groups and configuration of a daemon, and its background tasks."""

import asyncio
from functools import partial

from gypsum_policy.membership import missing_grace_period
from gypsum_policy.relays import ALL_WATCH_UP_TO
from gypsum_sessions.callers.requestlog import RequestLog
from gypsum_sessions.callers.session import Session
from gypsum_sessions.catalog import Catalog
from gypsum_sessions.daemons.feedfollower import FeedFollower
from gypsum_sessions.daemons.peers import Peers
from gypsum_sessions.daemons.registry import DaemonEntry, DaemonRegistry
from gypsum_sessions.daemons.relay import Relay
from gypsum_sessions.daemons.requesthandler import PeerRequestHandler
from gypsum_sessions.daemons.usage import UsageLimiter
from gypsum_sessions.daemons.warmlinks import WarmLinks
from gypsum_sessions.execution.confirm import have_copies
from gypsum_sessions.interfaces import LeaseError
from gypsum_sessions.replies import Refusal, SessionState, UpstreamRefused
from gypsum_sessions.takeover.lease_reader import LeaseReader
from gypsum_sessions.takeover.lease_view import LeaseView
from gypsum_sessions.upstreams.group import GroupContext
from gypsum_sessions.upstreams.hosting import HostedGroups
from gypsum_sessions.upstreams.membership import FEED, TAKEOVER, Membership
from gypsum_sessions.upstreams.recorder import CHECK_INTERVAL, MemberRecorder
from gypsum_sessions.upstreams.roster import Roster

PART = "proxy"
# How often idle transactions are ended and unlisted members expired, seconds.
MAINTENANCE_INTERVAL = 0.25
# The leases are read again once listed members have been newer than the known leases
# for this many checks: the watch mostly delivers something within half a second.
STALE_LEASE_CHECKS = 3
# Delay before a failed background loop is restarted, seconds.
RESTART_DELAY = 0.5
# How often the process checks that it is running, and the gap between two checks that
# counts as a pause, seconds. Other daemons consider a link dead 0.1 s after it.
PAUSE_CHECK_INTERVAL = 0.05
PAUSE_THRESHOLD = 0.5


class CheckingDialer:
    """Dials upstreams; reports when another upstream answers at a member's address."""

    def __init__(self, *, dialer, replaced):
        self.dialer = dialer
        self.replaced = replaced

    async def dial(self, member, *, timeout, workspace=""):
        """Open a connection; raises UpstreamLost or UpstreamRefused."""
        try:
            return await self.dialer.dial(member, timeout=timeout, workspace=workspace)
        except UpstreamRefused as exc:
            if exc.refusal is Refusal.WRONG_UPSTREAM:
                self.replaced(member, exc.detail)
            raise


class Proxy:
    """State and background tasks with which a daemon serves sessions."""

    def __init__(
        self,
        *,
        name,
        domain,
        drain_seconds,
        clock,
        dialer,
        leases,
        promoter,
        member_list,
        records,
        tuning,
        log,
        observe,
        links=None,
        link_address="",
        all_watch_up_to=ALL_WATCH_UP_TO,
    ):
        self.name = name
        self.clock = clock
        self.tuning = tuning
        self.log = log
        self.observe = observe
        self.leases = leases
        self.promoter = promoter
        self.member_list = member_list
        self.catalog = Catalog()
        # Seconds since the configuration was last confirmed to be the newest.
        self.catalog_age = lambda: 0.0
        own = DaemonEntry(id=name, domain=domain, link=link_address)
        self.daemons = DaemonRegistry(own=own, all_watch_up_to=all_watch_up_to)
        self.roster = Roster(
            clock=clock,
            missing_checks=round(tuning.missing_grace / MAINTENANCE_INTERVAL),
        )
        self.recorder = MemberRecorder(records=records, log=log)
        self.membership = Membership(
            roster=self.roster,
            recorder=self.recorder,
            log=log,
            refresh=self.refresh_members,
        )
        self.lease_view = LeaseView(
            clock=clock, takeover_window=tuning.takeover_max_duration
        )
        self.context = GroupContext(
            clock=clock,
            dialer=CheckingDialer(dialer=dialer, replaced=self.on_member_replaced),
            tuning=tuning,
            log=log,
            domain=domain,
            drain_seconds=drain_seconds,
            started_at=clock(),
            catalog=self.catalog,
            daemons=self.daemons,
            lease_view=self.lease_view,
            lease_reader=LeaseReader(
                leases=leases,
                lease_view=self.lease_view,
                clock=clock,
                patience=tuning.confirm_apply_wait,
                log=log,
            ),
            recorder=self.recorder,
        )
        self.peers = Peers(dialer=links, daemons=self.daemons, clock=clock, log=log)
        self.relay = Relay(
            clock=clock,
            in_touch_for=tuning.store_confirmation_time,
            watches=self.daemons.watches,
        )
        self.feed_follower = FeedFollower(
            daemons=self.daemons, peers=self.peers, clock=clock, log=log
        )
        self.request_log = RequestLog(proxy=self)
        self.usage = UsageLimiter(
            daemons=self.daemons,
            peers=self.peers,
            catalog=self.catalog,
            clock=clock,
            log=log,
        )
        self.warm_links = WarmLinks(
            catalog=self.catalog, daemons=self.daemons, peers=self.peers
        )
        self.peer_handlers = set()
        self.last_awake = clock()
        self.hosting = HostedGroups(proxy=self)
        self.groups = self.hosting.groups
        self.takeovers = self.hosting.takeovers
        self.sessions = {}
        self.callers = set()
        self.tasks = set()
        self.last_session_number = 0
        # Set and replaced when the configuration or the list of daemons is applied.
        self.lists_changed = asyncio.Event()
        # Set once this daemon was told to stop.
        self.drain_state = None
        # Number of transactions that the drain has rolled back.
        self.drain_rollbacks = 0

    # Configuration and members

    @property
    def ready(self):
        """Whether callers can be served: routes, upstreams and leases are known.

        False while draining, and while this daemon is cut off from most of a group that
        it owns: other daemons serve its callers then.
        """
        if self.drain_state or self.catalog.version < 0:
            return False
        listed = self.members_known and self.lease_view.known_revision >= 0
        return listed and not self.is_partitioned()

    def is_partitioned(self):
        """Return whether most of a group that this daemon owns is out of its reach."""
        return any(group.watch.is_partitioned() for group in self.groups.values())

    def offer_catalog(self, candidate, source):
        """Apply a configuration if it is newer than the current one."""
        if not self.catalog.offer(candidate):
            return
        self.log(
            PART,
            "configuration in force",
            version=candidate.version,
            source=source,
            routes=len(candidate.routes),
            groups=len(candidate.groups),
        )
        for name, group in self.groups.items():
            group.spec = candidate.groups.get(name, group.spec)
        self.close_withdrawn_sessions()
        self.hosting.reconcile()
        self.notify_lists_changed()

    @property
    def lists_known(self):
        """Whether it is known which daemons own which group."""
        return self.catalog.version >= 0 and self.daemons.listed

    def notify_lists_changed(self):
        """Wake the callers that wait for the lists."""
        self.lists_changed.set()
        self.lists_changed = asyncio.Event()

    def close_withdrawn_sessions(self):
        """End the sessions whose key is not valid under the current configuration.

        Idle sessions are closed and open transactions rolled back; running statements
        are checked again before they are sent. Otherwise a caller that pauses would
        keep its session and its transaction indefinitely.
        """
        for caller in list(self.callers):
            session = caller.session
            if session is None or session.withdrawn or session.renew_credential():
                continue
            self.log(
                PART,
                "key withdrawn",
                session=session.number,
                workspace=session.credential.workspace,
                version=self.catalog.version,
            )
            if caller.idle:
                caller.close_idle()
            elif not session.running:
                self.spawn(session.abort_transaction())

    def access(self, name):
        """Return the access to a group, or None if it is not known yet."""
        return self.hosting.access(name)

    # Daemons

    def update_daemons(self, entries):
        """Replace the whole list of daemons."""
        self.daemons.take_all(entries)
        self.usage.daemons_changed()
        self.hosting.reconcile()
        self.notify_lists_changed()

    def update_daemon(self, entry):
        """Add or change one daemon; the next maintenance pass updates the groups."""
        self.daemons.add(entry)
        self.usage.daemons_changed()

    def expire_daemons(self):
        """Remove daemons that have been missing from the list for the grace period."""
        looks = round(
            missing_grace_period(len(self.daemons.known)) / MAINTENANCE_INTERVAL
        )
        for name in self.daemons.expire(looks):
            self.log(PART, "daemon not listed any more", peer=name)
            self.remove_daemon(name)

    def remove_daemon(self, name):
        """Remove a daemon whose entry was deleted."""
        self.daemons.discard(name)
        self.peers.remove(name)
        self.usage.daemons_changed()

    # Members

    @property
    def members_known(self):
        """Whether a complete list of upstreams has been applied."""
        return self.membership.known

    def update_members(self, members, revision=0, source=FEED):
        """Replace the whole list of upstreams, which shows the store at a revision.

        What is new in it counts as reported after `roster.confirmed_at`.
        """
        self.membership.replace_all(members, revision=revision, source=source)
        for name in self.groups:
            self.refresh_members(name)

    async def reload_members(self):
        """Read the list of upstreams again; raises LeaseError."""
        asked_at = self.clock()
        members, revision = await self.member_list.read_all()
        self.update_members(members, revision, source=TAKEOVER)
        self.roster.confirm(asked_at)

    def update_member(self, member):
        """Add or change one upstream."""
        self.membership.update(member, source=FEED)

    def members_caught_up(self, revision):
        """Record that all entries up to a revision have been applied."""
        self.roster.caught_up(revision)

    def add_recorded_members(self, group, members):
        """Add the members that a group had when it was last recorded.

        After an outage the store may list only a part of a group. A daemon that has
        just started would find no primary among them and promote a replica, although
        the primary and another replica are about to be listed again.
        """
        self.membership.add_recorded(group, members)

    def remove_member(self, name, revision=0):
        """Remove an upstream whose entry was deleted or became unusable."""
        self.membership.remove(name, revision=revision, source=FEED)
        for name in self.groups:
            self.refresh_members(name)

    def on_member_replaced(self, member, detail):
        """Remove a member at whose address another upstream answers.

        Otherwise a takeover would wait for a replica that no longer exists until its
        entry expires from the list, seconds later.
        """
        self.membership.drop(member, detail)

    def refresh_members(self, name):
        """Update a group's members from the roster."""
        group = self.groups.get(name)
        if group is not None:
            group.update_members(self.roster.of_group(name))

    # Sessions

    def open_session(self, database, digest=""):
        """Open a session for a database name.

        `digest` is the digest of the caller's key. Returns None if no route has the
        name, or no workspace has the key.
        """
        route = self.catalog.route(database)
        credential = self.catalog.authenticate(route, digest) if route else None
        if credential is None:
            return None
        self.last_session_number += 1
        session = Session(
            number=self.last_session_number,
            database=database,
            route=route,
            proxy=self,
            digest=digest,
            credential=credential,
            last_active=self.clock(),
        )
        self.sessions[session.number] = session
        return session

    async def close_session(self, session):
        """Close a session and roll back its open transaction."""
        self.sessions.pop(session.number, None)
        await session.end_transaction()

    def deadline(self, wanted):
        """Return a statement's deadline, limited by that of a drain in progress.

        Otherwise a statement that arrives shortly before the end of the grace period
        would still be running when the process exits, and its connection would be cut.
        """
        drain_state = self.drain_state
        return min(wanted, drain_state.answer_deadline) if drain_state else wanted

    # Other daemons' statements

    def open_peer_handler(self, peer):
        """Return the handler for requests on a link that another daemon opened."""
        handler = PeerRequestHandler(proxy=self, peer=peer)
        self.peer_handlers.add(handler)
        return handler

    def detect_pauses(self):
        """Detect that this process was paused, and drop the requests from before.

        A daemon that resumes would read queued statements although their senders have
        long given their callers another answer, and run them with outdated session
        values. This is a plain callback because it has to run before the tasks that
        read the links.
        """
        now = self.clock()
        if now - self.last_awake > PAUSE_THRESHOLD:
            self.log(PART, "stood still", seconds=round(now - self.last_awake, 2))
            for handler in list(self.peer_handlers):
                handler.frames.close()
                handler.link_lost("stood still")
        self.last_awake = now
        asyncio.get_running_loop().call_later(PAUSE_CHECK_INTERVAL, self.detect_pauses)

    # Tasks

    def spawn(self, work):
        """Run a coroutine in a task that is cancelled when the daemon stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def keep_running(self, make_work):
        """Run an endless loop in a task, and restart it if it fails.

        Otherwise an unexpected error would end a watch, and the daemon would go on
        serving with outdated data.
        """
        return self.spawn(self.run_forever(make_work))

    async def run_forever(self, make_work):
        """Run a loop, restarting it whenever it ends or fails."""
        while True:
            try:
                await make_work()
            except Exception as exc:
                self.log(
                    PART, "loop failed", loop=make_work.__qualname__, error=repr(exc)
                )
            await asyncio.sleep(RESTART_DELAY)

    def on_task_done(self, task):
        """Forget a task that has ended, and log its exception if it failed."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log(PART, "task failed", error=repr(task.exception()))

    async def run_maintenance(self):
        """Periodically end idle transactions and expire missing members and daemons."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            self.membership.expire()
            self.expire_daemons()
            await self.end_idle_transactions()
            self.hosting.reconcile()
            for group in self.groups.values():
                group.adjust_connections()

    async def refresh_leases(self):
        """Keep the known leases at least as new as the listed members.

        When entries that the store had lost return with new revisions, the watch of the
        leases may deliver nothing for seconds, and without a fresh read no commit can
        be confirmed meanwhile.
        """
        behind = 0
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            newest = max(
                (member.joined for member in self.roster.members.values()), default=-1
            )
            behind = behind + 1 if 0 <= self.lease_view.known_revision < newest else 0
            if behind < STALE_LEASE_CHECKS:
                continue
            behind, asked_at = 0, self.clock()
            try:
                leases, revision = await self.leases.read_all()
            except LeaseError as exc:
                self.log(PART, "lease refresh failed", error=str(exc))
                await asyncio.sleep(RESTART_DELAY)
                continue
            for group, lease in leases.items():
                self.lease_view.record(group, lease)
            self.lease_view.record_revision(revision)
            self.lease_view.record_confirmed(asked_at)

    async def record_members(self):
        """Periodically save the groups' members to the store."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            if self.lease_view.known_revision < 0:
                continue
            for name, group in list(self.groups.items()):
                await self.recorder.check(
                    name,
                    group.members(),
                    self.takeovers[name].rank(),
                    now=self.clock(),
                    leader=group.watch.leader,
                    have_copies=partial(have_copies, group),
                )

    async def end_idle_transactions(self):
        """Roll back transactions that have been idle for longer than allowed."""
        current = self.catalog.current
        if current is None:
            return
        limit = self.clock() - current.transaction_idle
        for session in list(self.sessions.values()):
            if session.running or session.state is not SessionState.IN_TRANSACTION:
                continue
            if session.last_active < limit:
                self.log(PART, "idle transaction rolled back", session=session.number)
                await session.abort_transaction()
        for handler in list(self.peer_handlers):
            handler.expire_transactions(current.transaction_idle)

    def stop(self):
        """Cancel all tasks and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        self.usage.homes.close()
        self.peers.close()
        for group in self.groups.values():
            group.close()
