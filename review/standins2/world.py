"""Starts the daemons as processes and the stand-ins that they meet; the clients."""

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from pathlib import Path

from standins2.backends import Service
from standins2.store import Store
from standins2.wire import Wire

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT = 30.0
# Interval of the backends' reports, seconds.
HEARTBEAT = 1.2
# Promises that nothing of a client's attempt is kept.
PROMISES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}
)


def free_ports(count):
    """Ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def route(database, kind, timeout_ms=1000, **more):
    """A route of the operator's config."""
    return {
        "name": f"r-{database}",
        "databaseName": database,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "kerelem",
        **more,
    }


class World:
    """Store, one service, and daemons as processes."""

    def __init__(self, *, folder, record, names, **service):
        self.folder = folder
        self.record = record
        self.service = Service(name="kerelem", record=record, **service)
        for name in names:
            self.service.add(name)
        self.store = Store(record=record, promote=self.service.promote)
        self.daemons = {}
        self.ports = {}
        # Wires between daemons and the store, by daemon.
        self.wires = {}
        self.version = 0
        self.store_down = False
        self.tasks = []

    async def start(self, *, daemons, routes):
        """Start all; returns once each daemon is ready."""
        await self.store.listen()
        self.put_config(routes)
        for backend in self.service.backends:
            await backend.listen()
        self.report()
        self.service.on_event = self.on_event
        self.tasks.append(asyncio.create_task(self.keep_reporting()))
        for number in range(daemons):
            await self.start_daemon(f"front-{number + 1}")
        for name in self.daemons:
            await self.wait_ready(name)
        self.record("world", "all daemons are ready")

    def put_config(self, routes):
        """Write the next version of the config."""
        self.version += 3
        spec = {
            "configVersion": self.version,
            "routes": routes,
            "services": [
                {
                    "name": self.service.name,
                    "healthPath": "/health",
                    "maxConns": self.service.max_conns,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": self.service.sync,
                }
            ],
            "limits": {"txIdleMs": 3000},
        }
        self.store.put("config", "main", spec)
        self.record("operator", f"config {self.version} acknowledged")

    def silence_store(self, silent):
        """Let the store's host be down; when it is back, it resets old connections."""
        self.store_down = silent
        for wire in self.wires.values():
            wire.silent = silent
            if not silent:
                wire.reset()
        self.record("trouble", f"the store is {'silent' if silent else 'back'}")

    # Backends' entries

    def on_event(self, event):
        """Report changed roles at once."""
        if event == "promoted":
            self.report()

    def report(self):
        """Write the entries of the backends that run."""
        if self.store_down:
            return
        for backend in self.service.backends:
            if backend.down:
                continue
            self.put_entry(
                backend.name,
                self.service.name,
                backend.address,
                state=backend.state,
                role="primary" if backend.leads else "replica",
            )

    def put_entry(
        self, name, service, address, cold_ms=0, *, state="ready", role="replica"
    ):
        """Write a backend's entry."""
        spec = {
            "service": service,
            "address": address,
            "zone": "budaors-a",
            "configVersion": "v1",
            "capacity": self.service.slots,
            "state": state,
            "coldRemainingMs": cold_ms,
            "dbRole": role,
            "sequence": 1,
        }
        self.store.put("servers", name, spec)

    async def keep_reporting(self):
        """Write the entries at each heartbeat; remove those of silent backends."""
        silent = {}
        while True:
            await asyncio.sleep(HEARTBEAT)
            if self.store_down:
                continue
            self.report()
            for backend in self.service.backends:
                count = silent.get(backend.name, 0) + 1 if backend.down else 0
                silent[backend.name] = count
                if count == 3:
                    self.store.remove("servers", backend.name)

    # Daemons

    async def start_daemon(self, name):
        """Start a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["daemon"]["run"].split()
        if name not in self.ports:
            self.ports[name] = free_ports(4)
        callers, probes, links, metrics = self.ports[name]
        if name not in self.wires:
            self.wires[name] = Wire(target=self.store.address)
            await self.wires[name].listen()
        settings = {
            "daemon": name,
            "domain": "budaors-a",
            "callers": f"127.0.0.1:{callers}",
            "probes": f"127.0.0.1:{probes}",
            "store": self.wires[name].address,
            "promotions": self.store.address,
            "spare_ports": [links, links],
            "grace_seconds": 6,
            "upstream_drain_seconds": 7,
            "metrics_port": metrics,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = (self.folder / f"{name}.log").open("ab")
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GYPSUMHITCH_SETTINGS": str(path),
        }
        self.daemons[name] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def wait_ready(self, name):
        """Wait until a daemon answers its readiness probe with 200."""
        until = self.record.now + READY_TIMEOUT
        while self.record.now < until:
            if await self.is_ready(name):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} does not get ready")

    async def is_ready(self, name):
        """Ask a daemon whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports[name][1]
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, name, number):
        """Signal a daemon."""
        self.record("world", f"{signal.Signals(number).name} to {name}")
        self.daemons[name].send_signal(number)

    async def close(self):
        """End all processes and tasks."""
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons.values():
            if daemon.returncode is None:
                daemon.send_signal(signal.SIGCONT)
                daemon.kill()
                await daemon.wait()


class Refused(Exception):
    """A statement got an ERROR; has its code."""

    def __init__(self, code, text=""):
        super().__init__(f"{code} {text}")
        self.code = code


class Writers:
    """Clients that write through each daemon, and what they were told."""

    def __init__(self, world, database):
        self.world = world
        self.database = database
        # (time of the answer, data) of each acknowledged write.
        self.acknowledged = []
        self.running = True

    def start(self, daemons, *, each, pause):
        """Start as many clients for each daemon, which pause between two writes."""
        for daemon in daemons:
            for number in range(each):
                work = self.run(daemon, f"client-{daemon}-{number}", pause)
                self.world.tasks.append(asyncio.create_task(work))

    async def run(self, daemon, name, pause):
        """Write until told to stop; a lost session is opened anew."""
        count = 0
        while self.running:
            try:
                client = await Client.open(self.world, daemon, self.database, name)
                while self.running:
                    count += 1
                    await self.write(client, f"{name}.{count}")
                    await asyncio.sleep(pause)
                client.close()
            except (OSError, TimeoutError, Refused):
                await asyncio.sleep(0.1)

    async def write(self, client, data):
        """Write once; refusals are not retried."""
        try:
            await client.query(f"WRITE {client.name} {data}")
        except Refused:
            return
        self.acknowledged.append((self.world.record.now, data))

    def lost(self):
        """LOST: acknowledged commits that aren't in the promoted backend's log."""
        service, record = self.world.service, self.world.record
        record("judge", f"{len(self.acknowledged)} writes were acknowledged")
        for name, _ in service.promotions:
            record("judge", f"{name} was promoted")
        kept = {data for entry in service.primary.log for _, _, data in entry[2]}
        broken = [
            f"LOST: {data}, acknowledged at {at:.3f}, isn't in the log"
            for at, data in self.acknowledged
            if data not in kept
        ]
        for text in broken:
            record("judge", text)
        return broken


class Client:
    """A client's session with a daemon."""

    ids = 0

    def __init__(self, *, reader, writer, record, name):
        self.reader = reader
        self.writer = writer
        self.record = record
        self.name = name
        self.state = "I"

    @classmethod
    async def open(cls, world, daemon, database, name):
        """Open a session; raises ConnectionError or Refused."""
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", world.ports[daemon][0], limit=1 << 21
            )
            client = cls(reader=reader, writer=writer, record=world.record, name=name)
            writer.write(f"STARTUP {database} {name}\r\n".encode())
            await client.read_answer()
        return client

    async def read_line(self):
        """One line; raises ConnectionError at the end of the connection."""
        line = await self.reader.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("closed")
        return line.decode("latin-1").removesuffix("\r\n")

    async def read_answer(self):
        """The rows and the proof of one answer; raises Refused."""
        rows, end = [], ("COMPLETE", "-")
        while True:
            word, _, rest = (await self.read_line()).partition(" ")
            if word == "READY":
                self.state = rest.split(" ")[0]
                break
            if word == "DATAROW":
                rows.append(rest)
            else:
                end = (word, rest)
        if end[0] == "ERROR":
            raise Refused(*end[1].partition(" ")[::2])
        return rows, end[1]

    async def query(self, text, timeout=10.0):
        """Run a statement: its id, rows and proof; raises Refused with the id noted."""
        Client.ids += 1
        request = f"q{Client.ids:06d}"
        self.last = request
        self.record(self.name, f"sends {request} {text}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
        try:
            async with asyncio.timeout(timeout):
                rows, proof = await self.read_answer()
        except Refused as exc:
            self.record(self.name, f"{request} answered ERROR {exc}")
            raise
        except (ConnectionError, TimeoutError) as exc:
            self.record(self.name, f"{request} not answered: {exc!r}")
            raise
        self.record(self.name, f"{request} answered COMPLETE {proof} {rows}")
        return request, rows, proof

    def close(self):
        """Close the session."""
        self.writer.close()


async def run_quietly(run):
    """Run a case; connections that are cut off at its end are not reported."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await run()


def main(run):
    """Run a case: exits with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    try:
        broken = asyncio.run(run_quietly(run))
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        sys.exit(2)
    for text in broken:
        print(text)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
