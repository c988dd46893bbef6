"""A service of one primary and its replicas, as PROTOCOL.md describes them."""

import asyncio
from dataclasses import dataclass, field

LINE_LIMIT = 1 << 21


@dataclass(kw_only=True, eq=False)
class Backend:
    """One backend: its log, its state and its faults.

    X,
        `dark` while it answers nothing.
    """

    name: str
    service: "Service"
    log: list = field(default_factory=list)
    applied: int = 0
    term: int = 1
    held_term: int = 0
    cut: bool = False
    dark: bool = False
    down: bool = False
    state: str = "ready"
    address: str = ""
    server: object = None
    conns: set = field(default_factory=set)
    running: int = 0
    # Called before an order (PAUSE, RESUME, STEPDOWN) is carried out; returns True if
    # the order gets no answer and is carried out later.
    delays: object = None
    # Called with a connection and its answer to a client's statement; returns whether
    # the answer is sent.
    passes: object = None

    @property
    def leads(self):
        """Whether it is the primary."""
        return self.service.primary is self

    @property
    def end(self):
        """Position of the end of its received log."""
        return self.log[-1][:2] if self.log else (1, 0)

    @property
    def shown(self):
        """Position up to which it has applied its log."""
        return self.log[self.applied - 1][:2] if self.applied else (1, 0)

    def lacks(self, position):
        """Whether its applied log lacks a position."""
        if position[1] == 0:
            return False
        return all(entry[:2] != position for entry in self.log[: self.applied])

    def value(self, item):
        """The value of an item in the applied log."""
        for entry in reversed(self.log[: self.applied]):
            for _, name, data in reversed(entry[2]):
                if name == item:
                    return data
        return ""

    async def listen(self, port=0):
        """Listen on a free port, or on the one that it had."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, limit=LINE_LIMIT
        )
        host, found = self.server.sockets[0].getsockname()
        self.address = f"{host}:{found}"

    async def serve(self, reader, writer):
        """Serve one connection."""
        conn = Connection(backend=self, writer=writer)
        self.conns.add(conn)
        try:
            await conn.run(reader)
        except (ConnectionError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            conn.closed = True
            self.conns.discard(conn)
            writer.close()

    def crash(self):
        """Stop at once; the log is kept."""
        self.down = True
        self.server.close()
        for conn in list(self.conns):
            conn.closed = True
            conn.writer.transport.abort()

    async def restart(self):
        """Run again at the same address, with the log."""
        self.down, self.held_term = False, 0
        await self.listen(int(self.address.rpartition(":")[2]))


class Connection:
    """One connection to a backend."""

    def __init__(self, *, backend, writer):
        self.backend = backend
        self.service = backend.service
        self.writer = writer
        self.closed = False
        self.state = "I"
        self.read_only = False
        self.began_term = 0
        self.pending = []
        self.values = {}
        self.prepared = {}

    async def run(self, reader):
        """Answer the STARTUP line, then the statements in order."""
        word, service, _, *name = (await read_line(reader)).split(" ", 3)
        await self.wait_lit()
        if (
            word != "STARTUP"
            or service != self.service.name
            or name
            not in (
                [],
                [self.backend.name],
            )
        ):
            self.send(f"ERROR MISROUTED {self.backend.name}")
            return
        if len(self.backend.conns) > self.service.max_conns:
            self.send("ERROR CONNLIMIT full")
            return
        await asyncio.sleep(self.service.open_time)
        self.send(self.ready())
        while not self.closed:
            text = await read_line(reader)
            if not text or text == "TERMINATE":
                return
            _, request, statement = text.split(" ", 2)
            await self.wait_lit()
            lines = await self.answer(request, statement)
            await self.wait_lit()
            if lines is None or self.closed:
                continue
            passes = self.backend.passes
            if request == "-" or passes is None or passes(self, request, statement):
                self.send(*lines, self.ready())

    async def wait_lit(self):
        """Wait while the backend is dark."""
        while self.backend.dark and not self.closed:
            await asyncio.sleep(0.005)

    def ready(self):
        """The line that ends an answer."""
        term, number = self.backend.shown
        return f"READY {self.state} {term}.{number}"

    def send(self, *lines):
        """Send lines."""
        if not self.writer.is_closing():
            self.writer.write(
                "".join(f"{line}\r\n" for line in lines).encode("latin-1")
            )

    async def answer(self, request, statement):
        """Run a statement; the lines of its answer, None for no answer."""
        backend, text = self.backend, statement
        if text.startswith("SYNCTO "):
            _, wanted, text = text.split(" ", 2)
            term, number = wanted.split(".")
            if backend.lacks((int(term), int(number))):
                return self.refuse("LAGGING")
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction failed"]
        match word:
            case "BEGIN":
                return self.begin(rest)
            case "ROLLBACK":
                self.pending, self.state = [], "I"
                return ["COMPLETE -"]
            case "RESET":
                self.values, self.prepared = {}, {}
                return ["COMPLETE -"]
            case "SET":
                name, _, value = rest.partition(" ")
                self.values[name] = value
                return ["COMPLETE -"]
            case "PREPARE":
                name, access, shape = rest.split(" ", 2)
                self.prepared[name] = (access, shape)
                return ["COMPLETE -"]
            case "DEALLOC":
                self.prepared.pop(rest, None)
                return ["COMPLETE -"]
            case "STATUS":
                return self.status()
            case "PAUSE" | "RESUME" | "STEPDOWN":
                return self.order(word, rest)
        return await self.work(request, word, rest)

    def begin(self, rest):
        """Begin a transaction; a plain one needs the lead."""
        if not rest and not self.backend.leads:
            return self.refuse("READONLY")
        self.state, self.read_only, self.pending = "T", bool(rest), []
        self.began_term = self.service.term
        return ["COMPLETE -"]

    def status(self):
        """The row of STATUS."""
        backend = self.backend
        role = "primary" if backend.leads else "replica"
        term, number = backend.end
        lag = 0 if backend.applied == len(backend.log) else 8
        row = f"{role} {self.service.term} {term}.{number} {backend.held_term}"
        row += f" {lag} {backend.running} {len(backend.conns)}"
        return [f"DATAROW {row}", "COMPLETE -"]

    def order(self, word, rest):
        """Carry out an order now, or later and without an answer."""
        backend, record = self.backend, self.service.record
        if backend.delays is not None and backend.delays(word, rest):
            record(backend.name, f"{word} {rest} gets no answer, is carried out later")
            return None
        self.service.carry_out(backend, word, rest)
        return self.status()

    async def work(self, request, word, rest):
        """Run a read, write or commit, which takes a slot."""
        backend, service = self.backend, self.service
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.refuse("UNKNOWN")
            word = self.prepared[name][0]
        while backend.running >= service.slots:
            await asyncio.sleep(0.001)
        backend.running += 1
        service.started.append((request, backend.name, service.record.now))
        try:
            await asyncio.sleep(service.work_time)
            if backend.down:
                return None
            lost_lead = not backend.leads or self.began_term != service.term
            needs_lead = word != "COMMIT" or bool(self.pending)
            plain = self.state == "T" and not self.read_only
            if plain and lost_lead and needs_lead:
                return self.refuse("READONLY")
            if word == "COMMIT":
                return await self.commit(request)
            service.ran.append((request, backend.name, word, rest, service.record.now))
            if word == "READ":
                service.record(backend.name, f"ran {request} READ {rest}")
                return [f"DATAROW {backend.value(rest)}", self.proof(request)]
            return await self.write(request, rest)
        finally:
            backend.running -= 1

    async def write(self, request, rest):
        """Run a write, in the open transaction or alone."""
        item, _, data = rest.partition(" ")
        if not self.backend.leads or (self.state == "T" and self.read_only):
            return self.refuse("READONLY")
        self.service.record(self.backend.name, f"ran {request} WRITE {rest}")
        if self.state == "T":
            self.pending.append((request, item, data))
            return [self.proof(request)]
        if not await self.service.commit(self.backend, [(request, item, data)]):
            return ["ERROR INDOUBT the lead was lost"]
        return [self.proof(request)]

    async def commit(self, request):
        """Commit the open transaction."""
        writes, self.pending, self.state = self.pending, [], "I"
        self.service.record(self.backend.name, f"ran {request} COMMIT")
        if writes and not await self.service.commit(self.backend, writes):
            return ["ERROR INDOUBT the lead was lost"]
        return [self.proof(request)]

    def proof(self, request):
        """The line with the backend's proof."""
        return f"COMPLETE {self.backend.name}.{request}"

    def refuse(self, code):
        """The line of a refusal, which fails an open transaction."""
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.backend.name}"]


async def read_line(reader):
    """One line without its end; empty at the end of the connection."""
    return (await reader.readuntil(b"\r\n")).decode("latin-1").removesuffix("\r\n")


class Service:
    """The backends of a service, their replication and their promotions."""

    def __init__(
        self,
        *,
        name,
        record,
        promote_time=1.0,
        work_time=0.01,
        open_time=0.012,
        slots=5,
        max_conns=34,
        sync=1,
    ):
        self.name = name
        self.record = record
        self.promote_time = promote_time
        self.work_time = work_time
        self.open_time = open_time
        self.slots = slots
        self.max_conns = max_conns
        self.sync = sync
        self.apply_time = 0.008
        self.send_time = 0.001
        self.term = 1
        self.backends = []
        self.primary = None
        # Statements that a slot has begun, and those that have run.
        self.started = []
        self.ran = []
        # Called with an event's name when a failover is accepted or takes effect.
        self.on_event = lambda event: None
        self.promotions = []

    def add(self, name):
        """Add a backend; the first one leads."""
        backend = Backend(name=name, service=self)
        self.backends.append(backend)
        self.primary = self.primary or backend
        return backend

    def find(self, name):
        """The backend with an id."""
        return next(item for item in self.backends if item.name == name)

    # Replication

    async def commit(self, primary, writes):
        """Commit at the primary; False if it lost the lead or stopped before."""
        if not primary.leads:
            return False
        entry = (self.term, primary.end[1] + 1, tuple(writes))
        primary.log.append(entry)
        primary.applied = len(primary.log)
        asyncio.get_running_loop().call_later(self.send_time, self.replicate)
        while self.copies(primary, entry) < self.sync:
            await asyncio.sleep(0.001)
            if primary.down or entry not in primary.log:
                return False
        self.record(primary.name, f"acknowledged {entry[0]}.{entry[1]} {writes}")
        return True

    def copies(self, primary, entry):
        """How many replicas have received an entry."""
        others = (item for item in self.backends if item is not primary)
        return sum(entry in item.log for item in others)

    def replicate(self):
        """Send the primary's log to all replicas that can receive it."""
        primary = self.primary
        if primary is None or primary.down or primary.dark:
            return
        for item in self.backends:
            if item is primary or item.down or item.dark or item.cut or item.held_term:
                continue
            if primary.cut or item.log == primary.log:
                continue
            item.log = list(primary.log)
            item.applied = min(item.applied, len(item.log))
            item.term = self.term
            size = len(item.log)
            loop = asyncio.get_running_loop()
            loop.call_later(self.apply_time, self.apply, item, size)

    def apply(self, item, size):
        """Make received entries visible."""
        item.applied = max(item.applied, min(size, len(item.log)))

    # Orders

    def carry_out(self, backend, word, rest):
        """Carry out PAUSE, RESUME or STEPDOWN."""
        if word == "PAUSE" and int(rest) > self.term and not backend.leads:
            backend.held_term = int(rest)
        elif word == "RESUME":
            backend.held_term = 0
            self.replicate()
        elif word == "STEPDOWN" and backend.leads and int(rest) > self.term:
            self.primary = None
        end = f"{backend.end[0]}.{backend.end[1]}"
        self.record(backend.name, f"carried out {word} {rest}, received {end}")

    def promote(self, name):
        """Accept a failover; it takes effect after the promote time."""
        backend = self.find(name)
        if backend.down:
            return False
        if backend is self.primary:
            return True
        loop = asyncio.get_running_loop()
        loop.call_later(self.promote_time, self.promoted, backend)
        self.on_event("accepted")
        return True

    def promoted(self, backend):
        """Let a backend lead the next term with what it has received."""
        if backend is self.primary or backend.down:
            return
        self.term += 1
        self.primary = backend
        backend.applied = len(backend.log)
        self.promotions.append((backend.name, list(backend.log)))
        for item in self.backends:
            item.held_term = 0
            rolled_back = [entry for entry in item.log if entry not in backend.log]
            if rolled_back:
                ends = [f"{entry[0]}.{entry[1]}" for entry in rolled_back]
                self.record(item.name, f"rolled back {ends}")
            item.log = [entry for entry in item.log if entry in backend.log]
            item.applied = min(item.applied, len(item.log))
        end = f"{backend.end[0]}.{backend.end[1]}"
        self.record(backend.name, f"leads term {self.term} with {end}")
        self.on_event("promoted")
        self.replicate()
