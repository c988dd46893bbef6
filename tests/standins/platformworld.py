"""Platform daemons as processes over stand-ins: a store, one group, callers."""

import asyncio
import json
import os
import signal
import socket
import sys
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path

from gypsum_platform.object_handlers import CONFIG_KIND, CONFIG_NAME, UPSTREAM_KIND
from tests.sessions.fakegroup import FakeGroup
from tests.standins.objectstore import ObjectStore
from tests.standins.wireupstream import listen

ROOT = Path(__file__).resolve().parents[2]
GROUP = "shop"
PROMOTE_TIME = 0.3
UNLISTED_AFTER = 1.0
MAX_TRIES = 600
TRY_INTERVAL = 0.05
ANSWER_LIMIT = 30.0
# A daemon that does not answer a probe within this time is not ready, seconds.
READY_LIMIT = 2.0
PORT_CALLS = count()
# Connections that an upstream accepts: enough for all daemons to hold some.
CONNECTIONS = 40


def configuration(version=1, connections=CONNECTIONS, tenants=None):
    """The operator's configuration: one database for each kind of route.

    With `tenants` callers have to present a key of one of them.
    """
    routes = [
        route("own", "read_your_writes", maxStalenessMs=2500),
        route("primary", "primary"),
        route("bounded", "bounded_staleness", maxStalenessMs=1500),
    ]
    return {
        "configVersion": version,
        "routes": routes,
        "services": [{"name": GROUP, "maxConns": connections, "syncReplicas": 1}],
        "limits": {"txIdleMs": 3000},
        **({"tenants": tenants} if tenants is not None else {}),
    }


def route(database, kind, **more):
    """One route."""
    return {
        "name": f"r-{database}",
        "databaseName": database,
        "routeType": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "service": GROUP,
        **more,
    }


class World:
    """Stand-ins in this process, and daemons as processes."""

    def __init__(self, *, folder, connections=CONNECTIONS, tenants=None):
        self.folder = Path(folder)
        self.tenants = tenants
        self.connections = connections
        self.store = ObjectStore()
        self.group = FakeGroup(name=GROUP).add()
        self.addresses = {}
        self.servers = {}
        self.daemons = {}
        self.ports = {}
        self.highest = 0

    async def start(self, daemons=3):
        """Start everything; returns when all daemons are ready."""
        self.store.promote = self.promote
        spec = configuration(connections=self.connections, tenants=self.tenants)
        self.store.put(CONFIG_KIND, CONFIG_NAME, spec)
        for member in self.group.members:
            self.servers[member.id], self.addresses[member.id] = await listen(member)
            self.list_member(member)
        self.address = self.store.listen()
        for number in range(daemons):
            await self.start_daemon(f"d{number}")
        for name in self.daemons:
            await self.wait_ready(name)

    def list_member(self, member):
        """Write a member's entry."""
        spec = {
            "service": GROUP,
            "address": self.addresses[member.id],
            "zone": "a",
            "capacity": 5,
            "state": "draining" if member.leaving else "ready",
            "dbRole": "primary" if member.leads else "replica",
        }
        self.store.put(UPSTREAM_KIND, member.id, spec)

    def promote(self, group, upstream, token):
        """The platform's promotion call: fenced, takes effect a moment later."""
        member = self.group[upstream]
        if token < self.highest or member.dead:
            return False
        self.highest = token
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTE_TIME, self.promoted, upstream)
        return True

    def promoted(self, upstream):
        """The promotion takes effect, and members report it."""
        self.group.promote(upstream)
        for member in self.group.members:
            if not member.dead:
                self.list_member(member)

    async def start_daemon(self, name):
        """Start one daemon on ports of the system's choice."""
        ports = self.ports.setdefault(name, [free_port() for _ in range(3)])
        settings = {
            "daemon": name,
            "domain": "a",
            "callers": f"127.0.0.1:{ports[0]}",
            "probes": f"127.0.0.1:{ports[1]}",
            "store": self.address,
            "promotions": self.address,
            "spare_ports": [ports[2], ports[2]],
        }
        self.daemons[name] = await start_process(self.folder, settings)

    async def wait_ready(self, name):
        """Wait until a daemon reports that it is ready."""
        for _ in range(MAX_TRIES):
            if await self.is_ready(name):
                return
            await asyncio.sleep(TRY_INTERVAL)
        raise AssertionError(f"{name} did not get ready")

    async def is_ready(self, name):
        """Ask a daemon whether it is ready."""
        return await probe_ready(self.ports[name][1])

    def crash(self, upstream):
        """Crash an upstream; its entry vanishes a moment later."""
        member = self.group[upstream]
        self.servers[upstream].close()
        member.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(UNLISTED_AFTER, self.store.remove, UPSTREAM_KIND, upstream)

    async def stop(self, name, number=signal.SIGTERM):
        """Signal a daemon and wait for its end; returns its exit code."""
        daemon = self.daemons.pop(name)
        daemon.send_signal(number)
        return await daemon.wait()

    async def close(self):
        """Stop all that is still running."""
        for name in list(self.daemons):
            await self.stop(name, signal.SIGKILL)
        for server in self.servers.values():
            server.close()


async def start_process(folder, settings):
    """Start a daemon's process; its settings and log are in the folder."""
    path = folder / f"{settings['daemon']}.json"
    path.write_text(json.dumps(settings))
    with (folder / f"{settings['daemon']}.log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gypsum_platform",
            cwd=ROOT,
            env={**os.environ, "GYPSUMHITCH_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )


async def probe_ready(port):
    """Ask the daemon at a probe port whether it accepts callers."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(READY_LIMIT):
            line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return b" 200 " in line


@asynccontextmanager
async def world(folder, daemons=3):
    """A world that is stopped afterwards."""
    made = World(folder=folder)
    try:
        await made.start(daemons)
        yield made
    finally:
        await made.close()


class Client:
    """One caller's connection."""

    def __init__(self, *, reader, writer, name):
        self.reader = reader
        self.writer = writer
        self.name = name
        self.sent = 0
        self.proof = ""

    @property
    def next_request(self):
        """The id that the next statement will have."""
        return f"{self.name}-{self.sent + 1}"

    @classmethod
    async def connect(cls, port, database, name, key=""):
        """Open a session with a key or a name; ConnectionError if it is refused."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        client = cls(reader=reader, writer=writer, name=name)
        writer.write(f"STARTUP {database} {key or name}\r\n".encode())
        if not (await client.line()).startswith("READY"):
            raise ConnectionError("refused")
        return client

    async def line(self):
        """The next line; ConnectionError at the end."""
        async with asyncio.timeout(ANSWER_LIMIT):
            text = await self.reader.readline()
        if not text:
            raise ConnectionError("closed")
        return text.decode().rstrip("\r\n")

    async def query(self, text):
        """Run a statement; (rows, COMPLETE or ERROR with its code)."""
        self.sent += 1
        self.writer.write(f"QUERY {self.name}-{self.sent} {text}\r\n".encode())
        rows, end = [], ""
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "READY":
                return rows, end
            if word == "DATAROW":
                rows.append(rest)
            else:
                end = "COMPLETE" if word == "COMPLETE" else rest.split(" ")[0]
                self.proof = rest

    def close(self):
        """Close the connection."""
        self.writer.close()


class Load:
    """Callers that write and read back what they wrote, through any daemon."""

    def __init__(self, *, made):
        self.made = made
        self.acknowledged = []
        self.refused = []
        self.in_doubt = []
        self.stale = []
        self.running = True

    async def run(self, callers=6):
        """Run callers until the load is stopped."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self.caller(number))

    async def caller(self, number):
        """Run one caller, which reconnects elsewhere when its connection ends."""
        turn = number
        while self.running:
            turn += 1
            names = sorted(self.made.daemons)
            port = self.made.ports[names[turn % len(names)]][0]
            try:
                client = await Client.connect(port, "own", f"c{number}t{turn}")
            except OSError:
                await asyncio.sleep(TRY_INTERVAL)
                continue
            try:
                await self.session(client)
            except OSError:
                continue
            finally:
                client.close()

    async def session(self, client):
        """Write and read until the load is stopped or the connection ends."""
        while self.running:
            data = f"{client.name}x{client.sent}"
            self.in_doubt.append(data)
            _, end = await client.query(f"WRITE {client.name} {data}")
            if end == "COMPLETE":
                self.in_doubt.remove(data)
                self.acknowledged.append(data)
                await self.read_back(client, data)
            elif end in ("BUSY", "ABORTED"):
                self.in_doubt.remove(data)
                self.refused.append(data)
            await asyncio.sleep(TRY_INTERVAL / 5)

    async def read_back(self, client, data):
        """Check that the session's next read shows its last write."""
        rows, end = await client.query(f"READ {client.name}")
        if end == "COMPLETE" and rows != [data]:
            self.stale.append((data, rows))

    def violations(self):
        """Violations: writes lost, run twice, or run though refused; stale reads."""
        log = [data for entry in self.made.group.leader.log for _, data in entry.writes]
        lost = [data for data in self.acknowledged if data not in log]
        twice = [data for data in set(log) if log.count(data) > 1]
        run_though_refused = [data for data in self.refused if data in log]
        return {
            name: found
            for name, found in (
                ("lost", lost),
                ("twice", twice),
                ("refused but run", run_though_refused),
                ("stale", self.stale),
            )
            if found
        }

    async def wait_acknowledged(self, more):
        """Wait until `more` further writes were acknowledged."""
        goal = len(self.acknowledged) + more
        for _ in range(MAX_TRIES):
            if len(self.acknowledged) >= goal:
                return
            await asyncio.sleep(TRY_INTERVAL)
        raise AssertionError(
            f"only {len(self.acknowledged)} of {goal} writes acknowledged"
        )


def free_port():
    """A free port outside the range of ports that the system assigns."""
    for port in range(next_port(), 32000):
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port")


def next_port():
    """A starting point that differs between processes and calls."""
    return 20000 + (os.getpid() * 37 + next(PORT_CALLS) * 11) % 11000
