"""The daemon's sessions, groups and configuration, and the tasks that tend them."""

import asyncio

from gypsum_policy.membership import missing_for
from gypsum_policy.relays import FEW_DAEMONS
from gypsum_sessions.callers.requestlog import RequestLog
from gypsum_sessions.callers.session import Session
from gypsum_sessions.catalog import Catalog
from gypsum_sessions.daemons.following import Following
from gypsum_sessions.daemons.ownerdesk import OwnerDesk
from gypsum_sessions.daemons.peers import Peers
from gypsum_sessions.daemons.registry import DaemonEntry, Daemons
from gypsum_sessions.daemons.relay import Relay
from gypsum_sessions.daemons.usage import Usage
from gypsum_sessions.daemons.warmlinks import WarmLinks
from gypsum_sessions.interfaces import LeaseError
from gypsum_sessions.replies import Refusal, SessionState, UpstreamRefused
from gypsum_sessions.takeover.leaseboard import LeaseBoard
from gypsum_sessions.upstreams.group import Surroundings
from gypsum_sessions.upstreams.hosting import Hosting
from gypsum_sessions.upstreams.recorder import LOOK_EVERY, MemberRecorder
from gypsum_sessions.upstreams.roster import Roster

PART = "proxy"
# How often idle transactions and members that left the list are looked for, seconds.
MAINTENANCE_INTERVAL = 0.25
# The leases are read anew once members have been newer for this many looks: mostly the
# watch tells something of its own within half a second.
STALE_LEASE_CHECKS = 3
# Pause before a loop that failed is started anew, seconds.
RESTART_DELAY = 0.5
# How often the process notes that it runs, and how long a gap says that it did not,
# seconds: other daemons take a link for silent a tenth later.
PAUSE_CHECK_INTERVAL = 0.05
PAUSE_THRESHOLD = 0.5


class CheckingDialer:
    """Dials, and tells when another upstream answers at a member's address."""

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
    """Everything that one daemon serves sessions with."""

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
        all_watch_up_to=FEW_DAEMONS,
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
        # Seconds since the configuration was known to be the newest.
        self.catalog_age = lambda: 0.0
        own = DaemonEntry(id=name, domain=domain, link=link_address)
        self.daemons = Daemons(own=own, all_watch_up_to=all_watch_up_to)
        self.roster = Roster(
            clock=clock,
            missing_looks=round(tuning.missing_grace / MAINTENANCE_INTERVAL),
        )
        self.recorder = MemberRecorder(records=records, log=log)
        self.lease_view = LeaseBoard(clock=clock, rest=tuning.takeover_max_duration)
        self.around = Surroundings(
            clock=clock,
            dialer=CheckingDialer(dialer=dialer, replaced=self.on_member_replaced),
            tuning=tuning,
            log=log,
            domain=domain,
            drain_seconds=drain_seconds,
            started_at=clock(),
            catalog=self.catalog,
            daemons=self.daemons,
            board=self.lease_view,
        )
        self.peers = Peers(dialer=links, daemons=self.daemons, clock=clock, log=log)
        self.relay = Relay(
            clock=clock,
            in_touch_for=tuning.in_touch_for,
            watches=self.daemons.watches,
        )
        self.feed_follower = Following(
            daemons=self.daemons, peers=self.peers, clock=clock, log=log
        )
        self.request_log = RequestLog(proxy=self)
        self.usage = Usage(
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
        self.hosting = Hosting(proxy=self)
        self.groups = self.hosting.groups
        self.takeovers = self.hosting.takeovers
        self.sessions = {}
        self.callers = set()
        self.tasks = set()
        self.last_session_number = 0
        self.members_known = False
        # How this daemon leaves, once it was told to stop.
        self.drain_state = None
        # Transactions that its leaving has ended.
        self.drain_rollbacks = 0

    # Configuration and members

    @property
    def ready(self):
        """Tell whether callers can be served: routes, upstreams, leases are known.

        Not while this daemon is cut off from most of a group: others serve its callers.
        """
        if self.drain_state or self.catalog.version < 0:
            return False
        listed = self.members_known and self.lease_view.known_to >= 0
        return listed and not self.cut_off()

    def cut_off(self):
        """Tell whether this daemon does not reach most of a group that it owns."""
        return any(group.watch.cut_off() for group in self.groups.values())

    def offer_catalog(self, candidate, source):
        """Bring a configuration into force if it is newer."""
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
        self.hosting.tend()

    def close_withdrawn_sessions(self):
        """End the sessions whose key counts no more under the version in force.

        Those that wait for nothing are closed, open transactions rolled back; what runs
        is looked at again before it is sent. What goes wrong without it: a caller who
        pauses keeps its session, and its transaction, for as long as it likes.
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
        """The way to a group, or None if it is not known yet."""
        return self.hosting.access(name)

    # Daemons

    def update_daemons(self, entries):
        """Take in the whole list of daemons."""
        self.daemons.take_all(entries)
        self.usage.list_changed()
        self.hosting.tend()

    def update_daemon(self, entry):
        """A daemon registered, or changed its entry; groups are tended to soon."""
        self.daemons.add(entry)
        self.usage.list_changed()

    def expire_daemons(self):
        """One look at daemons that the list lacks: drop those that stay away."""
        looks = round(missing_for(len(self.daemons.known)) / MAINTENANCE_INTERVAL)
        for name in self.daemons.expire(looks):
            self.log(PART, "daemon not listed any more", peer=name)
            self.remove_daemon(name)

    def remove_daemon(self, name):
        """A daemon's entry was removed."""
        self.daemons.discard(name)
        self.peers.forget(name)
        self.usage.list_changed()

    # Members

    def update_members(self, members):
        """Take in a whole list of upstreams."""
        self.roster.replace_all(members)
        self.members_known = True
        for name in self.groups:
            self.refresh_members(name)

    async def reload_members(self):
        """Read the list of upstreams now; raises LeaseError."""
        self.update_members(await self.member_list.read_all())

    def update_member(self, member):
        """Take in one changed upstream."""
        kept = self.roster.seen(member)
        if kept is None:
            self.log(PART, "entry of an earlier start ignored", upstream=member.id)
            return
        self.log(
            PART,
            "upstream listed",
            upstream=kept.id,
            group=kept.group,
            address=kept.address,
            leads=kept.leads,
            leaving=kept.leaving,
        )
        self.refresh_members(kept.group)

    def add_recorded_members(self, group, members):
        """Take in which members a group had when that was last recorded.

        What goes wrong without it: the store was away and lists a part of a group; a
        daemon that has just started finds no primary among them and promotes one,
        while the primary and another replica are about to be listed again.
        """
        self.recorder.note(group, members)
        self.roster.recall(members)
        self.refresh_members(group)

    def remove_member(self, name):
        """An upstream's entry vanished from the list, or became unusable."""
        self.log(PART, "upstream not listed any more", upstream=name)
        self.roster.gone(name)
        for name in self.groups:
            self.refresh_members(name)

    def on_member_replaced(self, member, detail):
        """Another upstream is at a member's address: the member is gone for good.

        What goes wrong without it: a takeover waits for a replica that no longer
        exists until the list forgets it, seconds later.
        """
        if self.roster.members.pop(member.id, None) is not None:
            self.log(PART, "upstream replaced", upstream=member.id, by=detail)
            self.refresh_members(member.group)

    def refresh_members(self, name):
        """Hand a group its members as the roster has them."""
        group = self.groups.get(name)
        if group is not None:
            group.take_members(self.roster.of_group(name))

    # Sessions

    def open_session(self, database, digest=""):
        """A session for a database name; None if no route has it, or the key no one.

        `digest` stands for the key that the caller shows.
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
        """The caller is gone: roll back what is open."""
        self.sessions.pop(session.number, None)
        await session.end_transaction()

    def deadline(self, wanted):
        """The time by which a statement is answered: the wanted one, or our end.

        What goes wrong without it: a statement that came before the end of a daemon's
        grace still runs when the process ends, and its connection is cut.
        """
        drain_state = self.drain_state
        return min(wanted, drain_state.answer_deadline) if drain_state else wanted

    # Other daemons' statements

    def open_peer_handler(self, peer):
        """Another daemon opened a link: who works on its statements."""
        desk = OwnerDesk(proxy=self, peer=peer)
        self.peer_handlers.add(desk)
        return desk

    def detect_pauses(self):
        """Notice when this process stood still, and drop what was asked before.

        What goes wrong without it: a daemon that thaws reads statements that were
        queued, of daemons that have long told their callers something else, and runs
        them with values that the sessions no longer have. A plain callback, for it has
        to come before the tasks that read the links.
        """
        now = self.clock()
        if now - self.last_awake > PAUSE_THRESHOLD:
            self.log(PART, "stood still", seconds=round(now - self.last_awake, 2))
            for desk in list(self.peer_handlers):
                desk.frames.close()
                desk.lost("stood still")
        self.last_awake = now
        asyncio.get_running_loop().call_later(PAUSE_CHECK_INTERVAL, self.detect_pauses)

    # Tasks

    def spawn(self, work):
        """Run a coroutine to its end, or until the daemon stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def keep_running(self, make_work):
        """Run what has no end, and start it anew should it fail.

        What goes wrong without it: an error that nobody thought of ends a watch,
        and the daemon serves on with what it knew then.
        """
        return self.spawn(self.run_forever(make_work))

    async def run_forever(self, make_work):
        """Run a loop again and again."""
        while True:
            try:
                await make_work()
            except Exception as exc:
                self.log(
                    PART, "loop failed", loop=make_work.__qualname__, error=repr(exc)
                )
            await asyncio.sleep(RESTART_DELAY)

    def on_task_done(self, task):
        """A task ended; one that failed must not pass unseen."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log(PART, "task failed", error=repr(task.exception()))

    async def run_maintenance(self):
        """End idle transactions and drop members that are gone, for ever."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            for member in self.roster.expire():
                self.log(PART, "upstream gone", upstream=member.id)
                self.refresh_members(member.group)
            self.expire_daemons()
            await self.end_idle_transactions()
            self.hosting.tend()
            for group in self.groups.values():
                group.trim()

    async def refresh_leases(self):
        """Read the leases anew when members are listed that are newer, for ever.

        What goes wrong without it: entries that the store had lost are back as new
        ones, the watch of the leases has nothing to tell for seconds, and no commit can
        be confirmed meanwhile.
        """
        behind = 0
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL)
            newest = max(
                (member.joined for member in self.roster.members.values()), default=-1
            )
            behind = behind + 1 if 0 <= self.lease_view.known_to < newest else 0
            if behind < STALE_LEASE_CHECKS:
                continue
            behind = 0
            try:
                leases, revision = await self.leases.read_all()
            except LeaseError as exc:
                self.log(PART, "leases not read", error=str(exc))
                await asyncio.sleep(RESTART_DELAY)
                continue
            for group, lease in leases.items():
                self.lease_view.note(group, lease)
            self.lease_view.note_known(revision)

    async def record_members(self):
        """Keep the groups' members on record, for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            if self.lease_view.known_to < 0:
                continue
            for name, group in list(self.groups.items()):
                place = self.takeovers[name].place()
                await self.recorder.look(name, group.members(), place)

    async def end_idle_transactions(self):
        """Roll back transactions whose callers have been silent for too long."""
        current = self.catalog.current
        if current is None:
            return
        limit = self.clock() - current.transaction_idle
        for session in list(self.sessions.values()):
            if session.running or session.state is not SessionState.IN_TRANSACTION:
                continue
            if session.last_active < limit:
                self.log(PART, "idle transaction ended", session=session.number)
                await session.abort_transaction()

    def stop(self):
        """Cancel all tasks and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        self.usage.homes.close()
        self.peers.close()
        for group in self.groups.values():
            group.close()
