"""Callers of a soak run: sessions with random statements."""

import asyncio
import time
from itertools import count

from gypsum_sessions.catalog import ReadRule
from soak.fleet import connect
from tests.guarantees import AckedWrite, SentRead

READ_RULES = {
    "primary": ReadRule.PRIMARY,
    "bounded": ReadRule.BOUNDED,
    "own": ReadRule.READ_YOUR_WRITES,
}
# Results that say that a write was not applied.
NOT_APPLIED = {"BUSY", "ABORTED", "LAGGING", "READONLY"}
# Seconds; longer than any pause, route timeout and grace period together.
CONNECT_TIMEOUT = 15.0
RECONNECT_DELAY = 0.1


class SessionEnded(Exception):
    """The connection ended, or the session can't go on."""


class Caller:
    """Opens one session after another at random daemons and databases."""

    def __init__(self, *, number, fleet, checker, rng, stats):
        self.number = number
        self.fleet = fleet
        self.checker = checker
        self.rng = rng
        self.stats = stats
        self.session_numbers = count()

    async def run(self, until):
        """Run sessions until a time of the monotonic clock."""
        while time.monotonic() < until:
            daemons = self.fleet.running()
            if not daemons:
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            daemon = self.rng.choice(daemons)
            database = self.rng.choice(list(READ_RULES))
            name = f"c{self.number}t{next(self.session_numbers)}"
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    client = await connect(daemon, database, name)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            session = Session(
                caller=self, daemon=daemon, client=client, rule=READ_RULES[database]
            )
            try:
                await session.run(until)
            except SessionEnded:
                pass
            finally:
                client.close()


class Session:
    """Random operations over one connection, recorded in `checker`."""

    def __init__(self, *, caller, daemon, client, rule):
        self.daemon = daemon
        self.client = client
        self.rule = rule
        self.checker = caller.checker
        self.rng = caller.rng
        self.stats = caller.stats
        self.name = client.name

    async def run(self, until):
        """Run operations until a time or up to a random number."""
        left = self.rng.choice((2, 8, 1000))
        while left and time.monotonic() < until:
            left -= 1
            operation = self.rng.choices(
                [
                    self.read,
                    self.write,
                    self.run_transaction,
                    self.set_value,
                    self.execute_prepared,
                ],
                [8, 5, 4, 1, 2],
            )[0]
            await operation()
            await asyncio.sleep(self.rng.random() * 0.1)

    async def query(self, text):
        """Run a statement; return (rows, result). SessionEnded if the connection ends.

        The result is COMPLETE or an error code.
        """
        request, started_at = self.client.next_request, time.monotonic()
        self.checker.sent.add(request)
        try:
            rows, end = await self.client.query(text)
        except TimeoutError:
            self.checker.broken.append(f"HUNG {request} at {self.daemon.name}: {text}")
            raise SessionEnded from None
        except OSError:
            self.checker.check_disconnect(self.daemon, request, started_at)
            raise SessionEnded from None
        self.stats.record(text, end, time.monotonic() - started_at)
        self.checker.check_answer(request, text, rows, end, self.client.proof)
        return rows, end

    async def read(self, text="READ item"):
        """Run a single read."""
        self.checker.reads[self.client.next_request] = SentRead(
            at=time.monotonic(), session=self.name, rule=self.rule
        )
        await self.query(text)

    async def write(self):
        """Run a single write of unique data."""
        data = self.client.next_request
        _, end = await self.query(f"WRITE {data} {data}")
        self.record_write((data,), end)

    def record_write(self, data, end):
        """Record which result a caller got for its writes."""
        if end == "COMPLETE":
            self.checker.acked.append(
                AckedWrite(data=tuple(data), at=time.monotonic(), session=self.name)
            )
        elif end in NOT_APPLIED:
            self.checker.refused_writes += data

    async def set_value(self):
        """Set a random value of the session."""
        name, value = self.rng.choice("abc"), str(self.rng.randint(0, 2))
        sent_at = time.monotonic()
        _, end = await self.query(f"SET {name} {value}")
        if end != "COMPLETE":
            raise SessionEnded
        self.checker.record_set(self.name, name, value, sent_at)

    async def execute_prepared(self):
        """Prepare and execute a read."""
        _, end = await self.query("PREPARE s READ q")
        if end != "COMPLETE":
            raise SessionEnded
        await self.read("EXECUTE s item")

    async def run_transaction(self):
        """Run a transaction of up to four statements with pauses."""
        writing = self.rng.random() < 0.6
        started_at, wrote, late = (
            time.monotonic(),
            [],
            self.checker.opens_late(self.daemon),
        )
        _, end = await self.query("BEGIN" if writing else "BEGIN READ")
        if end != "COMPLETE":
            raise SessionEnded
        for _ in range(self.rng.randint(0, 4)):
            request = self.client.next_request
            end = await self.run_in_transaction(writing, started_at, wrote)
            self.checker.check_transaction_end(request, end, late=late)
            if end != "COMPLETE":
                break
            await asyncio.sleep(self.rng.random() * 0.2)
        if end != "COMPLETE" or self.rng.random() < 0.2:
            await self.query("ROLLBACK")
            self.checker.refused_writes += wrote
            return
        request = self.client.next_request
        self.checker.transactions[request] = self.name
        _, end = await self.query("COMMIT")
        self.checker.check_transaction_end(request, end, late=late)
        if wrote:
            self.record_write(wrote, end)

    async def run_in_transaction(self, writing, started_at, wrote):
        """Run a read or write in a transaction; return its result."""
        request = self.client.next_request
        self.checker.transactions[request] = self.name
        if writing and self.rng.random() < 0.6:
            wrote.append(request)
            _, end = await self.query(f"WRITE {request} {request}")
            return end
        self.checker.reads[request] = SentRead(
            at=started_at, session=self.name, rule=self.rule
        )
        _, end = await self.query("READ item")
        return end
