"""Carries out the decision logic's upstream actions and reports what came of it."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import asyncmy

from gypsum_core import actions
from gypsum_core.events import (
    Failed,
    Settled,
    StatementCompleted,
    StatusReceived,
    UpstreamEvent,
)
from gypsum_core.records import Reason, Result
from gypsum_upstream import dialect, ledger
from gypsum_upstream.dialect import ErrorClass, classify, describe
from gypsum_upstream.ledger import ClaimLost, Progress, Refused
from gypsum_upstream.pool import Pool, Pooled
from gypsum_upstream.sql import ask_status, run

CONNECT_TIMEOUT = 1.0
FIRST_LIMIT = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Login:
    """Who we are at upstreams."""

    user: str
    password: str


@dataclass(slots=True, kw_only=True)
class OpenTransaction:
    """A transaction's connection, out of the pool until it ends."""

    pool: Pool
    pooled: Pooled


class Executor:
    """Runs upstream actions as tasks; each ends in one event, or none if abandoned."""

    def __init__(self, *, login, address_of, report: Callable, max_rows):
        self.login = login
        self.address_of = address_of
        self.report = report
        self.max_rows = max_rows
        self.pools = {}
        self.controls = {}
        self.transactions = {}
        self.tasks = {}
        self.background = set()
        self.handlers = {
            actions.Probe: self.probe,
            actions.Fence: self.fence,
            actions.Promote: self.promote,
            actions.Follow: self.follow,
            actions.Claim: self.claim,
            actions.Read: self.read,
            actions.Write: self.write,
            actions.Settle: self.settle,
            actions.TxBegin: self.tx_begin,
            actions.TxRun: self.tx_run,
            actions.TxCommit: self.tx_commit,
        }

    # Entry points

    def start(self, action):
        """Carry out one action."""
        if isinstance(action, actions.TxAbort):
            self.tx_abort(action.tx)
        elif isinstance(action, actions.Abandon):
            self.abandon(action.op)
        else:
            progress = Progress()
            task = asyncio.ensure_future(self.carry_out(action, progress))
            self.tasks[action.op] = task
            task.add_done_callback(lambda _: self.tasks.pop(action.op, None))

    def warm(self, action):
        """Set the bounds of one pool."""
        pool = self.pool(action.database, action.upstream)
        pool.resize(limit=action.limit, target=action.connections)

    def drop_connections(self, action):
        """Forget connections that have gone silent."""
        self.pool(action.database, action.upstream).drop_idle()
        self.drop_control(action.database, action.upstream)

    def abandon(self, op):
        """Stop an operation; nobody waits for its answer any more."""
        task = self.tasks.pop(op, None)
        if task is not None:
            task.cancel()

    async def close(self):
        """Close all connections."""
        for task in list(self.tasks.values()):
            task.cancel()
        for name in list(self.transactions):
            self.tx_abort(name)
        for pool in self.pools.values():
            pool.close()
        for conn in self.controls.values():
            conn.close()
        await asyncio.sleep(0)

    # One action

    async def carry_out(self, action, progress):
        """Run one action within its time and report its one event."""
        try:
            handler = self.handlers[type(action)]
            event = await asyncio.wait_for(handler(action, progress), action.timeout)
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            event = self.failure(action, exc, progress)
        self.report(event)

    def failure(self, action, exc, progress) -> UpstreamEvent:
        """Say truthfully what an error means for the action."""
        silent = isinstance(exc, TimeoutError)
        claim_lost = isinstance(exc, ClaimLost)
        kind = classify(exc)
        reason = None
        if isinstance(exc, Refused):
            reason = exc.reason
        elif kind is ErrorClass.STATEMENT:
            reason = Reason.SQL_ERROR
        unclear = progress.commit_sent and kind is ErrorClass.LOST and not claim_lost
        return Failed(
            op=action.op,
            database=action.database,
            sent=unclear,
            detail="no answer in time" if silent else describe(exc),
            reason=reason,
            stale=kind is ErrorClass.STALE,
            claim_lost=claim_lost,
            silent=silent,
        )

    # Group verbs, on a connection of their own

    async def probe(self, action, progress):
        """Ask for the status."""
        if action.fresh:
            return await self.fresh_probe(action)
        return await self.verb(action, dialect.STATUS_SQL, ())

    async def fresh_probe(self, action):
        """Ask on a new connection; it replaces the old one if it answers."""
        conn = await self.connect(action.database, action.upstream)
        try:
            status = await ask_status(conn)
        except BaseException:
            conn.close()
            raise
        self.drop_control(action.database, action.upstream)
        self.controls[(action.database, action.upstream)] = conn
        return status_known(action, status)

    async def fence(self, action, progress):
        """Make the upstream promise a term."""
        return await self.verb(action, dialect.FENCE_SQL, (action.term,))

    async def promote(self, action, progress):
        """Make the upstream primary."""
        return await self.verb(action, dialect.PROMOTE_SQL, (action.term,))

    async def follow(self, action, progress):
        """Make the upstream follow a primary."""
        params = (action.term, action.primary)
        return await self.verb(action, dialect.FOLLOW_SQL, params)

    async def claim(self, action, progress):
        """Write our name into the claim row."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            await run(pooled.conn, dialect.CLAIM_SQL, (action.holder,))
            status = await ask_status(pooled.conn)
        except BaseException:
            pool.shut(pooled)
            raise
        pool.release(pooled)
        return status_known(action, status)

    async def verb(self, action, sql, params):
        """Run a group verb on the control connection, opened when needed.

        A verb has the connection for itself; one that finds it in use opens
        another for once, so that a hanging probe does not hold up a fence.
        """
        key = (action.database, action.upstream)
        conn = self.controls.pop(key, None)
        if conn is None:
            conn = await self.connect(action.database, action.upstream)
        try:
            status = await ask_status(conn, sql, params)
        except BaseException:
            conn.close()
            raise
        if key in self.controls:
            conn.close()
        else:
            self.controls[key] = conn
        return status_known(action, status)

    def drop_control(self, database, upstream):
        """Close the connection that group verbs run on."""
        conn = self.controls.pop((database, upstream), None)
        if conn is not None:
            conn.close()

    # Statements

    async def read(self, action, progress):
        """Run a read in a session that cannot write."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire(read_only=True)
        try:
            await set_session(pooled, read_only=True)
            result = await self.run_statement(pooled.conn, action.statement)
        except BaseException:
            pool.shut(pooled)
            raise
        pool.release(pooled)
        return StatementCompleted(op=action.op, database=action.database, result=result)

    async def run_statement(self, conn, statement):
        """Run a caller's statement; an answer past the bound is no answer."""
        result = await run(conn, statement.sql, statement.params)
        if len(result.rows) > self.max_rows:
            raise Refused(
                Reason.ANSWER_TOO_LARGE, f"the answer has over {self.max_rows} rows"
            )
        return result

    async def write(self, action, progress):
        """Run a write with its ledger row."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            result, position = await ledger.write(
                pooled.conn, action.statement, action.row, action.holder, progress
            )
        except (ClaimLost, Refused):
            await self.roll_back(pool, pooled)
            raise
        except BaseException as exc:
            await self.after_error(pool, pooled, exc, action)
            raise
        pool.release(pooled)
        return StatementCompleted(
            op=action.op, database=action.database, result=result, position=position
        )

    async def settle(self, action, progress):
        """Look a key up, barring it if it has not been run."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            result, position = await ledger.settle(pooled.conn, action.row, progress)
        except BaseException:
            pool.shut(pooled)
            raise
        pool.release(pooled)
        return Settled(
            op=action.op, database=action.database, result=result, position=position
        )

    async def after_error(self, pool, pooled, exc, action):
        """Return a connection that is in order, discard any other."""
        if isinstance(exc, Exception) and classify(exc) is not ErrorClass.LOST:
            await self.roll_back(pool, pooled)
            return
        self.discard(pool, pooled, action.database, action.upstream)

    async def roll_back(self, pool, pooled):
        """End a transaction without effect and return its connection."""
        try:
            await run(pooled.conn, "ROLLBACK")
        except BaseException:
            pool.shut(pooled)
            raise
        pool.release(pooled)

    def discard(self, pool, pooled, database, upstream):
        """Close a connection in an unknown state and end its session there.

        What goes wrong without the kill: the session of a silent connection
        keeps its locks, and the retry waits behind its own first attempt.
        """
        thread_id = pooled.conn.thread_id()
        pool.shut(pooled)
        task = asyncio.ensure_future(self.kill(database, upstream, thread_id))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def kill(self, database, upstream, thread_id):
        """End a session at the upstream, if that can be reached."""
        with suppress(Exception):
            async with asyncio.timeout(CONNECT_TIMEOUT):
                conn = await self.connect(database, upstream)
                try:
                    await run(conn, f"KILL {int(thread_id)}")
                finally:
                    conn.close()

    # Transactions

    async def tx_begin(self, action, progress):
        """Open a transaction on a connection of its own."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            await run(pooled.conn, "BEGIN")
        except BaseException:
            pool.shut(pooled)
            raise
        self.transactions[action.tx] = OpenTransaction(pool=pool, pooled=pooled)
        return StatementCompleted(
            op=action.op, database=action.database, result=Result()
        )

    async def tx_run(self, action, progress):
        """Run one statement of a transaction."""
        conn = self.transactions[action.tx].pooled.conn
        result = await self.run_statement(conn, action.statement)
        return StatementCompleted(op=action.op, database=action.database, result=result)

    async def tx_commit(self, action, progress):
        """Enter the ledger row and commit."""
        held = self.transactions[action.tx]
        conn = held.pooled.conn
        earlier = await ledger.enter(conn, action.row, action.holder)
        if earlier is not None:
            await run(conn, "ROLLBACK")
            position = dialect.end_of_log(await ask_status(conn))
            result = earlier.result
        else:
            position = await ledger.commit(conn, progress)
            result = Result()
        del self.transactions[action.tx]
        held.pool.release(held.pooled)
        return StatementCompleted(
            op=action.op, database=action.database, result=result, position=position
        )

    def tx_abort(self, name):
        """End a transaction; its connection is closed, which rolls it back."""
        held = self.transactions.pop(name, None)
        if held is None:
            return
        for key, pool in self.pools.items():
            if pool is held.pool:
                self.discard(pool, held.pooled, *key)

    # Connections

    def pool(self, database, upstream):
        """The pool of one upstream."""
        key = (database, upstream)
        if key not in self.pools:
            self.pools[key] = Pool(
                connect=lambda: self.connect(database, upstream),
                limit=FIRST_LIMIT,
                target=0,
            )
        return self.pools[key]

    async def connect(self, database, upstream):
        """Open a connection."""
        host, port = self.address_of(database, upstream)
        return await asyncmy.connect(
            host=host,
            port=port,
            user=self.login.user,
            password=self.login.password,
            db=database,
            autocommit=True,
            connect_timeout=CONNECT_TIMEOUT,
        )


async def set_session(pooled, *, read_only):
    """Let a session write or not; costs a round trip only when it changes.

    What goes wrong without it: a kind declared as a read carries a statement that
    writes, which no ledger row guards and no majority confirms.
    """
    if pooled.read_only == read_only:
        return
    await run(
        pooled.conn, dialect.READ_ONLY_SQL if read_only else dialect.READ_WRITE_SQL
    )
    pooled.read_only = read_only


def status_known(action, status):
    """The event for an upstream's status."""
    return StatusReceived(op=action.op, database=action.database, status=status)
