"""Settings that change while the daemon runs."""

import json

from gypsum_platform.daemon import Daemon
from gypsum_sessions.settings import load_session_settings

SETTINGS = {
    "daemon": "d1",
    "domain": "a",
    "callers": "127.0.0.1:1",
    "probes": "127.0.0.1:2",
    "store": "127.0.0.1:3",
    "promotions": "127.0.0.1:4",
}


def make_daemon(path):
    """A daemon that was started with the settings at a path, and its log lines."""
    path.write_text(json.dumps(SETTINGS))
    daemon = Daemon(settings=load_session_settings(path), path=path)
    lines = []
    daemon.log = lambda part, event, **fields: lines.append((event, fields))
    return daemon, lines


def test_limits_and_the_store_address_are_reloaded(tmp_path):
    path = tmp_path / "settings.json"
    daemon, lines = make_daemon(path)
    changes = {"store": "127.0.0.1:9", "upstream_drain_seconds": 9.0}
    path.write_text(json.dumps({**SETTINGS, **changes}))
    daemon.reload()
    assert daemon.store.address == "127.0.0.1:9"
    assert daemon.proxy.context.drain_seconds == 9.0
    assert lines[-1][1]["changed"] == ["store", "upstream_drain_seconds"]


def test_settings_that_need_a_restart_are_logged_and_kept(tmp_path):
    path = tmp_path / "settings.json"
    daemon, lines = make_daemon(path)
    path.write_text(json.dumps({**SETTINGS, "callers": "127.0.0.1:9"}))
    daemon.reload()
    assert daemon.settings.callers == "127.0.0.1:1"
    assert lines[-1][1]["needs_restart"] == ["callers"]


def test_unusable_settings_change_nothing(tmp_path):
    path = tmp_path / "settings.json"
    daemon, lines = make_daemon(path)
    path.write_text("{")
    daemon.reload()
    assert daemon.settings.store == "127.0.0.1:3"
    assert lines[-1][0] == "settings not usable, the old ones stay"
