"""In-memory database group with logs, terms, replication, promotion and faults.

It answers as the user documentation says upstreams do, and records what callers were
answered so that tests can check the guarantees.
"""

import asyncio
from dataclasses import dataclass, field, replace

from gypsum_core.records import Position
from gypsum_platform.codec import format_statement
from gypsum_sessions.replies import (
    Refusal,
    Reply,
    SessionState,
    UpstreamLost,
    UpstreamRefused,
    UpstreamStatus,
    UpstreamTimeout,
)
from gypsum_sessions.statements import StatementKind
from gypsum_sessions.upstreams.roster import Member
from tests.standins.wirereader import NotAllowed, read_text

NETWORK_DELAY = 0.001
PROMOTE_TIME = 0.8
# Seconds that a dead member stays listed: until three of its reports are missing.
LISTED_AFTER_DEATH = 1.5
ORIGIN = Position(term=0, index=0)
# Statements with fields of which the proxy makes a line.
REREAD = frozenset({StatementKind.SET, StatementKind.PREPARE, StatementKind.EXECUTE})
TURNED_AWAY = frozenset({Refusal.LAGGING, Refusal.BUSY})


@dataclass(slots=True, kw_only=True, eq=False)
class Entry:
    """One commit in a log."""

    position: Position
    writes: tuple[tuple[str, str], ...]
    commit: int


@dataclass(slots=True, kw_only=True, eq=False)
class FakeMember:
    """One upstream with its log and the faults injected into it.

    `unresponsive`: answers nothing. `dead`: refuses connections. `replaced`: another
    upstream runs at its address. `paused` (a term): replication is paused.
    `not_receiving`: receives no log for another reason. `lag`: seconds until received
    log is applied. `work`: seconds that a statement takes. `lose_answers`: how many of
    the next answers to statements are lost. `lingering`: number of lost connections
    that still count towards `limit`. `fail_every`: one read in so many fails, or gets
    no answer with `hangs`. `arrivals`, `turned_away`: callers' statements, and those
    of them that it refused without running them. `status_work`: seconds that a query
    for its status takes; `status_queries` counts them. `refuses_shapes`: it refuses to
    prepare any shape. `lose_resumes`: how many of the next commands to resume
    replication it leaves unanswered; it carries them out after `resume_delay` seconds,
    never if that is 0. `executed`: the (request, shape, access) of executed statements.
    """

    id: str
    group: "FakeGroup"
    log: list[Entry] = field(default_factory=list)
    applied: int = 0
    unresponsive: bool = False
    dead: bool = False
    died_at: float = 0.0
    replaced: bool = False
    paused: int = 0
    not_receiving: bool = False
    cut_from: set[str] = field(default_factory=set)
    lag: float = 0.008
    work: float = 0.02
    slots: int = 5
    busy: int = 0
    full: bool = False
    lose_answers: int = 0
    fail_every: int = 0
    hangs: bool = False
    status_work: float = 0.0
    status_queries: int = 0
    refuses_shapes: bool = False
    lose_resumes: int = 0
    resume_delay: float = 0.0
    executed: list = field(default_factory=list)
    arrivals: int = 0
    turned_away: int = 0
    conns: list = field(default_factory=list)
    runs: int = 0
    limit: int = 100
    joined: int = 0
    leaving: bool = False
    lingering: int = 0
    born: int = 1
    changed: int = 0

    def __post_init__(self):
        self.joined = self.changed = self.group.next_revision()

    @property
    def leads(self):
        """Return whether this member leads now."""
        return self.group.leader is self

    @property
    def end(self):
        """The end of the received log."""
        return self.log[-1].position if self.log else ORIGIN

    @property
    def visible(self):
        """The last applied position, which answers show."""
        applied = self.log[: self.applied]
        return applied[-1].position if applied else ORIGIN

    def holds(self, position):
        """Return whether the applied log holds a position."""
        return any(item.position == position for item in self.log[: self.applied])

    def fails(self, statement):
        """Return whether to fail a statement."""
        due = self.fail_every and self.arrivals % self.fail_every == 0
        return due and not statement.writes

    def value(self, item):
        """The applied value of an item, empty if it has none."""
        for entry in reversed(self.log[: self.applied]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return ""

    def dead_for(self):
        """Seconds since it crashed."""
        return asyncio.get_running_loop().time() - self.died_at

    def crash(self):
        """Stop: connections break, the received log is kept."""
        self.dead = True
        self.died_at = asyncio.get_running_loop().time()
        for conn in list(self.conns):
            conn.close()

    def restart(self):
        """Start again with the same log, in the role that the group assigns."""
        self.dead = False
        self.paused = 0

    def restart_empty(self):
        """Crash and start again at once under the same name with an empty log."""
        self.crash()
        self.restart()
        self.log, self.applied = [], 0
        self.born += 1
        self.changed = self.group.next_revision()
        if self.leads:
            self.group.leader = None


@dataclass(slots=True, kw_only=True, eq=False)
class FakeGroup:
    """The members of a group, its leader and the history of its commits."""

    name: str = "db"
    sync: int = 1
    members: list[FakeMember] = field(default_factory=list)
    leader: FakeMember | None = None
    term: int = 1
    commits: int = 0
    acknowledged: list[Entry] = field(default_factory=list)
    promotions: list[tuple[str, list[int]]] = field(default_factory=list)
    reads: list = field(default_factory=list)
    observer: object = None
    revision: int = 0
    unlisted: set[str] = field(default_factory=set)
    departed: list[FakeMember] = field(default_factory=list)

    def next_revision(self):
        """The store's revision after one more change."""
        self.revision += 1
        return self.revision

    def add(self, count=3):
        """Add members; the first leads if there is no leader."""
        for _ in range(count):
            member = FakeMember(id=f"u{len(self.members) + 1}", group=self)
            self.members.append(member)
            self.leader = self.leader or member
        return self

    def __getitem__(self, name):
        known = (*self.members, *self.departed)
        return next(member for member in known if member.id == name)

    def listing(self):
        """The members as the platform lists them."""
        return [
            Member(
                id=member.id if member.born == 1 else f"{member.id}@{member.born}",
                name=member.id,
                born=member.born,
                changed=member.changed,
                group=self.name,
                address=f"{member.id}:1",
                domain="a",
                slots=member.slots,
                leads=member.leads,
                joined=member.joined,
                leaving=member.leaving,
            )
            for member in self.members
            if member.id not in self.unlisted
            and (not member.dead or member.dead_for() < LISTED_AFTER_DEATH)
        ]

    def replicas(self):
        """All members but the leader."""
        return [member for member in self.members if member is not self.leader]

    async def commit(self, member, writes):
        """Commit at a leader; return the entry once another member received it."""
        self.commits += 1
        position = Position(term=self.term, index=member.end.index + 1)
        entry = Entry(position=position, writes=tuple(writes), commit=self.commits)
        member.log.append(entry)
        member.applied = len(member.log)
        asyncio.ensure_future(self.replicate(member, entry))
        while self.sync and not self.received_elsewhere(member, entry):
            await asyncio.sleep(
                10 * NETWORK_DELAY if member.unresponsive else NETWORK_DELAY
            )
            if member.dead or entry not in member.log:
                raise UpstreamLost("crashed", step="commit", peer=member.id)
        return entry

    def received_elsewhere(self, source, entry):
        """Return whether a member other than the source has an entry."""
        others = (item for item in self.members if item is not source)
        return any(entry in item.log for item in others)

    async def replicate(self, source, entry):
        """Send the source's log to all replicas until each has the entry."""
        await asyncio.sleep(NETWORK_DELAY)
        for _ in range(20000):
            if self.leader is not source or source.dead or entry not in source.log:
                return
            for replica in self.replicas():
                self.send_log(source, replica)
            if all(entry in replica.log for replica in self.replicas()):
                return
            await asyncio.sleep(0.1 if source.unresponsive else 0.01)

    def send_log(self, source, replica):
        """Copy a source's log to one replica, if it can receive."""
        closed = (
            replica.dead
            or replica.unresponsive
            or replica.paused
            or replica.not_receiving
        )
        if closed or replica.id in source.cut_from or source.unresponsive:
            return
        if replica.log == source.log:
            return
        replica.log = list(source.log)
        replica.applied = min(replica.applied, len(replica.log))
        size = len(replica.log)
        asyncio.get_running_loop().call_later(replica.lag, self.apply, replica, size)

    def apply(self, replica, size):
        """Make received log entries visible to reads."""
        if not replica.dead:
            replica.applied = max(replica.applied, min(size, len(replica.log)))

    def promote(self, name):
        """Promote a member to leader of the next term with the log it has received."""
        chosen = self[name]
        if chosen is self.leader or chosen.dead:
            return
        lost = [item.commit for item in self.acknowledged if item not in chosen.log]
        self.promotions.append((name, lost))
        self.term += 1
        self.leader = chosen
        chosen.applied = len(chosen.log)
        for member in self.members:
            member.paused = 0
            if member is chosen:
                continue
            member.log = [item for item in member.log if item in chosen.log]
            member.applied = min(member.applied, len(member.log))
            self.send_log(chosen, member)


class FakeConn:
    """A connection to a member; with `silent` it gives no more answers."""

    def __init__(self, *, member, loop, dialer=None, workspace=""):
        self.member = member
        self.workspace = workspace
        self.dialer = dialer
        self.transaction = object()
        self.loop = loop
        self.alive = True
        self.silent = False
        self.state = SessionState.IDLE
        self.writing_term = 0
        self.read_only = False
        self.pending = []
        self.values = {}
        # Shape and access of each prepared name.
        self.prepared = {}
        self.queue = asyncio.Lock()
        member.conns.append(self)

    def close(self):
        """Close the connection and roll back an open transaction."""
        if self.alive:
            self.alive = False
            self.pending = []
            self.member.conns.remove(self)

    def read_status(self, reply):
        """The status in a reply."""
        return reply.rows[0]

    async def ask(self, statement, *, timeout, request="", after=None):
        """Run a statement as an upstream would; see UpstreamConn.ask for the errors."""
        if not self.alive:
            raise UpstreamLost("closed", step="ask", peer=self.member.id, sent=False)
        work = asyncio.ensure_future(self.answer(statement, request, after))
        # Retrieve the exception of work that ends after the caller timed out.
        work.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(work)
        except TimeoutError:
            self.close()
            raise UpstreamTimeout(
                "no answer", step=str(statement.kind), peer=self.member.id
            ) from None

    async def answer(self, statement, request, after):
        """Wait for the network and for earlier statements, then run."""
        async with self.queue:
            await asyncio.sleep(NETWORK_DELAY)
            await self.wait_while_silent()
            try:
                reply = await self.run(statement, request, after)
            except UpstreamLost:
                self.close()
                raise
            if request:
                self.member.arrivals += 1
                self.member.turned_away += reply.refusal in TURNED_AWAY
            if request and self.member.lose_answers:
                self.member.lose_answers -= 1
                self.silent = True
            await self.wait_while_silent()
            if not self.alive and self.member.dead:
                raise UpstreamLost("crashed", step="ask", peer=self.member.id)
            return reply

    async def wait_while_silent(self):
        """Wait while the member is unresponsive or this connection is silent."""
        while self.member.unresponsive or self.silent:
            await asyncio.sleep(0.05)
            if not self.alive:
                raise UpstreamLost("closed", step="ask", peer=self.member.id)

    async def run(self, statement, request, after):
        """Dispatch one statement."""
        member = self.member
        if member.dead:
            raise UpstreamLost("crashed", step="ask", peer=member.id)
        try:
            statement = self.reread(statement)
        except NotAllowed:
            return self.refuse(Refusal.MALFORMED)
        kind = statement.kind
        if self.state is SessionState.FAILED and kind not in (
            StatementKind.ROLLBACK,
            StatementKind.COMMIT,
        ):
            return self.refuse(Refusal.MALFORMED)
        if after is not None and after != ORIGIN and not member.holds(after):
            return self.refuse(Refusal.LAGGING)
        match kind:
            case StatementKind.BEGIN:
                return self.begin(statement)
            case StatementKind.ROLLBACK:
                self.pending, self.state = [], SessionState.IDLE
                return self.done()
            case StatementKind.RESET:
                self.values.clear()
                self.prepared.clear()
                return self.done()
            case StatementKind.SET:
                self.values[statement.name] = statement.argument
                return self.done()
            case StatementKind.PREPARE:
                if member.refuses_shapes:
                    return self.refuse(Refusal.MALFORMED)
                self.prepared[statement.name] = (statement.shape, statement.writes)
                return self.done()
            case StatementKind.STATUS:
                member.status_queries += 1
                await asyncio.sleep(member.status_work)
                return self.status()
            case StatementKind.PAUSE_REPLICATION:
                if statement.term > member.group.term and not member.leads:
                    member.paused = statement.term
                return self.status()
            case StatementKind.RESUME_REPLICATION:
                if member.lose_resumes:
                    member.lose_resumes -= 1
                    self.silent = True
                    if member.resume_delay:
                        self.loop.call_later(
                            member.resume_delay, setattr, member, "paused", 0
                        )
                else:
                    member.paused = 0
                return self.status()
            case StatementKind.STEP_DOWN:
                if member.leads and statement.term > member.group.term:
                    member.group.leader = None
                return self.status()
        return await self.work(statement, request)

    def reread(self, statement):
        """A statement as an upstream reads it from its line; raises NotAllowed."""
        if statement.kind not in REREAD:
            return statement
        again = read_text(format_statement(statement))
        _, writes = self.prepared.get(again.name, (None, statement.writes))
        return again if again.shape else replace(again, writes=writes)

    def begin(self, statement):
        """Run BEGIN; only a leader accepts a read-write transaction."""
        if statement.writes and not self.member.leads:
            return self.refuse(Refusal.READ_ONLY)
        self.state = SessionState.IN_TRANSACTION
        self.transaction = object()
        self.read_only = not statement.writes
        self.writing_term = self.member.group.term
        return self.done()

    async def work(self, statement, request):
        """Run a statement that occupies a slot: a read, a write or a commit."""
        member = self.member
        if member.full:
            return Reply(
                refusal=Refusal.BUSY, state=self.state, position=member.visible
            )
        executes = statement.kind is StatementKind.EXECUTE
        if executes and statement.name not in self.prepared:
            return self.refuse(Refusal.UNKNOWN_NAME)
        if executes:
            member.executed.append((request, *self.prepared[statement.name]))
        while member.busy >= member.slots:
            await asyncio.sleep(0.001)
        if not self.alive:
            raise UpstreamLost("closed", step="ask", peer=member.id)
        member.busy += 1
        try:
            await asyncio.sleep(member.work)
            await self.wait_while_silent()
            if member.fails(statement):
                self.silent = member.hangs
                return self.refuse(Refusal.FAILED)
            return await self.effect(statement, request)
        finally:
            member.busy -= 1

    async def effect(self, statement, request):
        """Apply the effect of a statement and return its reply."""
        member = self.member
        if member.dead:
            raise UpstreamLost("crashed", step="ask", peer=member.id)
        open_tx = self.state is SessionState.IN_TRANSACTION
        lost_lead = not member.leads or self.writing_term != member.group.term
        needs_lead = statement.kind is not StatementKind.COMMIT or self.pending
        if open_tx and not self.read_only and lost_lead and needs_lead:
            return self.refuse(Refusal.READ_ONLY)
        member.runs += 1
        if member.group.observer is not None and request:
            member.group.observer.statement_ran(self, request)
            if statement.kind is not StatementKind.COMMIT and not statement.writes:
                member.group.observer.read_ran(member, request)
        if statement.kind is StatementKind.COMMIT:
            return await self.commit()
        item, _, data = item_and_data(statement)
        if not statement.writes:
            member.group.reads.append((request, member.id, member.applied))
            return self.done(rows=(member.value(item),), proof=f"{member.id}:{request}")
        if not member.leads:
            return self.refuse(Refusal.READ_ONLY)
        if open_tx:
            self.pending.append((item, data))
            return self.done(proof=f"{member.id}:{request}")
        entry = await member.group.commit(member, [(item, data)])
        member.group.acknowledged.append(entry)
        return self.done(proof=f"{member.id}:{request}")

    async def commit(self):
        """Commit the open transaction."""
        pending, self.pending = self.pending, []
        self.state = SessionState.IDLE
        if pending:
            entry = await self.member.group.commit(self.member, pending)
            self.member.group.acknowledged.append(entry)
        return self.done(proof=f"{self.member.id}:commit")

    def status(self):
        """The reply to STATUS and the replication commands."""
        member = self.member
        status = UpstreamStatus(
            leads=member.leads,
            term=member.group.term,
            received=member.end,
            paused_term=member.paused,
            lag_ms=member.lag * 1000,
        )
        return Reply(rows=(status,), state=self.state, position=member.visible)

    def done(self, rows=(), proof=""):
        """A successful reply."""
        position = self.member.visible
        return Reply(rows=rows, proof=proof, state=self.state, position=position)

    def refuse(self, refusal):
        """A refusal; it fails an open transaction."""
        if self.state is SessionState.IN_TRANSACTION:
            self.state = SessionState.FAILED
        return Reply(refusal=refusal, state=self.state, position=self.member.visible)


def item_and_data(statement):
    """The item and data of a read, write or EXECUTE, as returned by partition."""
    if statement.kind is StatementKind.EXECUTE:
        return statement.argument.partition(" ")
    return statement.text.partition(" ")[2].partition(" ")


class FakeDialer:
    """Dials members; `cut` holds the ids that this daemon cannot reach."""

    def __init__(self, *, group, loop):
        self.group = group
        self.loop = loop
        self.cut = set()
        self.dials = 0

    async def dial(self, member, *, timeout, workspace=""):
        """Open a connection."""
        self.dials += 1
        target_member = self.group[member.stable_name]
        if target_member.replaced:
            await asyncio.sleep(0.005)
            raise UpstreamRefused(
                "another", step="dial", peer=member.id, refusal=Refusal.WRONG_UPSTREAM
            )
        if target_member.dead:
            raise UpstreamLost("refused", step="dial", peer=member.id)
        if target_member.unresponsive or member.id in self.cut:
            await asyncio.sleep(timeout)
            raise UpstreamLost("no answer", step="dial", peer=member.id)
        await asyncio.sleep(0.012)
        taken = len(target_member.conns) + target_member.lingering
        if taken >= target_member.limit:
            raise UpstreamRefused(
                "full",
                step="dial",
                peer=member.id,
                refusal=Refusal.CONNECTION_LIMIT,
            )
        return FakeConn(
            member=target_member, loop=self.loop, dialer=self, workspace=workspace
        )
