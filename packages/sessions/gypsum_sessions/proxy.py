"""The daemon's sessions, groups and configuration, and the tasks that tend them."""

import asyncio

from gypsum_sessions.borders import LeaseError
from gypsum_sessions.catalog import Catalog
from gypsum_sessions.group import Daemons, Group, Surroundings
from gypsum_sessions.jobs import ServedBy
from gypsum_sessions.leaseboard import LeaseBoard
from gypsum_sessions.recorder import LOOK_EVERY, MemberRecorder
from gypsum_sessions.replies import Refusal, SessionState, UpstreamRefused
from gypsum_sessions.roster import Roster
from gypsum_sessions.session import Session
from gypsum_sessions.takeover import Takeover

PART = "proxy"
# How often idle transactions and members that left the list are looked for, seconds.
TEND_EVERY = 0.25
# The leases are read anew once members have been newer for this many looks: mostly the
# watch tells something of its own within half a second.
BEHIND_LOOKS = 3
# Pause before a loop that failed is started anew, seconds.
RESTART_PAUSE = 0.5


class CheckingDialer:
    """Dials, and tells when another upstream answers at a member's address."""

    def __init__(self, *, dialer, replaced):
        self.dialer = dialer
        self.replaced = replaced

    async def dial(self, member, *, timeout):
        """Open a connection; raises UpstreamLost or UpstreamRefused."""
        try:
            return await self.dialer.dial(member, timeout=timeout)
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
        self.daemons = Daemons(names=[name])
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
            daemons=self.daemons,
            board=self.board,
        )
        self.groups = {}
        self.takeovers = {}
        self.sessions = {}
        self.callers = set()
        self.tasks = set()
        self.numbers = 0
        self.roster_known = False
        self.draining = False

    # Configuration and members

    @property
    def ready(self):
        """Tell whether callers can be served: routes, upstreams, leases are known."""
        listed = self.roster_known and self.board.known_to >= 0
        return self.catalog.version >= 0 and listed and not self.draining

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
        for spec in candidate.groups.values():
            self.configure_group(spec)

    def configure_group(self, spec):
        """Start to work with a group, or take in its new settings."""
        group = self.groups.get(spec.name)
        if group is not None:
            group.spec = spec
            return
        group = Group(spec=spec, around=self.around)
        self.groups[spec.name] = group
        self.takeovers[spec.name] = Takeover(
            group=group,
            daemon=self.name,
            leases=self.leases,
            board=self.board,
            promoter=self.promoter,
            relist=self.relist,
            recorder=self.recorder,
        )
        self.refresh_members(spec.name)
        self.keep_running(group.watch.run)
        self.keep_running(self.takeovers[spec.name].run)

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

    def open_session(self, database):
        """A session for a database name, or None if no route has it."""
        route = self.catalog.route(database)
        if route is None:
            return None
        self.numbers += 1
        session = Session(
            number=self.numbers,
            database=database,
            route=route,
            proxy=self,
            last_active=self.clock(),
        )
        self.sessions[session.number] = session
        return session

    async def close_session(self, session):
        """The caller is gone: roll back what is open."""
        self.sessions.pop(session.number, None)
        await session.end_transaction()

    def answered(self, session, request, statement, job, reply, arrived):
        """Log and measure one answered statement; `job` is None if it ran here."""
        seconds = self.clock() - arrived
        route = job.route if job is not None else session.route
        served_by = self.role_of(route.group, job)
        ran = job.statement if job is not None else statement
        self.observe(route, ran, reply, seconds, served_by)
        if job is None and reply.ok:
            return
        self.log(
            "request",
            "answered" if reply.ok else "refused",
            request=request,
            session=session.number,
            database=session.database,
            group=route.group,
            rule=str(route.rule),
            by=str(served_by or ""),
            version=self.catalog.version,
            statement=str(statement.kind),
            ms=round(seconds * 1000, 1),
            **job_fields(job),
            **refusal_fields(reply),
        )

    def role_of(self, name, job):
        """Whether the leader or a replica answered a job; None if neither did."""
        group = self.groups.get(name)
        if group is None or job is None or not job.served_by:
            return None
        leads = job.served_by == group.watch.leader
        return ServedBy.LEADER if leads else ServedBy.REPLICA

    # Tasks

    def spawn(self, work):
        """Run a coroutine to its end, or until the daemon stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)

    def keep_running(self, make_work):
        """Run what has no end, and start it anew should it fail.

        What goes wrong without it: an error that nobody thought of ends a watch,
        and the daemon serves on with what it knew then.
        """
        self.spawn(self.restart(make_work))

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
            await self.end_idle_transactions()
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
            for name, group in self.groups.items():
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
        for group in self.groups.values():
            group.close()


def job_fields(job):
    """What decided where a statement ran."""
    if job is None:
        return {}
    fields = {"upstreams": job.tried, "served_by": job.served_by}
    if job.floor is not None:
        fields["floor"] = str(job.floor)
        fields["floor_age_ms"] = round(job.floor_age * 1000)
    return fields


def refusal_fields(reply):
    """Why a statement has no result."""
    if reply.ok:
        return {}
    return {
        "refusal": str(reply.refusal),
        "detail": reply.detail,
        "retry_after_ms": reply.retry_after_ms,
    }
