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
    """Leave the signal as it was."""
    before = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, before)


def test_a_daemon_that_is_told_to_stop_as_it_starts_ends_in_order(monkeypatch):
    """Symptom: `EXIT d8 ended with -15 when it was told to`.

    Sequence: a daemon is restarted, and told to stop while it imports what it needs.
    Cause: the signal was handled only once all was imported. An exit in the middle of
    an import is none: `EXIT d8 ended with -11`.
    """
    program = ModuleType("gypsum_platform.daemon")

    def run(path, *, stop_requested):
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


def test_a_daemon_that_was_told_to_stop_serves_nobody(tmp_path):
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
