"""The daemon's sessions, groups and configuration, and the tasks that tend them."""

import asyncio

from gypsum_policy.membership import missing_for
from gypsum_policy.relays import FEW_DAEMONS
from gypsum_sessions.borders import LeaseError
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
from gypsum_sessions.replies import Refusal, SessionState, UpstreamRefused
from gypsum_sessions.takeover.leaseboard import LeaseBoard
from gypsum_sessions.upstreams.group import Surroundings
from gypsum_sessions.upstreams.hosting import Hosting
from gypsum_sessions.upstreams.recorder import LOOK_EVERY, MemberRecorder
from gypsum_sessions.upstreams.roster import Roster

PART = "proxy"
# How often idle transactions and members that left the list are looked for, seconds.
TEND_EVERY = 0.25
# The leases are read anew once members have been newer for this many looks: mostly the
# watch tells something of its own within half a second.
BEHIND_LOOKS = 3
# Pause before a loop that failed is started anew, seconds.
RESTART_PAUSE = 0.5
# How often the process notes that it runs, and how long a gap says that it did not,
# seconds: other daemons take a link for silent a tenth later.
AWAKE_EVERY = 0.05
STOOD_STILL = 0.5


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
        self.daemons = DaemonRegistry(own=own, all_watch_up_to=all_watch_up_to)
        self.roster = Roster(
            clock=clock, missing_looks=round(tuning.missing_grace / TEND_EVERY)
        )
        self.recorder = MemberRecorder(records=records, log=log)
        self.board = LeaseBoard(clock=clock, rest=tuning.settled_after)
        self.around = Surroundings(
            clock=clock,
            dialer=CheckingDialer(dialer=dialer, replaced=self.member_replaced),
            tuning=tuning,
            log=log,
            domain=domain,
            drain_seconds=drain_seconds,
            started_at=clock(),
            catalog=self.catalog,
            daemons=self.daemons,
            board=self.board,
        )
        self.peers = Peers(dialer=links, daemons=self.daemons, clock=clock, log=log)
        self.relay = Relay(
            clock=clock,
            in_touch_for=tuning.in_touch_for,
            watches=self.daemons.watches,
        )
        self.following = FeedFollower(
            daemons=self.daemons, peers=self.peers, clock=clock, log=log
        )
        self.requests = RequestLog(proxy=self)
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
        self.desks = set()
        self.awake_at = clock()
        self.hosting = Hosting(proxy=self)
        self.groups = self.hosting.groups
        self.takeovers = self.hosting.takeovers
        self.sessions = {}
        self.callers = set()
        self.tasks = set()
        self.numbers = 0
        self.roster_known = False
        # How this daemon leaves, once it was told to stop.
        self.departure = None
        # Transactions that its leaving has ended.
        self.drain_ended = 0

    # Configuration and members

    @property
    def ready(self):
        """Tell whether callers can be served: routes, upstreams, leases are known.

        Not while this daemon is cut off from most of a group: others serve its callers.
        """
        if self.departure or self.catalog.version < 0:
            return False
        listed = self.roster_known and self.board.known_to >= 0
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
        self.end_withdrawn()
        self.hosting.tend()

    def end_withdrawn(self):
        """End the sessions whose key counts no more under the version in force.

        Those that wait for nothing are closed, open transactions rolled back; what runs
        is looked at again before it is sent. What goes wrong without it: a caller who
        pauses keeps its session, and its transaction, for as long as it likes.
        """
        for caller in list(self.callers):
            session = caller.session
            if session is None or session.withdrawn or session.let_in():
                continue
            self.log(
                PART,
                "key withdrawn",
                session=session.number,
                workspace=session.credential.workspace,
                version=self.catalog.version,
            )
            if caller.idle:
                caller.leave()
            elif not session.running:
                self.spawn(session.abort_open())

    def access(self, name):
        """The way to a group, or None if it is not known yet."""
        return self.hosting.access(name)

    # Daemons

    def take_daemons(self, entries):
        """Take in the whole list of daemons."""
        self.daemons.take_all(entries)
        self.usage.daemons_changed()
        self.hosting.tend()

    def take_daemon(self, entry):
        """A daemon registered, or changed its entry; groups are tended to soon."""
        self.daemons.add(entry)
        self.usage.daemons_changed()

    def drop_missing(self):
        """One look at daemons that the list lacks: drop those that stay away."""
        looks = round(missing_for(len(self.daemons.known)) / TEND_EVERY)
        for name in self.daemons.expire(looks):
            self.log(PART, "daemon not listed any more", peer=name)
            self.drop_daemon(name)

    def drop_daemon(self, name):
        """A daemon's entry was removed."""
        self.daemons.discard(name)
        self.peers.remove(name)
        self.usage.daemons_changed()

    # Members

    def take_members(self, members):
        """Take in a whole list of upstreams."""
        self.roster.replace_all(members)
        self.roster_known = True
        for name in self.groups:
            self.refresh_members(name)

    async def relist(self):
        """Read the list of upstreams now; raises LeaseError."""
        self.take_members(await self.member_list.read_all())

    def take_member(self, member):
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

    def recall(self, group, members):
        """Take in which members a group had when that was last recorded.

        What goes wrong without it: the store was away and lists a part of a group; a
        daemon that has just started finds no primary among them and promotes one,
        while the primary and another replica are about to be listed again.
        """
        self.recorder.note(group, members)
        self.roster.recall(members)
        self.refresh_members(group)

    def drop_member(self, name):
        """An upstream's entry vanished from the list, or became unusable."""
        self.log(PART, "upstream not listed any more", upstream=name)
        self.roster.gone(name)
        for name in self.groups:
            self.refresh_members(name)

    def member_replaced(self, member, detail):
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
        credential = self.catalog.admit(route, digest) if route else None
        if credential is None:
            return None
        self.numbers += 1
        session = Session(
            number=self.numbers,
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
        return min(wanted, self.departure.answer_by) if self.departure else wanted

    # Other daemons' statements

    def open_desk(self, peer):
        """Another daemon opened a link: who works on its statements."""
        desk = PeerRequestHandler(proxy=self, peer=peer)
        self.desks.add(desk)
        return desk

    def watch_pauses(self):
        """Notice when this process stood still, and drop what was asked before.

        What goes wrong without it: a daemon that thaws reads statements that were
        queued, of daemons that have long told their callers something else, and runs
        them with values that the sessions no longer have. A plain callback, for it has
        to come before the tasks that read the links.
        """
        now = self.clock()
        if now - self.awake_at > STOOD_STILL:
            self.log(PART, "stood still", seconds=round(now - self.awake_at, 2))
            for desk in list(self.desks):
                desk.frames.close()
                desk.link_lost("stood still")
        self.awake_at = now
        asyncio.get_running_loop().call_later(AWAKE_EVERY, self.watch_pauses)

    # Tasks

    def spawn(self, work):
        """Run a coroutine to its end, or until the daemon stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def keep_running(self, make_work):
        """Run what has no end, and start it anew should it fail.

        What goes wrong without it: an error that nobody thought of ends a watch,
        and the daemon serves on with what it knew then.
        """
        return self.spawn(self.restart(make_work))

    async def restart(self, make_work):
        """Run a loop again and again."""
        while True:
            try:
                await make_work()
            except Exception as exc:
                self.log(
                    PART, "loop failed", loop=make_work.__qualname__, error=repr(exc)
                )
            await asyncio.sleep(RESTART_PAUSE)

    def finished(self, task):
        """A task ended; one that failed must not pass unseen."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log(PART, "task failed", error=repr(task.exception()))

    async def tend(self):
        """End idle transactions and drop members that are gone, for ever."""
        while True:
            await asyncio.sleep(TEND_EVERY)
            for member in self.roster.expire():
                self.log(PART, "upstream gone", upstream=member.id)
                self.refresh_members(member.group)
            self.drop_missing()
            await self.end_idle_transactions()
            self.hosting.tend()
            for group in self.groups.values():
                group.trim()

    async def keep_leases_known(self):
        """Read the leases anew when members are listed that are newer, for ever.

        What goes wrong without it: entries that the store had lost are back as new
        ones, the watch of the leases has nothing to tell for seconds, and no commit can
        be confirmed meanwhile.
        """
        behind = 0
        while True:
            await asyncio.sleep(TEND_EVERY)
            newest = max(
                (member.joined for member in self.roster.members.values()), default=-1
            )
            behind = behind + 1 if 0 <= self.board.known_to < newest else 0
            if behind < BEHIND_LOOKS:
                continue
            behind = 0
            try:
                leases, revision = await self.leases.read_all()
            except LeaseError as exc:
                self.log(PART, "leases not read", error=str(exc))
                await asyncio.sleep(RESTART_PAUSE)
                continue
            for group, lease in leases.items():
                self.board.note(group, lease)
            self.board.note_known(revision)

    async def keep_records(self):
        """Keep the groups' members on record, for ever."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            if self.board.known_to < 0:
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
                await session.abort_open()

    def stop(self):
        """Cancel all tasks and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        self.usage.homes.close()
        self.peers.close()
        for group in self.groups.values():
            group.close()
