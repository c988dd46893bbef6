"""The start of a daemon: who waits for the imports, and what is imported late."""

import asyncio
import os
import signal
import subprocess
import sys
from random import Random

import pytest

from gypsum_platform import daemon
from gypsum_platform.early import open_callers_port
from gypsum_platform.late import DELAY, import_late
from tests.sessions.vclock import run
from tests.standins.platformworld import ROOT, Client, world

# Not needed to accept a caller, learn the configuration and run a statement.
LATE_PACKAGES = {"absl", "aioprometheus", "orjson", "quantile", "pydantic", "xml"}
LATE_MODULES = {"tornado.web", "gypsum_core.records", "gypsum_links.links"}
FIRST_STATEMENT = """
import os, sys
import gypsum_platform.__main__, gypsum_platform.daemon
from gypsum_sessions.events import EventWriter
from gypsum_sessions.metrics import DeferredMetrics
before = set(sys.modules)
from tests.sessions.rig import Rig
from tests.sessions.vclock import run
from_test = set(sys.modules) - before

async def main():
    rig = Rig()
    rig.proxy.log = EventWriter(daemon="d", clock=lambda: 1.0)
    rig.proxy.log.set_up(os.open(os.devnull, os.O_WRONLY))
    rig.proxy.observe = DeferredMetrics().observe
    await rig.settle()
    assert (await rig.caller("primary").send("WRITE a 1")).ok

run(main())
print(*(set(sys.modules) - from_test))
"""


# Stands before the real module on the path, and ends once the file exists.
SLOW_IMPORT = """
import sys, time
from pathlib import Path
while not Path({gate!r}).exists():
    time.sleep(0.01)
sys.path.remove({folder!r})
del sys.modules["uvloop"]
import uvloop
"""
CONNECT_WITHIN = 10.0


async def connect(port):
    """Connect as soon as the port is open."""
    async with asyncio.timeout(CONNECT_WITHIN):
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)


def hold_imports(tmp_path, monkeypatch):
    """Hold up the imports of daemons until the returned file exists."""
    gate, folder = tmp_path / "imported", tmp_path / "slow"
    folder.mkdir()
    names = {"gate": str(gate), "folder": str(folder)}
    (folder / "uvloop.py").write_text(SLOW_IMPORT.format(**names))
    monkeypatch.setenv("PYTHONPATH", str(folder), prepend=os.pathsep)
    return gate


@pytest.mark.xdist_group("platform processes")
def test_sighup_during_the_imports_ends_no_daemon(tmp_path, monkeypatch):
    """Guards against a daemon that a change of its settings ends as it starts."""
    gate = hold_imports(tmp_path, monkeypatch)

    async def main():
        async with world(tmp_path, daemons=0) as made:
            await made.start_daemon("d0")
            reader, writer = await connect(made.ports["d0"][0])
            made.daemons["d0"].send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            gate.touch()
            writer.write(b"STARTUP primary c\r\n")
            caller = Client(reader=reader, writer=writer, name="c")
            assert (await caller.line()).startswith("READY")
            assert made.daemons["d0"].returncode is None

    asyncio.run(main())


def test_settings_that_change_as_they_are_read_are_read_again(tmp_path, monkeypatch):
    """Guards against a daemon that keeps the settings of before a change."""
    path, made = tmp_path / "settings.json", []
    path.write_text("before")

    def load(path):
        """Return settings that are replaced as soon as they have been read."""
        (tmp_path / "settings.json").write_text("after, and longer")
        return "settings"

    def make_daemon(**fields):
        """Record what a daemon is made of."""
        made.append(fields)
        raise InterruptedError

    monkeypatch.setattr(daemon, "load_session_settings", load)
    monkeypatch.setattr(daemon, "Daemon", make_daemon)
    with pytest.raises(InterruptedError):
        daemon.run(str(path), stop_requested=lambda: False)
    assert made[0]["signature"] != daemon.file_signature(path)


@pytest.mark.xdist_group("platform processes")
def test_a_caller_that_connects_during_the_imports_is_served(tmp_path, monkeypatch):
    """Guards against callers that are refused while a daemon starts.

    The port was opened after the imports, and after a power loss of all daemons the
    connections of all callers were refused until then.
    """
    gate = hold_imports(tmp_path, monkeypatch)

    async def main():
        async with world(tmp_path, daemons=0) as made:
            await made.start_daemon("d0")
            reader, writer = await connect(made.ports["d0"][0])
            caller = Client(reader=reader, writer=writer, name="c")
            writer.write(b"STARTUP primary c\r\n")
            assert (tmp_path / "d0.log").read_text() == ""
            gate.touch()
            assert (await caller.line()).startswith("READY")
            assert (await caller.query("WRITE a 1"))[1] == "COMPLETE"

    asyncio.run(main())


def test_the_first_statement_needs_no_logging_or_metrics_library():
    """Guards against imports that delay the callers who wait for a starting daemon."""
    found = subprocess.run(
        [sys.executable, "-c", FIRST_STATEMENT],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    modules = set(found.stdout.split())
    assert "gypsum_platform.daemon" in modules
    assert {name.partition(".")[0] for name in modules} & LATE_PACKAGES == set()
    assert modules & LATE_MODULES == set()


@pytest.mark.parametrize(
    "text",
    ["", "no JSON", "[]", '{"callers": 1}', '{"callers": "127.0.0.1:70000"}', "{}"],
)
def test_unusable_settings_open_no_port(tmp_path, text):
    """Guards against a traceback in place of the settings error."""
    path = tmp_path / "settings.json"
    assert open_callers_port(path) is None
    path.write_text(text)
    assert open_callers_port(path) is None


def test_statements_run_between_late_imports(monkeypatch):
    """Guards against one long import that blocks the statements of a loaded daemon."""
    served, at = [], []

    async def serve():
        loop = asyncio.get_running_loop()
        while True:
            served.append(loop.time())
            await asyncio.sleep(0.01)

    async def main():
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(
            "gypsum_platform.late.import_module", lambda name: at.append(loop.time())
        )
        serving = asyncio.create_task(serve())
        await import_late(Random(1), modules=("a", "b", "c"))
        serving.cancel()

    run(main())
    assert len(at) == 3 and at[0] >= DELAY
    for first, second in zip(at, at[1:], strict=False):
        assert sum(first < moment < second for moment in served) >= 5
