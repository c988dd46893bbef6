"""One caller's session: its values, prepared statements, transaction and floor."""

import asyncio
from dataclasses import dataclass, field

from gypsum_core.records import Position
from gypsum_policy.credentials import NOBODY, Credential
from gypsum_policy.usage import come_back_ms
from gypsum_sessions.callers.access import OpenTransaction
from gypsum_sessions.catalog import Route
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.replies import KEY_WITHDRAWN, Refusal, Reply, SessionState
from gypsum_sessions.statements import Statement, StatementKind
from gypsum_sessions.takeover.floors import later
from gypsum_sessions.upstreams.pooled import prepared_name

PART = "request"
RUN_AT_UPSTREAM = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepared:
    """What a caller prepared under a name of its own."""

    shape: str
    writes: bool


@dataclass(slots=True, kw_only=True)
class Session:
    """A session; `catalog` and `groups` are the daemon's, shared by all sessions.

    `own_floor` is the position of the session's last commit. `last_active` is when
    the last statement ended, `last_request` its id. `abort_untold`: we ended the
    transaction and the caller has not heard of it. `leftovers` end when reads end that
    still run after their reply, here or at an owner. `digest` is of the key that the
    caller showed, `withdrawn` says that it counts no more.
    """

    number: int
    database: str
    route: Route
    proxy: object
    digest: str = ""
    credential: Credential = NOBODY
    withdrawn: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepared] = field(default_factory=dict)
    state: SessionState = SessionState.IDLE
    tx: OpenTransaction | None = None
    own_floor: Position | None = None
    last_active: float = 0.0
    last_request: str = ""
    abort_untold: bool = False
    running: bool = False
    leftovers: set = field(default_factory=set)

    async def run(self, request, statement):
        """Run one statement; returns the whole reply for the caller."""
        clock = self.proxy.clock
        arrived = clock()
        self.running = True
        self.last_request = request
        job = None
        try:
            if self.state is SessionState.FAILED:
                reply = await self.run_failed(statement)
            elif not self.let_in():
                reply = await self.run_withdrawn()
            elif statement.kind in RUN_AT_UPSTREAM:
                job, reply = await self.run_there(request, statement, arrived)
            elif statement.kind is StatementKind.COMMIT:
                job, reply = await self.commit(request, statement, arrived)
            else:
                reply = await self.run_here(request, statement, arrived)
        finally:
            self.running = False
            self.last_active = clock()
        self.proxy.requests.answered(self, request, statement, job, reply, arrived)
        return reply

    # The caller's key

    def let_in(self):
        """Tell whether the caller's key still counts, under the version in force."""
        if self.withdrawn:
            return False
        route = self.tx.route if self.tx else self.current_route() or self.route
        renewed = self.proxy.catalog.renew(self.credential, route, self.digest)
        self.withdrawn = renewed is None
        self.credential = renewed or self.credential
        return not self.withdrawn

    async def run_withdrawn(self):
        """Refuse a statement of a caller whose key counts no more; it has not run."""
        if self.tx is None:
            return self.refuse(Refusal.UNKNOWN_KEY, f"not run, {KEY_WITHDRAWN}")
        await self.end_transaction()
        return self.refuse(Refusal.ABORTED, f"rolled back, {KEY_WITHDRAWN}")

    async def over_cap(self, request):
        """The refusal of an operation beyond the workspace's cap; None if it may run.

        Asked once for an operation, before it waits for anything else.
        """
        workspace = self.credential.workspace
        wait = await self.proxy.usage.acquire(workspace) if workspace else 0.0
        if not wait:
            return None
        return Reply(
            refusal=Refusal.BUSY,
            detail="not run, beyond the workspace's cap",
            state=self.state,
            retry_after_ms=come_back_ms(wait, request),
        )

    # Statements that the proxy answers itself

    async def run_here(self, request, statement, arrived):
        """BEGIN, ROLLBACK and what belongs to the session alone."""
        match statement.kind:
            case StatementKind.BEGIN:
                return await self.begin(request, statement, arrived)
            case StatementKind.ROLLBACK:
                return await self.roll_back()
            case StatementKind.SET:
                if not await self.reads_ended():
                    return self.refuse(Refusal.BUSY, "not run, a read still runs")
                self.values[statement.name] = statement.argument
                if self.tx is not None:
                    self.tx.values_set = True
            case StatementKind.PREPARE:
                self.prepared[statement.name] = Prepared(
                    shape=statement.shape, writes=statement.writes
                )
            case StatementKind.DEALLOCATE:
                if self.prepared.pop(statement.name, None) is None:
                    return self.refuse(Refusal.UNKNOWN_NAME, statement.name)
            case _:
                return self.refuse(Refusal.MALFORMED, "not a caller's statement")
        return Reply(state=self.state)

    async def reads_ended(self):
        """Wait for reads of this session that still run somewhere after their reply.

        Tell whether none does any more. What goes wrong without it: a slow upstream
        runs one after the session's values have changed, with the old ones; also one
        whose connection was closed, for it had received it before.
        """
        running = {task for task in self.leftovers if not task.done()}
        if running:
            patience = self.proxy.tuning.leftover_wait
            _, running = await asyncio.wait(running, timeout=patience)
        self.leftovers = running
        return not running

    async def begin(self, request, statement, arrived):
        """Begin a transaction under the route in force now."""
        if self.tx is not None:
            return self.refuse(Refusal.MALFORMED, "a transaction is open already")
        route = self.current_route()
        if route is None:
            return self.refuse(Refusal.UNKNOWN_DATABASE, self.database)
        access = self.proxy.access(route.group)
        if access is None:
            return self.refuse(Refusal.BUSY, "not run, the group is not known yet")
        over_cap = await self.over_cap(request)
        if over_cap is not None:
            return over_cap
        self.tx = access.begin(route=route, writes=statement.writes, arrived=arrived)
        self.state = SessionState.IN_TRANSACTION
        return Reply(state=self.state)

    async def roll_back(self):
        """ROLLBACK: nothing of the transaction is kept."""
        if self.tx is None:
            return self.refuse(Refusal.MALFORMED, "no transaction is open")
        await self.end_transaction()
        return Reply(state=self.state)

    async def run_failed(self, statement):
        """In a failed transaction only its end is accepted."""
        if statement.kind not in (StatementKind.ROLLBACK, StatementKind.COMMIT):
            if self.abort_untold:
                self.abort_untold = False
                return self.refuse(Refusal.ABORTED, "the transaction was rolled back")
            return self.refuse(Refusal.MALFORMED, "the transaction has failed")
        await self.end_transaction()
        if statement.kind is StatementKind.COMMIT:
            return self.refuse(Refusal.ABORTED, "the transaction was rolled back")
        return Reply(state=self.state)

    # Statements that upstreams run

    async def run_there(self, request, statement, arrived):
        """Run a statement at an upstream: (job, reply), the job None without one."""
        route = self.tx.route if self.tx else self.current_route()
        if route is None:
            return None, self.refuse(Refusal.UNKNOWN_DATABASE, self.database)
        executes = statement.kind is StatementKind.EXECUTE
        if executes and statement.name not in self.prepared:
            return None, self.refuse(Refusal.UNKNOWN_NAME, statement.name)
        job = self.make_job(request, statement, arrived, route)
        return job, await self.run_job(job)

    def make_job(self, request, statement, arrived, route):
        """The job of a statement under a route."""
        needed = ()
        if statement.kind is StatementKind.EXECUTE:
            known = self.prepared[statement.name]
            needed = ((known.shape, known.writes),)
            statement = Statement(
                kind=statement.kind,
                name=prepared_name(known.shape, known.writes),
                argument=statement.argument,
                writes=known.writes,
            )
        return Job(
            request=request,
            statement=statement,
            route=route,
            arrived=self.tx.arrived if self.tx else arrived,
            deadline=self.proxy.deadline(arrived + route.statement_timeout),
            values=self.values,
            prepared=needed,
            own_floor=self.own_floor,
            credential=self.credential,
        )

    async def run_job(self, job):
        """Run a job in the open transaction or on its own."""
        if self.tx is not None:
            return await self.run_inside(job)
        access = self.proxy.access(job.route.group)
        if access is None:
            return self.refuse(Refusal.BUSY, "not run, the group is not known yet")
        over_cap = await self.over_cap(job.request)
        if over_cap is not None:
            return over_cap
        if job.statement.writes:
            reply = await access.write(job)
            if reply.ok:
                self.own_floor = later(self.own_floor, reply.position)
            self.note_withdrawn(reply)
            return self.outside(reply)
        reply = await access.read(job)
        still_running = self.leftovers | job.leftovers
        self.leftovers = {task for task in still_running if not task.done()}
        self.note_withdrawn(reply)
        return self.outside(reply)

    def note_withdrawn(self, reply):
        """An owner that knows a newer configuration may have refused the key."""
        self.withdrawn = self.withdrawn or reply.refusal is Refusal.UNKNOWN_KEY

    async def run_inside(self, job):
        """Run a job inside the open transaction."""
        reply = await self.tx.run(job)
        if not reply.ok:
            self.state = SessionState.FAILED
            self.note_withdrawn(reply)
        return with_state(reply, self.state)

    async def commit(self, request, statement, arrived):
        """COMMIT: kept, not kept, or in doubt; the transaction is over either way."""
        if self.tx is None:
            return None, self.refuse(Refusal.MALFORMED, "no transaction is open")
        job = self.make_job(request, statement, arrived, self.tx.route)
        tx, self.tx = self.tx, None
        self.state = SessionState.IDLE
        reply = await tx.commit(job)
        if reply.ok and tx.wrote:
            self.own_floor = later(self.own_floor, reply.position)
        return job, self.outside(reply)

    # Ends

    async def end_transaction(self):
        """Roll back what is open."""
        tx, self.tx = self.tx, None
        self.state = SessionState.IDLE
        self.abort_untold = False
        if tx is not None:
            await tx.close()

    async def abort_open(self):
        """End an open transaction from our side; the caller learns of it later."""
        if self.tx is None or self.state is SessionState.FAILED:
            return
        # Before anything is awaited: a statement that arrives meanwhile would find
        # the transaction without a connection and open it anew.
        self.state = SessionState.FAILED
        self.abort_untold = True
        await self.tx.close()

    # Small things

    def current_route(self):
        """The route in force now, or None if it was removed."""
        return self.proxy.catalog.route(self.database)

    def refuse(self, refusal, detail):
        """A refusal by the proxy itself."""
        return Reply(refusal=refusal, detail=detail, state=self.state)

    def outside(self, reply):
        """A reply outside transactions, whatever the upstream's connection is in."""
        return with_state(reply, SessionState.IDLE)


def with_state(reply, state):
    """A reply with the session's state instead of the upstream connection's."""
    return Reply(
        rows=reply.rows,
        proof=reply.proof,
        refusal=reply.refusal,
        detail=reply.detail,
        state=state,
        position=reply.position,
        retry_after_ms=reply.retry_after_ms,
    )
