"""A small deployment: store, one service, daemons as processes, and clients."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

from standins.backends import Group
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "claims"
READY_WITHIN = 20.0


class Record:
    """Writes what was sent, answered and run to a file, one event a line."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("")
        self.began = time.monotonic()

    def __call__(self, event, **fields):
        """Write one event."""
        at = f"{time.monotonic() - self.began:8.3f}"
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{at} {event} {text}\n")


def configuration():
    """The operator's configuration: a database for each type of route."""
    types = {"own": "read_your_writes", "main": "primary", "old": "bounded_staleness"}
    routes = [
        {
            "name": f"route-{name}",
            "databaseName": name,
            "service": SERVICE,
            "routeType": kind,
            "maxStalenessMs": 1500,
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 1,
        }
        for name, kind in types.items()
    ]
    services = [{"name": SERVICE, "maxConns": 60, "syncReplicas": 1}]
    limits = {"txIdleMs": 3000}
    return {
        "configVersion": 1,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


class World:
    """The stand-ins in this process, and the daemons as processes of their own."""

    def __init__(self, *, folder, record):
        self.folder = Path(folder)
        self.record = record
        self.group = Group(service=SERVICE, record=record)
        self.store = Store(promote=self.group.promote, record=record)
        self.daemons = {}
        self.ports = {}

    async def start(self, daemons=3):
        """Start everything; returns once all daemons are ready."""
        await self.store.listen()
        self.store.put("config", "main", configuration())
        await self.group.start(self.store)
        self.group.spawn(self.group.keep_sending())
        for number in range(daemons):
            await self.start_daemon(f"front-{number}")
        for name in self.daemons:
            await self.wait_ready(name)

    async def start_daemon(self, name):
        """Start a daemon with the command of the deploy file."""
        ports = self.ports.setdefault(name, free_ports(3))
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name, ports)))
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["GYPSUMHITCH_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.daemons[name] = await asyncio.create_subprocess_exec(
                *("python3", "-m", "gypsum_platform"),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record("daemon started", name=name, pid=self.daemons[name].pid)

    def settings(self, name, ports):
        """The settings of a daemon, as the template of the deploy file gives them."""
        return {
            "daemon": name,
            "domain": "a",
            "callers": f"127.0.0.1:{ports[0]}",
            "probes": f"127.0.0.1:{ports[1]}",
            "store": self.store.address,
            "promotions": self.store.address,
            "spare_ports": [ports[2], ports[2] + 15],
            "grace_seconds": 6,
            "upstream_drain_seconds": 7000e-3,
        }

    async def wait_ready(self, name):
        """Wait until a daemon answers the ready probe with 200."""
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not await self.is_ready(name):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.record("NOT READY", name=name, code=self.daemons[name].returncode)
            for line in (self.folder / f"{name}.log").read_text().splitlines()[-20:]:
                self.record("log", line=line)
            raise
        self.record("daemon ready", name=name)

    async def is_ready(self, name):
        """Send a ready probe."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports[name][1]
            )
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: probe\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def signal(self, name, number):
        """Send a signal to a daemon."""
        self.record("signal", name=name, signal=signal.Signals(number).name)
        self.daemons[name].send_signal(number)

    async def kill(self, name):
        """Kill a daemon and wait for its end."""
        await self.signal(name, signal.SIGKILL)
        await self.daemons[name].wait()

    def record_logs(self, part):
        """Record what the daemons logged for a part."""
        for path in sorted(self.folder.glob("*.log")):
            for text in path.read_text(errors="replace").splitlines():
                if f'"part": "{part}"' in text and '"command failed"' not in text:
                    self.record("log", line=text)

    async def close(self):
        """End all daemons and stand-ins."""
        for process in self.daemons.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in [*self.group.tasks, *self.store.tasks]:
            task.cancel()


class Client:
    """A client's session at a daemon."""

    def __init__(self, *, name, reader, writer, record):
        self.name = name
        self.reader = reader
        self.writer = writer
        self.record = record
        self.sent = 0

    @classmethod
    async def connect(cls, world, daemon, database, name):
        """Open a session; raises ConnectionError if it is refused."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", world.ports[daemon][0]
        )
        client = cls(name=name, reader=reader, writer=writer, record=world.record)
        writer.write(f"STARTUP {database} {name}\r\n".encode())
        line = await client.line()
        if not line.startswith("READY"):
            raise ConnectionError(line)
        return client

    async def line(self):
        """The next line; raises ConnectionError at the end of the connection."""
        async with asyncio.timeout(10.0):
            data = await self.reader.readline()
        if not data.endswith(b"\r\n"):
            raise ConnectionError("closed")
        return data[:-2].decode("latin-1")

    async def query(self, text):
        """Run a statement: (rows, "COMPLETE" or the code, the rest of that line)."""
        self.sent += 1
        request = f"{self.name}-{self.sent}"
        self.record("sent", request=request, text=text)
        self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
        rows, end, detail = [], "", ""
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "READY":
                break
            else:
                end, detail = word, rest
                if word == "ERROR":
                    end, _, detail = rest.partition(" ")
        self.record("answered", request=request, rows=rows, end=end, detail=detail)
        return rows, end, detail

    def close(self):
        """Close the session."""
        self.writer.close()


def free_ports(count):
    """Ports that are free now.

    They lie below the ports of outgoing connections, one of which could otherwise take
    the port of a daemon that is about to start again.
    """
    found = []
    while len(found) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


@asynccontextmanager
async def running(record, daemons=3):
    """Run a world in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder=folder, record=record)
        try:
            await world.start(daemons)
            yield world
        finally:
            await world.close()


def run_case(case, folder):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed.

    `case(record, trouble)` returns whether the rule held. TROUBLE=0 leaves the
    disruption out.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", trouble=trouble)
    try:
        held = asyncio.run(case(record, trouble))
    except Exception as exc:
        record("the case could not run", error=repr(exc))
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    record("the rule held" if held else "THE RULE WAS BROKEN")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
