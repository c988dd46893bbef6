"""The entry point of the daemon on the platform."""

import json
import signal
import sys
from types import ModuleType

import pytest

from gypsum_platform.__main__ import SETTINGS_VARIABLE, main
from gypsum_platform.daemon import run


@pytest.fixture(autouse=True)
def keep_handler():
    """Restore the signal handlers."""
    numbers = (signal.SIGTERM, signal.SIGHUP)
    before = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, before, strict=True):
        signal.signal(number, handler)


def test_a_daemon_stopped_during_startup_exits_cleanly(monkeypatch):
    """Guards against exit code -15 of a daemon that is stopped during its imports.

    The signal was handled only after them. Exiting directly from the handler does not
    work either: during an import it gave exit code -11.
    """
    program = ModuleType("gypsum_platform.daemon")

    def run(path, *, stop_requested, callers):
        assert not stop_requested()
        signal.getsignal(signal.SIGTERM)(signal.SIGTERM, None)
        assert stop_requested()
        return 0

    program.run = run
    monkeypatch.setitem(sys.modules, "gypsum_platform.daemon", program)
    monkeypatch.setenv(SETTINGS_VARIABLE, "settings.json")
    assert main() == 0


def test_a_daemon_without_settings_says_so(monkeypatch, capsys):
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert main() == 2
    assert SETTINGS_VARIABLE in capsys.readouterr().err


def test_a_daemon_stopped_before_it_serves_exits(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(
        json.dumps(
            {
                "daemon": "d0",
                "domain": "a",
                "callers": "127.0.0.1:0",
                "probes": "127.0.0.1:0",
                "store": "127.0.0.1:1",
                "promotions": "127.0.0.1:1",
            }
        )
    )
    assert run(str(path), stop_requested=lambda: True) == 0
