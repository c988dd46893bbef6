"""Backends of one service that speak the wire protocol, and their replication."""

import asyncio
from dataclasses import dataclass, field
from itertools import count

HEARTBEAT = 1.2
# Intervals of silence after which the store removes a backend's entry.
SILENT_INTERVALS = 3
RECEIVE_DELAY = 0.001
APPLY_DELAY = 0.008
PROMOTE_TIME = 0.3
WORK = 0.01
NO_RUN = "-"


@dataclass(frozen=True, slots=True)
class Entry:
    """One commit of the log: its position and the data that it wrote."""

    term: int
    number: int
    writes: tuple

    @property
    def position(self):
        """The position as the wire has it."""
        return f"{self.term}.{self.number}"


@dataclass(slots=True, kw_only=True, eq=False)
class Backend:
    """One backend. `deaf`: it receives no log. `paused`: the term of a PAUSE."""

    id: str
    group: "Group"
    zone: str = "a"
    log: list = field(default_factory=list)
    applied: int = 0
    up: bool = True
    deaf: bool = False
    paused: int = 0
    term: int = 1
    address: str = ""
    server: object = None
    writers: set = field(default_factory=set)
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(5))
    last_report: float = 0.0

    @property
    def leads(self):
        """Whether it is the primary."""
        return self.group.leader is self

    @property
    def end(self):
        """The end of the received log."""
        return self.log[-1].position if self.log else f"{self.term}.0"

    @property
    def shown(self):
        """The end of the applied log."""
        return self.log[self.applied - 1].position if self.applied else "1.0"

    def holds(self, position):
        """Whether the applied log has a position."""
        if position == NO_RUN or position.endswith(".0"):
            return True
        return any(item.position == position for item in self.log[: self.applied])

    def value(self, item):
        """The applied value of an item."""
        for entry in reversed(self.log[: self.applied]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return ""

    def data(self):
        """The data of its whole log."""
        return [data for entry in self.log for _, data in entry.writes]

    def entry(self):
        """The spec of its entry in the store."""
        return {
            "service": self.group.service,
            "address": self.address,
            "zone": self.zone,
            "configVersion": 1,
            "capacity": 5,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "dbRole": "primary" if self.leads else "replica",
        }

    async def listen(self):
        """Accept connections, after a crash again at the same port."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self.server = await asyncio.start_server(
            lambda reader, writer: Connection(self, reader, writer).serve(),
            host,
            int(port),
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"


class Group:
    """The backends of one service; the first one leads."""

    def __init__(self, *, service, record, count_of=3):
        self.service = service
        self.record = record
        self.backends = [
            Backend(id=f"i-{n}", group=self) for n in range(1, 1 + count_of)
        ]
        self.leader = self.backends[0]
        self.term = 1
        self.highest_token = 0
        self.store = None
        # What clients were told is committed, and each promotion: the backend, the
        # data in its log, and what had been acknowledged until then.
        self.acknowledged = []
        self.promotions = []
        # Prepared statements of clients that ran.
        self.runs = []
        self.tasks = set()

    def __getitem__(self, name):
        return next(item for item in self.backends if item.id == name)

    def spawn(self, work):
        """Run a task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, store):
        """Serve, and report to the store."""
        self.store = store
        for backend in self.backends:
            await backend.listen()
            self.spawn(self.report(backend))

    async def report(self, backend):
        """Report a backend to the store; its entry lapses after three silent beats."""
        while True:
            if backend.up:
                self.store.put("servers", backend.id, backend.entry())
                silent = 0
            else:
                silent += 1
            if silent == SILENT_INTERVALS and self.store.remove("servers", backend.id):
                self.record("entry removed", id=backend.id)
            await asyncio.sleep(HEARTBEAT)

    # Replication

    async def commit(self, primary, writes):
        """Commit at the primary; True once one replica has received it."""
        number = primary.log[-1].number + 1 if primary.log else 1
        entry = Entry(self.term, number, tuple(writes))
        primary.log.append(entry)
        primary.applied = len(primary.log)
        while True:
            await asyncio.sleep(RECEIVE_DELAY)
            if not primary.up or not primary.leads or entry not in primary.log:
                return None
            self.send_log(primary)
            others = (item for item in self.backends if item is not primary)
            if any(entry in item.log for item in others):
                return entry

    def send_log(self, primary):
        """Send the primary's log to all replicas that can receive."""
        loop = asyncio.get_running_loop()
        for item in self.backends:
            if item is primary or not item.up or item.deaf or item.paused:
                continue
            if item.log != primary.log:
                item.log = list(primary.log)
                item.applied = min(item.applied, common(item.log, primary.log))
                loop.call_later(APPLY_DELAY, self.apply, item, len(item.log))

    def apply(self, backend, size):
        """Apply received log."""
        if backend.up:
            backend.applied = max(backend.applied, min(size, len(backend.log)))

    async def keep_sending(self):
        """Let replicas that missed something catch up."""
        while True:
            await asyncio.sleep(0.05)
            if self.leader is not None and self.leader.up:
                self.send_log(self.leader)

    def promote(self, service, name, token):
        """A failover call; it takes effect after PROMOTE_TIME seconds."""
        known = [item for item in self.backends if item.id == name and item.up]
        if service != self.service or not known or token < self.highest_token:
            return 409
        self.highest_token = token
        if known[0] is not self.leader:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_TIME, self.take_lead, known[0])
        return 200

    def take_lead(self, chosen):
        """Make a backend the primary of the next term with what it has received."""
        if chosen is self.leader or not chosen.up:
            return
        self.term += 1
        self.leader = chosen
        chosen.applied = len(chosen.log)
        self.promotions.append((chosen.id, chosen.data(), list(self.acknowledged)))
        self.record("promoted", id=chosen.id, term=self.term, end=chosen.end)
        for item in self.backends:
            item.paused = 0
            item.term = self.term
            if item is not chosen:
                size = common(item.log, chosen.log)
                del item.log[size:]
                item.applied = min(item.applied, size)
            if item.up:
                self.store.put("servers", item.id, item.entry())
        self.send_log(chosen)

    # Faults

    def crash(self, name):
        """Crash a backend: its connections break, its log is kept."""
        backend = self[name]
        backend.up = False
        backend.server.close()
        for writer in list(backend.writers):
            writer.transport.abort()
        self.record("crashed", id=name, end=backend.end)

    async def restart(self, name):
        """Start a crashed backend again, with its log."""
        backend = self[name]
        backend.up, backend.paused = True, 0
        await backend.listen()
        self.store.put("servers", backend.id, backend.entry())
        self.record("back", id=name, end=backend.end, leads=backend.leads)


def common(log, other):
    """The number of entries with which two logs begin alike."""
    size = 0
    for mine, theirs in zip(log, other, strict=False):
        if mine != theirs:
            break
        size += 1
    return size


class Connection:
    """One connection to a backend; it runs one statement after the other."""

    numbers = count(1)

    def __init__(self, backend, reader, writer):
        self.backend = backend
        self.group = backend.group
        self.reader = reader
        self.writer = writer
        self.number = next(self.numbers)
        self.state = "I"
        self.read_only = False
        self.pending = []
        self.begun_term = 0
        self.values = {}
        self.prepared = {}

    async def serve(self):
        """Serve until the connection ends."""
        backend = self.backend
        backend.writers.add(self.writer)
        try:
            if not await self.open():
                return
            while backend.up:
                line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                request, _, text = rest.partition(" ")
                answer = await self.run(request, text)
                if answer is None or not backend.up:
                    return
                self.writer.write(answer.encode("latin-1"))
                await self.writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            backend.writers.discard(self.writer)
            self.writer.transport.abort()

    async def open(self):
        """Answer STARTUP; returns whether the session is open."""
        line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        word, service, _, *expected = line.split(" ")
        right = word == "STARTUP" and service == self.group.service
        if not right or expected not in ([], [self.backend.id]):
            self.writer.write(f"ERROR MISROUTED {self.backend.id}\r\n".encode())
            await self.writer.drain()
            return False
        self.writer.write(f"READY I {self.backend.shown}\r\n".encode())
        return True

    async def run(self, request, text):
        """Run one query; returns the answer, None for none."""
        word, _, rest = text.partition(" ")
        if word == "SYNCTO":
            position, _, text = rest.partition(" ")
            if not self.backend.holds(position):
                return self.error("LAGGING", self.backend.id)
            word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return self.error("MALFORMED", "the transaction has failed")
        handler = getattr(self, f"run_{word.lower()}", None)
        if handler is None:
            return self.error("MALFORMED", "unknown statement")
        return await handler(request, text, rest)

    # Answers

    def done(self, rows=(), proof=NO_RUN):
        """A success."""
        lines = "".join(f"DATAROW {row}\r\n" for row in rows)
        return f"{lines}COMPLETE {proof}\r\nREADY {self.state} {self.backend.shown}\r\n"

    def error(self, code, detail):
        """A refusal, which fails an open transaction."""
        if self.state == "T":
            self.state = "E"
        return f"ERROR {code} {detail}\r\nREADY {self.state} {self.backend.shown}\r\n"

    def note(self, request, text):
        """Record that a client's statement runs."""
        self.group.record(
            "runs",
            backend=self.backend.id,
            conn=self.number,
            request=request,
            text=text,
            values=dict(self.values),
        )

    # Statements

    async def run_begin(self, request, text, rest):
        """BEGIN or BEGIN READ."""
        if rest != "READ" and not self.backend.leads:
            return self.error("READONLY", self.backend.id)
        self.state, self.read_only = "T", rest == "READ"
        self.pending, self.begun_term = [], self.group.term
        return self.done()

    async def run_rollback(self, request, text, rest):
        """ROLLBACK."""
        self.state, self.pending = "I", []
        return self.done()

    async def run_commit(self, request, text, rest):
        """COMMIT."""
        failed = self.state == "E"
        writes, self.pending = self.pending, []
        lost_lead = not self.backend.leads or self.begun_term != self.group.term
        self.state = "I"
        if failed or (writes and lost_lead):
            return self.error("READONLY", self.backend.id)
        return await self.keep(request, text, writes)

    async def run_set(self, request, text, rest):
        """SET name value."""
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return self.done()

    async def run_prepare(self, request, text, rest):
        """PREPARE name READ|WRITE shape."""
        name, _, rest = rest.partition(" ")
        access, _, shape = rest.partition(" ")
        if access not in ("READ", "WRITE") or not shape:
            return self.error("MALFORMED", "PREPARE takes READ or WRITE, and a shape")
        self.prepared[name] = (access, shape)
        return self.done()

    async def run_reset(self, request, text, rest):
        """RESET."""
        self.values.clear()
        self.prepared.clear()
        return self.done()

    async def run_read(self, request, text, rest):
        """READ item."""
        return await self.read(request, text, rest)

    async def run_write(self, request, text, rest):
        """WRITE item data."""
        item, _, data = rest.partition(" ")
        return await self.write(request, text, item, data)

    async def run_execute(self, request, text, rest):
        """EXECUTE name item [data]."""
        name, _, rest = rest.partition(" ")
        if name not in self.prepared:
            return self.error("UNKNOWN", name)
        access, shape = self.prepared[name]
        item, _, data = rest.partition(" ")
        shown = f"{text} [{access} {shape}]"
        self.group.runs.append({"request": request, "shape": shape, "item": item})
        if access == "READ":
            return await self.read(request, shown, item)
        return await self.write(request, shown, item, data)

    async def read(self, request, text, item):
        """Run a read."""
        async with self.backend.slots:
            await asyncio.sleep(WORK)
            if not self.backend.up:
                return None
            self.note(request, text)
            proof = f"{self.backend.id}.{request}"
            return self.done(rows=[self.backend.value(item)], proof=proof)

    async def write(self, request, text, item, data):
        """Run a write, alone or in the open transaction."""
        if not self.backend.leads or self.read_only and self.state == "T":
            return self.error("READONLY", self.backend.id)
        async with self.backend.slots:
            await asyncio.sleep(WORK)
            if not self.backend.up:
                return None
            if not self.backend.leads:
                return self.error("READONLY", self.backend.id)
            if self.state == "T":
                self.note(request, text)
                self.pending.append((item, data))
                return self.done(proof=f"{self.backend.id}.{request}")
            return await self.keep(request, text, [(item, data)])

    async def keep(self, request, text, writes):
        """Commit writes and acknowledge them."""
        self.note(request, text)
        if writes and await self.group.commit(self.backend, writes) is None:
            return None
        return self.done(proof=f"{self.backend.id}.{request}")

    # Commands

    async def run_status(self, request, text, rest):
        """STATUS: role, term, received, held term, lag, busy, connections."""
        backend = self.backend
        role = "primary" if backend.leads else "replica"
        row = (
            f"{role} {self.group.term} {backend.end} {backend.paused} 8 0 "
            f"{len(backend.writers)}"
        )
        return self.done(rows=[row])

    async def run_pause(self, request, text, rest):
        """PAUSE term."""
        if int(rest) > self.group.term and not self.backend.leads:
            self.backend.paused = int(rest)
        return await self.run_status(request, text, rest)

    async def run_resume(self, request, text, rest):
        """RESUME."""
        self.backend.paused = 0
        return await self.run_status(request, text, rest)

    async def run_stepdown(self, request, text, rest):
        """STEPDOWN term."""
        if self.backend.leads and int(rest) > self.group.term:
            self.group.leader = None
        return await self.run_status(request, text, rest)
