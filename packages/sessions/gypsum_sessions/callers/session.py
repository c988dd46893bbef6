"""Sessions: run statements and keep values, prepared statements and transactions."""

import asyncio
from dataclasses import dataclass, field

from gypsum_core.position import Position
from gypsum_policy.credentials import ANONYMOUS, Credential
from gypsum_policy.ratelimit import refusal_retry_ms
from gypsum_policy.usagebucket import patience
from gypsum_sessions.callers.access import OpenTransaction
from gypsum_sessions.catalog import Route
from gypsum_sessions.execution.jobs import Job
from gypsum_sessions.replies import KEY_WITHDRAWN, Refusal, Reply, SessionState
from gypsum_sessions.statements import Statement, StatementKind
from gypsum_sessions.takeover.floors import later
from gypsum_sessions.upstreams.pooled import prepared_name

PART = "request"
# Characters of a session's values, prepared shapes and their names. They are sent to
# another daemon with a statement, in one message.
STATE_LIMIT = 2 << 20
RUN_AT_UPSTREAM = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PreparedStatement:
    """A statement that a caller prepared under a name of its choice."""

    shape: str
    writes: bool


@dataclass(slots=True, kw_only=True)
class Session:
    """A caller's session: its values, prepared statements, transaction and floor.

    `digest` is that of the caller's key; `withdrawn` is set once the key is no longer
    valid. `own_floor` is the position of the session's last commit. `last_active` is
    the time at which the last statement ended, `last_request` its id.
    `abort_unreported` is set while the caller does not know yet that the proxy rolled
    its transaction back. `unfinished` has the jobs of which an attempt still ran after
    the reply, on this daemon or on an owner. `orphaned` is set once a statement was
    sent and nothing will tell whether it still runs. `job` is the job under way.
    """

    number: int
    database: str
    route: Route
    proxy: object
    digest: str = ""
    credential: Credential = ANONYMOUS
    withdrawn: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    state: SessionState = SessionState.IDLE
    tx: OpenTransaction | None = None
    own_floor: Position | None = None
    last_active: float = 0.0
    last_request: str = ""
    abort_unreported: bool = False
    running: bool = False
    unfinished: list[Job] = field(default_factory=list)
    orphaned: bool = False
    job: Job | None = None

    def abandon(self):
        """Give up the job under way: the caller has left.

        An open transaction is rolled back once the session is closed.
        """
        if self.job is not None:
            self.job.abandon()

    async def run(self, request, statement):
        """Run one statement; returns the complete reply for the caller."""
        clock = self.proxy.clock
        arrived = clock()
        self.running = True
        self.last_request = request
        job = None
        try:
            if self.state is SessionState.FAILED:
                reply = await self.run_in_failed_transaction(statement)
            elif not self.renew_credential():
                reply = await self.refuse_withdrawn()
            elif statement.kind in RUN_AT_UPSTREAM:
                job, reply = await self.run_at_upstream(request, statement, arrived)
            elif statement.kind is StatementKind.COMMIT:
                job, reply = await self.commit(request, statement, arrived)
            else:
                reply = await self.run_locally(request, statement, arrived)
        finally:
            self.running = False
            self.job = None
            self.last_active = clock()
            self.track_unfinished(job)
        self.proxy.request_log.log_answer(self, request, statement, job, reply, arrived)
        return reply

    # The caller's key

    def renew_credential(self):
        """Renew the credential under the configuration in force.

        Returns False once the caller's key is not valid any more.
        """
        if self.withdrawn:
            return False
        route = self.tx.route if self.tx else self.current_route() or self.route
        renewed = self.proxy.catalog.renew(self.credential, route, self.digest)
        self.withdrawn = renewed is None
        self.credential = renewed or self.credential
        return not self.withdrawn

    async def refuse_withdrawn(self):
        """Refuse a statement of a caller whose key was withdrawn; it has not run."""
        if self.tx is None:
            return self.refuse(Refusal.UNKNOWN_KEY, f"not run, {KEY_WITHDRAWN}")
        await self.end_transaction()
        return self.refuse(Refusal.ABORTED, f"rolled back, {KEY_WITHDRAWN}")

    async def check_cap(self, request, route, arrived):
        """Return a refusal if the workspace is over its cap, or None.

        Called once for each operation, before it waits for anything else.
        """
        workspace = self.credential.workspace
        if not workspace:
            return None
        wait = await self.proxy.usage.acquire(
            workspace,
            priority=route.priority,
            target_time=arrived + route.latency_target,
            patience=patience(route.latency_target, route.statement_timeout),
        )
        if not wait:
            return None
        return Reply(
            refusal=Refusal.BUSY,
            detail="not run, beyond the workspace's cap",
            state=self.state,
            retry_after_ms=refusal_retry_ms(wait, request),
        )

    # Statements that the proxy answers itself

    async def run_locally(self, request, statement, arrived):
        """Run BEGIN, ROLLBACK and the statements that only concern the session."""
        match statement.kind:
            case StatementKind.BEGIN:
                return await self.begin(request, statement, arrived)
            case StatementKind.ROLLBACK:
                return await self.roll_back()
            case StatementKind.SET:
                return await self.set_value(statement)
            case StatementKind.PREPARE:
                return await self.prepare(statement)
            case StatementKind.DEALLOCATE:
                return await self.deallocate(statement)
            case _:
                return self.refuse(Refusal.MALFORMED, "not a caller's statement")

    async def set_value(self, statement):
        """Run SET, once no earlier statement can run with the old value any more."""
        if self.exceeds_limit(statement.name, statement.argument, self.values):
            return self.refuse_state()
        if not await self.wait_unfinished():
            return self.refuse_change()
        self.values[statement.name] = statement.argument
        if self.tx is not None:
            self.tx.values_set = True
        return Reply(state=self.state)

    async def prepare(self, statement):
        """Run PREPARE; a name changes its shape only as SET changes a value."""
        wanted = PreparedStatement(shape=statement.shape, writes=statement.writes)
        if self.exceeds_limit(statement.name, statement.shape, self.prepared):
            return self.refuse_state()
        known = self.prepared.get(statement.name, wanted)
        if known != wanted and not await self.wait_unfinished():
            return self.refuse_change()
        self.prepared[statement.name] = wanted
        return Reply(state=self.state)

    async def deallocate(self, statement):
        """Run DEALLOC, after which the name may be prepared with another shape."""
        if statement.name not in self.prepared:
            return self.refuse(Refusal.UNKNOWN_NAME, statement.name)
        if not await self.wait_unfinished():
            return self.refuse_change()
        del self.prepared[statement.name]
        return Reply(state=self.state)

    def exceeds_limit(self, name, text, replaced):
        """Return whether a value or shape makes the session's state too large.

        `replaced` holds what is kept under its name now.
        """
        kept = [*self.values.items(), *self.prepared_shapes()]
        size = sum(len(name) + len(text) for name, text in kept)
        if name in replaced:
            old = replaced[name]
            size -= len(name) + len(getattr(old, "shape", old))
        return size + len(name) + len(text) > STATE_LIMIT

    def prepared_shapes(self):
        """The prepared names with their shapes."""
        return [(name, item.shape) for name, item in self.prepared.items()]

    def refuse_state(self):
        """Refuse a value or shape that makes the session's state too large."""
        detail = f"not run, the session's values and shapes exceed {STATE_LIMIT} bytes"
        return self.refuse(Refusal.TOO_LARGE, detail)

    # Statements that may still run after their reply

    def track_unfinished(self, job):
        """Keep track of a job after its reply, for as long as an attempt runs."""
        jobs = self.unfinished if job is None else [*self.unfinished, job]
        self.orphaned = self.orphaned or any(item.orphaned for item in jobs)
        self.unfinished = [item for item in jobs if item.running]

    async def wait_unfinished(self):
        """Wait for the end of attempts that still run after their reply.

        Returns whether no earlier statement may run any more. Otherwise a slow upstream
        could run one with the old session values after they have changed. Closing the
        connection, or the link to an owner, does not prevent that if the upstream has
        already received the statement.
        """
        if self.orphaned:
            return False
        try:
            async with asyncio.timeout(self.proxy.tuning.running_attempt_wait):
                for job in self.unfinished:
                    await job.wait_ended()
        except TimeoutError:
            pass
        self.track_unfinished(None)
        return not self.orphaned and not self.unfinished

    def refuse_change(self):
        """Refuse to change a value or a prepared name while a statement may run.

        Nothing reports the end of an orphaned statement, so only a new session helps.
        """
        if self.orphaned:
            detail = "not run, a lost statement may still run; open a new session"
            return self.refuse(Refusal.BUSY, detail)
        tuning = self.proxy.tuning
        last_end = max(job.deadline for job in self.unfinished)
        left = last_end + tuning.running_attempt_wait - self.proxy.clock()
        return Reply(
            refusal=Refusal.BUSY,
            detail="not run, an earlier statement still runs",
            state=self.state,
            retry_after_ms=max(round(left * 1000), tuning.busy_retry_after_ms),
        )

    async def begin(self, request, statement, arrived):
        """Begin a transaction under the current route."""
        if self.tx is not None:
            return self.refuse(Refusal.MALFORMED, "a transaction is open already")
        route = self.current_route()
        if route is None:
            return self.refuse(Refusal.UNKNOWN_DATABASE, self.database)
        access = self.proxy.access(route.group)
        if access is None:
            return self.refuse(Refusal.BUSY, "not run, the group is not known yet")
        over_cap = await self.check_cap(request, route, arrived)
        if over_cap is not None:
            return over_cap
        self.tx = access.begin(route=route, writes=statement.writes, arrived=arrived)
        self.state = SessionState.IN_TRANSACTION
        return Reply(state=self.state)

    async def roll_back(self):
        """Run ROLLBACK."""
        if self.tx is None:
            return self.refuse(Refusal.MALFORMED, "no transaction is open")
        await self.end_transaction()
        return Reply(state=self.state)

    async def run_in_failed_transaction(self, statement):
        """Accept only COMMIT and ROLLBACK, both of which roll back."""
        if statement.kind not in (StatementKind.ROLLBACK, StatementKind.COMMIT):
            if self.abort_unreported:
                self.abort_unreported = False
                return self.refuse(Refusal.ABORTED, "the transaction was rolled back")
            return self.refuse(Refusal.MALFORMED, "the transaction has failed")
        await self.end_transaction()
        if statement.kind is StatementKind.COMMIT:
            return self.refuse(Refusal.ABORTED, "the transaction was rolled back")
        return Reply(state=self.state)

    # Statements that upstreams run

    async def run_at_upstream(self, request, statement, arrived):
        """Run a statement at an upstream: (job, reply), job None if none was made."""
        route = self.tx.route if self.tx else self.current_route()
        if route is None:
            return None, self.refuse(Refusal.UNKNOWN_DATABASE, self.database)
        executes = statement.kind is StatementKind.EXECUTE
        if executes and statement.name not in self.prepared:
            return None, self.refuse(Refusal.UNKNOWN_NAME, statement.name)
        job = self.make_job(request, statement, arrived, route)
        return job, await self.run_job(job)

    def make_job(self, request, statement, arrived, route):
        """Return the job that runs a statement under a route."""
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
        self.job = Job(
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
        return self.job

    async def run_job(self, job):
        """Run a job, inside the open transaction if there is one."""
        if self.tx is not None:
            return await self.run_in_transaction(job)
        access = self.proxy.access(job.route.group)
        if access is None:
            return self.refuse(Refusal.BUSY, "not run, the group is not known yet")
        over_cap = await self.check_cap(job.request, job.route, job.arrived)
        if over_cap is not None:
            return over_cap
        if job.abandoned:
            return self.refuse(Refusal.BUSY, "not run, the caller has left")
        if job.statement.writes:
            reply = await access.write(job)
            if reply.ok:
                self.own_floor = later(self.own_floor, reply.position)
            self.note_withdrawn(reply)
            return self.idle_reply(reply)
        reply = await access.read(job)
        self.note_withdrawn(reply)
        return self.idle_reply(reply)

    def note_withdrawn(self, reply):
        """Note a refused key: an owner may know a newer configuration."""
        self.withdrawn = self.withdrawn or reply.refusal is Refusal.UNKNOWN_KEY

    async def run_in_transaction(self, job):
        """Run a job inside the open transaction; it fails with the job."""
        reply = await self.tx.run(job)
        if not reply.ok:
            self.state = SessionState.FAILED
            self.note_withdrawn(reply)
        return with_state(reply, self.state)

    async def commit(self, request, statement, arrived):
        """Run COMMIT; the transaction is over whatever the outcome."""
        if self.tx is None:
            return None, self.refuse(Refusal.MALFORMED, "no transaction is open")
        job = self.make_job(request, statement, arrived, self.tx.route)
        tx, self.tx = self.tx, None
        self.state = SessionState.IDLE
        reply = await tx.commit(job)
        if reply.ok and tx.wrote:
            self.own_floor = later(self.own_floor, reply.position)
        return job, self.idle_reply(reply)

    # Ending transactions

    async def end_transaction(self):
        """Roll back the open transaction, if any."""
        tx, self.tx = self.tx, None
        self.state = SessionState.IDLE
        self.abort_unreported = False
        if tx is not None:
            await tx.close()

    async def abort_transaction(self):
        """Roll back an open transaction; the next reply tells the caller."""
        if self.tx is None or self.state is SessionState.FAILED:
            return
        # Set before the first await: a statement that arrives in between would find the
        # transaction without a connection and open a new one.
        self.state = SessionState.FAILED
        self.abort_unreported = True
        await self.tx.close()

    # Helpers

    def current_route(self):
        """Return the current route, or None if it was removed."""
        return self.proxy.catalog.route(self.database)

    def refuse(self, refusal, detail):
        """Return a refusal by the proxy itself."""
        return Reply(refusal=refusal, detail=detail, state=self.state)

    def idle_reply(self, reply):
        """Return a reply with state IDLE, whatever the upstream connection's state."""
        return with_state(reply, SessionState.IDLE)


def with_state(reply, state):
    """Return a reply with the session's state instead of the connection's."""
    return Reply(
        rows=reply.rows,
        proof=reply.proof,
        refusal=reply.refusal,
        detail=reply.detail,
        state=state,
        position=reply.position,
        retry_after_ms=reply.retry_after_ms,
    )
