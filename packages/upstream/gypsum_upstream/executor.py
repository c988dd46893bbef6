"""Executes the decision logic's upstream actions and reports their results."""

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
from gypsum_upstream.dialect import ErrorClass, classify_error, describe_error
from gypsum_upstream.ledger import ClaimLost, Progress, RequestRefused
from gypsum_upstream.pool import Pool, PooledConn
from gypsum_upstream.sql import execute, query_status

CONNECT_TIMEOUT = 1.0
INITIAL_POOL_LIMIT = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Login:
    """The daemon's credentials for upstreams."""

    user: str
    password: str


@dataclass(slots=True, kw_only=True)
class OpenTransaction:
    """An open transaction's connection, reserved until the transaction ends."""

    pool: Pool
    pooled: PooledConn


class Executor:
    """Runs upstream actions as tasks; each reports one event, or none if abandoned."""

    def __init__(self, *, login, address_of, report: Callable, max_rows):
        self.login = login
        self.address_of = address_of
        self.report = report
        self.max_rows = max_rows
        self.pools = {}
        self.control_connections = {}
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
        """Start one action."""
        if isinstance(action, actions.TxAbort):
            self.tx_abort(action.tx)
        elif isinstance(action, actions.Abandon):
            self.abandon(action.op)
        else:
            progress = Progress()
            task = asyncio.ensure_future(self.execute_action(action, progress))
            self.tasks[action.op] = task
            task.add_done_callback(lambda _: self.tasks.pop(action.op, None))

    def set_pool_size(self, action):
        """Set the bounds of one pool."""
        pool = self.pool(action.database, action.upstream)
        pool.resize(limit=action.limit, target=action.connections)

    def drop_connections(self, action):
        """Close connections that have become silent."""
        self.pool(action.database, action.upstream).close_idle()
        self.close_control(action.database, action.upstream)

    def abandon(self, op):
        """Cancel an operation whose result is no longer needed."""
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
        for conn in self.control_connections.values():
            conn.close()
        await asyncio.sleep(0)

    # Running an action

    async def execute_action(self, action, progress):
        """Run an action within its timeout and report its event."""
        try:
            handler = self.handlers[type(action)]
            event = await asyncio.wait_for(handler(action, progress), action.timeout)
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            event = self.make_failure(action, exc, progress)
        self.report(event)

    def make_failure(self, action, exc, progress) -> UpstreamEvent:
        """Return the event for an error: reason, and whether a commit is in doubt."""
        silent = isinstance(exc, TimeoutError)
        claim_lost = isinstance(exc, ClaimLost)
        error_class = classify_error(exc)
        reason = None
        if isinstance(exc, RequestRefused):
            reason = exc.reason
        elif error_class is ErrorClass.STATEMENT:
            reason = Reason.SQL_ERROR
        in_doubt = (
            progress.commit_sent and error_class is ErrorClass.LOST and not claim_lost
        )
        return Failed(
            op=action.op,
            database=action.database,
            sent=in_doubt,
            detail="no answer in time" if silent else describe_error(exc),
            reason=reason,
            stale=error_class is ErrorClass.STALE,
            claim_lost=claim_lost,
            silent=silent,
        )

    # Group commands, on a separate connection

    async def probe(self, action, progress):
        """Query the status."""
        if action.fresh:
            return await self.probe_on_new_connection(action)
        return await self.run_command(action, dialect.STATUS_SQL, ())

    async def probe_on_new_connection(self, action):
        """Query the status on a new connection, which replaces the old one."""
        conn = await self.connect(action.database, action.upstream)
        try:
            status = await query_status(conn)
        except BaseException:
            conn.close()
            raise
        self.close_control(action.database, action.upstream)
        self.control_connections[(action.database, action.upstream)] = conn
        return status_event(action, status)

    async def fence(self, action, progress):
        """Make the upstream promise a term."""
        return await self.run_command(action, dialect.FENCE_SQL, (action.term,))

    async def promote(self, action, progress):
        """Make the upstream primary."""
        return await self.run_command(action, dialect.PROMOTE_SQL, (action.term,))

    async def follow(self, action, progress):
        """Make the upstream follow a primary."""
        params = (action.term, action.primary)
        return await self.run_command(action, dialect.FOLLOW_SQL, params)

    async def claim(self, action, progress):
        """Write this daemon's name into the claim row."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            await execute(pooled.conn, dialect.CLAIM_SQL, (action.holder,))
            status = await query_status(pooled.conn)
        except BaseException:
            pool.close_connection(pooled)
            raise
        pool.release(pooled)
        return status_event(action, status)

    async def run_command(self, action, sql, params):
        """Run a group command on the control connection, opened on demand.

        A command uses the connection exclusively. If it is in use, a temporary one is
        opened, so that a hanging probe does not delay a fence.
        """
        key = (action.database, action.upstream)
        conn = self.control_connections.pop(key, None)
        if conn is None:
            conn = await self.connect(action.database, action.upstream)
        try:
            status = await query_status(conn, sql, params)
        except BaseException:
            conn.close()
            raise
        if key in self.control_connections:
            conn.close()
        else:
            self.control_connections[key] = conn
        return status_event(action, status)

    def close_control(self, database, upstream):
        """Close the connection used for group commands."""
        conn = self.control_connections.pop((database, upstream), None)
        if conn is not None:
            conn.close()

    # Statements

    async def read(self, action, progress):
        """Run a read in a read-only session."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire(read_only=True)
        try:
            await set_session(pooled, read_only=True)
            result = await self.run_statement(pooled.conn, action.statement)
        except BaseException:
            pool.close_connection(pooled)
            raise
        pool.release(pooled)
        return StatementCompleted(op=action.op, database=action.database, result=result)

    async def run_statement(self, conn, statement):
        """Run a caller's statement; refuse a result with more than `max_rows` rows."""
        result = await execute(conn, statement.sql, statement.params)
        if len(result.rows) > self.max_rows:
            raise RequestRefused(
                Reason.ANSWER_TOO_LARGE, f"the answer has over {self.max_rows} rows"
            )
        return result

    async def write(self, action, progress):
        """Run a write together with its ledger row."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            result, position = await ledger.write(
                pooled.conn, action.statement, action.row, action.holder, progress
            )
        except (ClaimLost, RequestRefused):
            await self.roll_back(pool, pooled)
            raise
        except BaseException as exc:
            await self.release_after_error(pool, pooled, exc, action)
            raise
        pool.release(pooled)
        return StatementCompleted(
            op=action.op, database=action.database, result=result, position=position
        )

    async def settle(self, action, progress):
        """Look up a key, and bar it if it has not run."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            result, position = await ledger.settle(pooled.conn, action.row, progress)
        except BaseException:
            pool.close_connection(pooled)
            raise
        pool.release(pooled)
        return Settled(
            op=action.op, database=action.database, result=result, position=position
        )

    async def release_after_error(self, pool, pooled, exc, action):
        """Roll back and release a working connection; discard a lost one."""
        if isinstance(exc, Exception) and classify_error(exc) is not ErrorClass.LOST:
            await self.roll_back(pool, pooled)
            return
        self.discard(pool, pooled, action.database, action.upstream)

    async def roll_back(self, pool, pooled):
        """Roll back a transaction and release its connection."""
        try:
            await execute(pooled.conn, "ROLLBACK")
        except BaseException:
            pool.close_connection(pooled)
            raise
        pool.release(pooled)

    def discard(self, pool, pooled, database, upstream):
        """Close a connection in an unknown state and kill its session at the upstream.

        Otherwise the session of a silent connection keeps its locks, and a retry waits
        for the locks of its own first attempt.
        """
        thread_id = pooled.conn.thread_id()
        pool.close_connection(pooled)
        task = asyncio.ensure_future(self.kill_session(database, upstream, thread_id))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def kill_session(self, database, upstream, thread_id):
        """Kill a session at the upstream, if that is reachable."""
        with suppress(Exception):
            async with asyncio.timeout(CONNECT_TIMEOUT):
                conn = await self.connect(database, upstream)
                try:
                    await execute(conn, f"KILL {int(thread_id)}")
                finally:
                    conn.close()

    # Transactions

    async def tx_begin(self, action, progress):
        """Open a transaction on a dedicated connection."""
        pool = self.pool(action.database, action.upstream)
        pooled = await pool.acquire()
        try:
            await set_session(pooled, read_only=False)
            await execute(pooled.conn, "BEGIN")
        except BaseException:
            pool.close_connection(pooled)
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
        """Insert the ledger row and commit."""
        open_tx = self.transactions[action.tx]
        conn = open_tx.pooled.conn
        earlier = await ledger.insert_entry(conn, action.row, action.holder)
        if earlier is not None:
            await execute(conn, "ROLLBACK")
            position = dialect.end_of_log(await query_status(conn))
            result = earlier.result
        else:
            position = await ledger.commit(conn, progress)
            result = Result()
        del self.transactions[action.tx]
        open_tx.pool.release(open_tx.pooled)
        return StatementCompleted(
            op=action.op, database=action.database, result=result, position=position
        )

    def tx_abort(self, name):
        """Abort a transaction by closing its connection."""
        open_tx = self.transactions.pop(name, None)
        if open_tx is None:
            return
        for key, pool in self.pools.items():
            if pool is open_tx.pool:
                self.discard(pool, open_tx.pooled, *key)

    # Connections

    def pool(self, database, upstream):
        """Return the pool of an upstream."""
        key = (database, upstream)
        if key not in self.pools:
            self.pools[key] = Pool(
                connect=lambda: self.connect(database, upstream),
                limit=INITIAL_POOL_LIMIT,
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
    """Make a session read only or writable; takes a round trip only on a change.

    Otherwise a kind declared as a read could run a statement that writes, without a
    ledger row and without confirmation by a majority.
    """
    if pooled.read_only == read_only:
        return
    await execute(
        pooled.conn, dialect.READ_ONLY_SQL if read_only else dialect.READ_WRITE_SQL
    )
    pooled.read_only = read_only


def status_event(action, status):
    """Return the event for an upstream's status."""
    return StatusReceived(op=action.op, database=action.database, status=status)
