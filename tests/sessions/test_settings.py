"""Settings: validated, with errors that name the field."""

import json

import pytest

from gypsum_sessions.settings import SettingsError, load_session_settings

GOOD = {
    "daemon": "d1",
    "domain": "a",
    "callers": "10.0.0.1:8784",
    "probes": "10.0.0.1:8785",
    "store": "10.0.9.1:80",
    "spare_ports": [7440, 7455],
}


def load(tmp_path, data):
    """Load settings from a file with this content."""
    path = tmp_path / "settings.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    return load_session_settings(path)


def test_good_settings(tmp_path):
    settings = load(tmp_path, GOOD)
    assert settings.spare_ports == (7440, 7455)
    assert settings.grace_seconds == 6.0


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"callers": "nowhere"}, "callers"),
        ({"daemon": ""}, "daemon"),
        ({"grace_seconds": 0}, "grace_seconds"),
        ({"unheard_of": 1}, "unheard_of"),
        ({"spare_ports": [1]}, "spare_ports"),
        ({"advertised_links": "nowhere"}, "advertised_links"),
        ({"all_watch_up_to": -1}, "all_watch_up_to"),
    ],
)
def test_errors_name_the_field(tmp_path, change, field):
    with pytest.raises(SettingsError, match=field):
        load(tmp_path, {**GOOD, **change})


def test_missing_and_broken_files(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load_session_settings(tmp_path / "none.json")
    with pytest.raises(SettingsError, match="no valid JSON"):
        load(tmp_path, "{")
