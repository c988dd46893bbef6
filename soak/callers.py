"""Callers of a soak: sessions that use open connections until these are gone."""

import asyncio
import time
from itertools import count

from gypsum_sessions.catalog import ReadRule
from soak.fleet import connect
from tests.guarantees import AckedWrite, SentRead

RULES = {
    "primary": ReadRule.PRIMARY,
    "bounded": ReadRule.BOUNDED,
    "own": ReadRule.READ_YOUR_WRITES,
}
# Answers that say that nothing is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY"}
# Longer than any pause, route timeout and grace together, seconds.
OPEN_LIMIT = 15.0
BACK_AFTER = 0.1


class SessionOver(Exception):
    """The connection is gone, or the caller gives it up."""


class Caller:
    """One caller after the other; `book` keeps what they were told."""

    def __init__(self, *, number, fleet, book, rng, stats):
        self.number = number
        self.fleet = fleet
        self.book = book
        self.rng = rng
        self.stats = stats
        self.turns = count()

    async def run(self, until):
        """Sessions until a time of the monotonic clock."""
        while time.monotonic() < until:
            daemons = self.fleet.alive()
            if not daemons:
                await asyncio.sleep(BACK_AFTER)
                continue
            daemon = self.rng.choice(daemons)
            database = self.rng.choice(list(RULES))
            name = f"c{self.number}t{next(self.turns)}"
            try:
                async with asyncio.timeout(OPEN_LIMIT):
                    client = await connect(daemon, database, name)
            except OSError:
                await asyncio.sleep(BACK_AFTER)
                continue
            session = Session(
                caller=self, daemon=daemon, client=client, rule=RULES[database]
            )
            try:
                await session.run(until)
            except SessionOver:
                pass
            finally:
                client.close()


class Session:
    """Operations over one connection."""

    def __init__(self, *, caller, daemon, client, rule):
        self.daemon = daemon
        self.client = client
        self.rule = rule
        self.book = caller.book
        self.rng = caller.rng
        self.stats = caller.stats
        self.name = client.name

    async def run(self, until):
        """Operations until the end, or as many as this session is long."""
        left = self.rng.choice((2, 8, 1000))
        while left and time.monotonic() < until:
            left -= 1
            operation = self.rng.choices(
                [self.read, self.write, self.transact, self.set, self.execute],
                [8, 5, 4, 1, 2],
            )[0]
            await operation()
            await asyncio.sleep(self.rng.random() * 0.1)

    async def query(self, text):
        """One statement: rows and end; SessionOver if the connection is gone."""
        request, began = self.client.next_request, time.monotonic()
        self.book.sent.add(request)
        try:
            rows, end = await self.client.query(text)
        except TimeoutError:
            self.book.broken.append(f"HUNG {request} at {self.daemon.name}: {text}")
            raise SessionOver from None
        except OSError:
            self.book.cut(self.daemon, request, began)
            raise SessionOver from None
        self.stats.answered(text, end, time.monotonic() - began)
        self.book.answered(request, text, rows, end, self.client.proof)
        return rows, end

    async def read(self, text="READ item"):
        """A single read."""
        self.book.reads[self.client.next_request] = SentRead(
            at=time.monotonic(), session=self.name, rule=self.rule
        )
        await self.query(text)

    async def write(self):
        """A single write of data that nobody else writes."""
        data = self.client.next_request
        _, end = await self.query(f"WRITE {data} {data}")
        self.settle((data,), end)

    def settle(self, data, end):
        """Note what a caller was told of its writes."""
        if end == "COMPLETE":
            self.book.acked.append(
                AckedWrite(data=tuple(data), at=time.monotonic(), session=self.name)
            )
        elif end in PROMISES:
            self.book.refused_writes += data

    async def set(self):
        """A value of the session."""
        name, value = self.rng.choice("abc"), str(self.rng.randint(0, 2))
        sent_at = time.monotonic()
        _, end = await self.query(f"SET {name} {value}")
        if end != "COMPLETE":
            raise SessionOver
        self.book.set(self.name, name, value, sent_at)

    async def execute(self):
        """A read by a prepared statement."""
        _, end = await self.query("PREPARE s READ q")
        if end != "COMPLETE":
            raise SessionOver
        await self.read("EXECUTE s item")

    async def transact(self):
        """A transaction of some statements, with pauses."""
        writing = self.rng.random() < 0.6
        began, wrote, late = time.monotonic(), [], self.book.late(self.daemon)
        _, end = await self.query("BEGIN" if writing else "BEGIN READ")
        if end != "COMPLETE":
            raise SessionOver
        for _ in range(self.rng.randint(0, 4)):
            request = self.client.next_request
            end = await self.inside(writing, began, wrote)
            self.book.ended(request, end, late=late)
            if end != "COMPLETE":
                break
            await asyncio.sleep(self.rng.random() * 0.2)
        if end != "COMPLETE" or self.rng.random() < 0.2:
            await self.query("ROLLBACK")
            self.book.refused_writes += wrote
            return
        request = self.client.next_request
        self.book.transactions[request] = self.name
        _, end = await self.query("COMMIT")
        self.book.ended(request, end, late=late)
        if wrote:
            self.settle(wrote, end)

    async def inside(self, writing, began, wrote):
        """One statement of a transaction; how it ended."""
        request = self.client.next_request
        self.book.transactions[request] = self.name
        if writing and self.rng.random() < 0.6:
            wrote.append(request)
            _, end = await self.query(f"WRITE {request} {request}")
            return end
        self.book.reads[request] = SentRead(at=began, session=self.name, rule=self.rule)
        _, end = await self.query("READ item")
        return end
