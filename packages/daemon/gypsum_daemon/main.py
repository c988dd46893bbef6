"""The `gypsumhitchd` command."""

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from gypsum_daemon import callers, logs, operators
from gypsum_daemon.callercontext import CallerContext
from gypsum_daemon.feed import PlatformFeed
from gypsum_daemon.metrics import Metrics
from gypsum_daemon.shell import Shell
from gypsum_model.errors import UserError
from gypsum_model.settings import load_settings
from gypsum_platform.client import PlatformClient

PART = "daemon"
DISCARDED_BODY_LIMIT = 1 << 28
GOODBYE_SECONDS = 0.2
LAST_ANSWER_LOOKS = 50


@cappa.command(name="gypsumhitchd", help="The database proxy daemon.")
@dataclass
class Daemon:
    """Command line of the daemon."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="Settings file, JSON.", value_name="FILE")
    ]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """The ports that the daemon listens on."""

    callers: int
    peers: int
    operators: int


async def serve(settings):
    """Run the daemon until it has drained."""
    shell = Shell(settings=settings)
    metrics = Metrics()
    context = CallerContext(shell=shell, metrics=metrics, settings=settings)
    caller_server = HTTPServer(
        callers.make_application(context), max_body_size=DISCARDED_BODY_LIMIT
    )
    operator_server = HTTPServer(operators.make_application(shell, metrics))
    ports = Ports(
        callers=listen(caller_server, settings.callers),
        peers=await listen_for_peers(shell, settings.peers),
        operators=listen(operator_server, settings.operators),
    )
    feed = PlatformFeed(
        shell=shell,
        client=PlatformClient(base_url=settings.platform),
        settings=settings,
    )
    handle_signals(shell)
    shell.start()
    feed.start()
    announce(settings, ports)
    await shell.exited.wait()
    await shut_down(shell, feed, caller_server, operator_server)


def listen(server, address):
    """Bind a server; returns its port."""
    try:
        sockets = bind_sockets(address.port, address.host)
    except OSError as exc:
        raise cannot_listen(address, exc) from None
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


async def listen_for_peers(shell, address):
    """Accept links of other daemons; returns the port."""
    try:
        return await shell.links.listen(address.host, address.port)
    except OSError as exc:
        raise cannot_listen(address, exc) from None


def cannot_listen(address, exc):
    """The error for an address that cannot be bound."""
    return UserError(
        f"cannot listen: {exc.strerror or exc}",
        step="start",
        peer=f"{address.host}:{address.port}",
    )


def handle_signals(shell):
    """SIGTERM and SIGINT begin the graceful shutdown."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shell.drain)


def announce(settings, ports):
    """Say on standard output that the daemon is up, and where."""
    print(
        f"ready {settings.daemon} callers={ports.callers} peers={ports.peers} "
        f"operators={ports.operators}",
        flush=True,
    )


async def shut_down(shell, feed, caller_server, operator_server):
    """Close everything after the last answer was handed out.

    Each part is closed whatever became of the others; what failed is raised
    together, so that one broken part does not hide another.
    """
    caller_server.stop()
    operator_server.stop()
    await asyncio.sleep(GOODBYE_SECONDS)
    await let_last_answers_out(shell)
    feed.stop()
    closing = (caller_server.close_all_connections(), shell.close())
    results = await asyncio.gather(*closing, return_exceptions=True)
    errors = [item for item in results if isinstance(item, Exception)]
    if errors:
        raise ExceptionGroup("shutdown", errors)
    logs.write(PART, "stopped")


async def let_last_answers_out(shell):
    """Wait, within a bound, for requests that came while the listener closed."""
    for _ in range(LAST_ANSWER_LOOKS):
        if not shell.waiting:
            return
        await asyncio.sleep(GOODBYE_SECONDS)


def run(command):
    """Load the settings and serve; returns the exit code."""
    try:
        settings = load_settings(command.settings)
        if command.check:
            print(f"{command.settings}: the settings are in order")
            return 0
        logs.set_up(settings.log_format)
        asyncio.run(serve(settings))
    except UserError as exc:
        print(f"gypsumhitchd: {exc}", file=sys.stderr)
        return 1
    except ExceptionGroup as group:
        for exc in group.exceptions:
            print(f"gypsumhitchd: {group.message}: {exc!r}", file=sys.stderr)
        return 1
    return 0


def main():
    """Entry point."""
    sys.exit(run(cappa.parse(Daemon)))
