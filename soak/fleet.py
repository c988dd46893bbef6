"""The processes of a soak run: stand-ins, daemons, and the TCP proxies between them."""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from soak.tcpproxy import TcpProxy
from soak.workspaces import key_for
from tests.standins.platformworld import ROOT, Client, free_port, start_process

# Commands don't wait; one that takes this many seconds hangs.
COMMAND_TIMEOUT = 30.0
MAX_LINE_BYTES = 64 << 20


class StandInProcess:
    """The process of the stand-ins; `on_event` gets each event that it reports."""

    def __init__(self, *, on_event, connections):
        self.on_event = on_event
        self.connections = connections
        self.process = None
        self.command_numbers = count()
        self.pending = {}
        self.ready = None

    async def start(self):
        """Start the process; return its ready event with the addresses."""
        self.ready = asyncio.get_running_loop().create_future()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.standins",
            str(self.connections),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        self.reader_task = asyncio.create_task(self.read_events())
        async with asyncio.timeout(COMMAND_TIMEOUT):
            return await self.ready

    async def read_events(self):
        """Read events until the process ends."""
        while text := await self.process.stdout.readline():
            line = json.loads(text)
            match line["event"]:
                case "ready":
                    self.ready.set_result(line)
                case "done":
                    self.pending.pop(line["number"]).set_result(line["result"])
                case _:
                    self.on_event(line)

    async def run_command(self, command, **options):
        """Run a command in the process and return its result."""
        number = next(self.command_numbers)
        fut = self.pending[number] = asyncio.get_running_loop().create_future()
        text = json.dumps({"number": number, "do": command, **options})
        self.process.stdin.write(text.encode() + b"\n")
        async with asyncio.timeout(COMMAND_TIMEOUT):
            return await fut

    async def stop(self):
        """Stop the process and wait for its end."""
        self.process.stdin.close()
        await self.process.wait()
        await self.reader_task


@dataclass(slots=True, kw_only=True)
class Daemon:
    """One daemon: its process, ports and proxies.

    `log_size` is the size of its log in bytes when the process was started. Until
    `affected_until`, a time of the monotonic clock, faults may keep the daemon from
    getting updates. `stopped_by_soak` is set once the soak run has told the process to
    end.
    """

    name: str
    caller_port: int
    probe_port: int
    link_port: int
    store_proxy: TcpProxy
    upstream_proxies: dict[str, TcpProxy]
    link_proxy: TcpProxy
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    affected_until: float = 0.0
    stopped_by_soak: bool = False
    log_size: int = 0
    exit_codes: list[int] = field(default_factory=list)

    def proxies(self):
        """Return all proxies of this daemon."""
        return [self.store_proxy, self.link_proxy, *self.upstream_proxies.values()]


class Fleet:
    """All daemons of a run, by name in `daemons`."""

    def __init__(self, *, folder, standins):
        self.folder = Path(folder)
        self.standins = standins
        self.members = {}
        self.store_address = ""
        self.daemons = {}

    async def start(self, count, ready):
        """Start daemons that use the stand-ins; `ready` is the stand-ins' event."""
        self.store_address, self.members = ready["store"], dict(ready["members"])
        for index in range(count):
            daemon = await self.create_daemon(f"d{index}")
            self.daemons[daemon.name] = daemon
        await asyncio.gather(*map(self.spawn, self.daemons.values()))

    async def create_daemon(self, name):
        """Create a daemon with free ports and proxies, without its process."""
        link_port = free_port()
        daemon = Daemon(
            name=name,
            caller_port=free_port(),
            probe_port=free_port(),
            link_port=link_port,
            store_proxy=await TcpProxy(target=self.store_address).open(),
            upstream_proxies={},
            link_proxy=await TcpProxy(target=f"127.0.0.1:{link_port}").open(),
        )
        for member, address in self.members.items():
            await self.add_proxy(daemon, member, address)
        return daemon

    async def add_proxy(self, daemon, member, address):
        """Put a proxy between a daemon and a member.

        The proxy of the store replaces the member's address by that of the new proxy.
        """
        proxy = daemon.upstream_proxies[member] = await TcpProxy(target=address).open()
        assert len(proxy.address) == len(address)
        daemon.store_proxy.rewrite[address.encode()] = proxy.address.encode()

    async def add_member(self, member, address):
        """Add a proxy to a new member for all daemons."""
        self.members[member] = address
        for daemon in self.daemons.values():
            await self.add_proxy(daemon, member, address)

    async def spawn(self, daemon):
        """Start a daemon's process."""
        index = int(daemon.name.removeprefix("d"))
        settings = {
            "daemon": daemon.name,
            "domain": "abc"[index % 3],
            "callers": f"127.0.0.1:{daemon.caller_port}",
            "probes": f"127.0.0.1:{daemon.probe_port}",
            "store": daemon.store_proxy.address,
            "promotions": daemon.store_proxy.address,
            "spare_ports": [daemon.link_port, daemon.link_port],
            "advertised_links": daemon.link_proxy.address,
            "all_watch_up_to": 0 if len(self.daemons) > 4 else 12,
        }
        daemon.log_size = self.current_log_size(daemon)
        daemon.process = await start_process(self.folder, settings)
        daemon.stopped_by_soak = daemon.paused = False

    def running(self):
        """Return the daemons whose process runs and is not paused."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.process.returncode is None and not daemon.paused
        ]

    async def stop_daemon(self, daemon, signal_number):
        """Signal a daemon's process, by its id, and wait for its end."""
        if daemon.process.returncode is not None:
            return
        daemon.stopped_by_soak = True
        self.resume(daemon)
        daemon.process.send_signal(signal_number)
        code = await daemon.process.wait()
        # Until the program has installed its handler, SIGTERM ends the interpreter by
        # the signal. A process that has logged nothing has served no caller, so its
        # exit code is no finding.
        log_unchanged = self.current_log_size(daemon) == daemon.log_size
        if not (log_unchanged and code == -signal.SIGTERM):
            daemon.exit_codes.append(code)

    def current_log_size(self, daemon):
        """Return the current size of a daemon's log in bytes."""
        path = self.folder / f"{daemon.name}.log"
        return path.stat().st_size if path.exists() else 0

    def pause(self, daemon):
        """Suspend a process with SIGSTOP."""
        if daemon.process.returncode is None and not daemon.paused:
            daemon.paused = True
            daemon.process.send_signal(signal.SIGSTOP)

    def resume(self, daemon):
        """Resume a suspended process."""
        if daemon.paused and daemon.process.returncode is None:
            daemon.process.send_signal(signal.SIGCONT)
        daemon.paused = False

    async def close(self):
        """Kill all processes and close all proxies."""
        for daemon in self.daemons.values():
            await self.stop_daemon(daemon, signal.SIGKILL)
            for proxy in daemon.proxies():
                proxy.close()


async def connect(daemon, database, name, key=""):
    """Open a caller's session at a daemon; OSError if it is refused."""
    return await Client.connect(
        daemon.caller_port, database, name, key or key_for(name)
    )
