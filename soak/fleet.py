"""The processes of a soak: stand-ins, daemons, and the wires between them."""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from soak.tcpproxy import Wire
from soak.workspaces import key_of
from tests.standins.platformworld import ROOT, Client, free_port, start_process

# Commands are carried out at once; one that takes this many seconds hangs.
COMMAND_LIMIT = 30.0
LINE_LIMIT = 64 << 20


class StandInProcess:
    """The stand-ins' process; what it tells goes to `heard`."""

    def __init__(self, *, heard, connections):
        self.heard = heard
        self.connections = connections
        self.process = None
        self.numbers = count()
        self.waiting = {}
        self.ready = None

    async def start(self):
        """Start it; returns the store's address and the members'."""
        self.ready = asyncio.get_running_loop().create_future()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.standins",
            str(self.connections),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT,
        )
        self.reading = asyncio.create_task(self.read())
        async with asyncio.timeout(COMMAND_LIMIT):
            return await self.ready

    async def read(self):
        """Read what it tells."""
        while text := await self.process.stdout.readline():
            line = json.loads(text)
            match line["event"]:
                case "ready":
                    self.ready.set_result(line)
                case "done":
                    self.waiting.pop(line["number"]).set_result(line["result"])
                case _:
                    self.heard(line)

    async def do(self, command, **options):
        """Carry out a command; its result."""
        number = next(self.numbers)
        fut = self.waiting[number] = asyncio.get_running_loop().create_future()
        text = json.dumps({"number": number, "do": command, **options})
        self.process.stdin.write(text.encode() + b"\n")
        async with asyncio.timeout(COMMAND_LIMIT):
            return await fut

    async def stop(self):
        """End it."""
        self.process.stdin.close()
        await self.process.wait()
        await self.reading


@dataclass(slots=True, kw_only=True)
class Daemon:
    """One daemon: its process, ports and wires.

    `log_size` is that of its log when its process was started.
    `troubled_until` is the monotonic clock's time until which it may not be in touch,
    `ended_by_us` whether its process ended, or ends, since it was told to.
    """

    name: str
    callers: int
    probes: int
    links: int
    store: Wire
    upstreams: dict[str, Wire]
    link: Wire
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    troubled_until: float = 0.0
    ended_by_us: bool = False
    log_size: int = 0
    exits: list[int] = field(default_factory=list)

    def wires(self):
        """All wires of this daemon."""
        return [self.store, self.link, *self.upstreams.values()]


class Fleet:
    """All daemons."""

    def __init__(self, *, folder, standins):
        self.folder = Path(folder)
        self.standins = standins
        self.members = {}
        self.store = ""
        self.daemons = {}

    async def start(self, number, first):
        """Start daemons before the stand-ins that told `first`."""
        self.store, self.members = first["store"], dict(first["members"])
        for place in range(number):
            daemon = await self.make(f"d{place}")
            self.daemons[daemon.name] = daemon
        await asyncio.gather(*map(self.spawn, self.daemons.values()))

    async def make(self, name):
        """A daemon's ports and wires."""
        links = free_port()
        daemon = Daemon(
            name=name,
            callers=free_port(),
            probes=free_port(),
            links=links,
            store=await Wire(target=self.store).open(),
            upstreams={},
            link=await Wire(target=f"127.0.0.1:{links}").open(),
        )
        for member, address in self.members.items():
            await self.connect(daemon, member, address)
        return daemon

    async def connect(self, daemon, member, address):
        """Put a wire between a daemon and a member: it reads that of the list."""
        wire = daemon.upstreams[member] = await Wire(target=address).open()
        assert len(wire.address) == len(address)
        daemon.store.rewrite[address.encode()] = wire.address.encode()

    async def joined(self, member, address):
        """A new member has an address: all daemons get a wire to it."""
        self.members[member] = address
        for daemon in self.daemons.values():
            await self.connect(daemon, member, address)

    async def spawn(self, daemon):
        """Start a daemon's process."""
        place = int(daemon.name.removeprefix("d"))
        settings = {
            "daemon": daemon.name,
            "domain": "abc"[place % 3],
            "callers": f"127.0.0.1:{daemon.callers}",
            "probes": f"127.0.0.1:{daemon.probes}",
            "store": daemon.store.address,
            "promotions": daemon.store.address,
            "spare_ports": [daemon.links, daemon.links],
            "advertised_links": daemon.link.address,
            "all_watch_up_to": 0 if len(self.daemons) > 4 else 12,
        }
        daemon.log_size = self.size_of_log(daemon)
        daemon.process = await start_process(self.folder, settings)
        daemon.ended_by_us = daemon.paused = False

    def alive(self):
        """Daemons whose process runs and is not paused."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.process.returncode is None and not daemon.paused
        ]

    async def end(self, daemon, number):
        """Signal a daemon's process, by its id, and wait for its end."""
        if daemon.process.returncode is not None:
            return
        daemon.ended_by_us = True
        self.resume(daemon)
        daemon.process.send_signal(number)
        code = await daemon.process.wait()
        # The interpreter itself knows no order to stop: until the program's first line
        # a process that is told to ends by the signal, having served nobody.
        silent = self.size_of_log(daemon) == daemon.log_size
        if not (silent and code == -signal.SIGTERM):
            daemon.exits.append(code)

    def size_of_log(self, daemon):
        """Bytes of a daemon's log so far."""
        path = self.folder / f"{daemon.name}.log"
        return path.stat().st_size if path.exists() else 0

    def pause(self, daemon):
        """Stop a process where it is."""
        if daemon.process.returncode is None and not daemon.paused:
            daemon.paused = True
            daemon.process.send_signal(signal.SIGSTOP)

    def resume(self, daemon):
        """Let a process go on."""
        if daemon.paused and daemon.process.returncode is None:
            daemon.process.send_signal(signal.SIGCONT)
        daemon.paused = False

    async def close(self):
        """End all processes and wires."""
        for daemon in self.daemons.values():
            await self.end(daemon, signal.SIGKILL)
            for wire in daemon.wires():
                wire.close()


async def connect(daemon, database, name, key=""):
    """A caller's session at a daemon; OSError if it is refused."""
    return await Client.connect(daemon.callers, database, name, key or key_of(name))
