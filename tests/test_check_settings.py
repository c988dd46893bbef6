"""Tests `gypsumhitch check-settings` with settings files."""

import json

import pytest

from gypsum_cli.check_settings import CheckSettings, check_settings

VALID_SETTINGS = {
    "daemon": "front-1",
    "domain": "a",
    "callers": "10.1.0.8:8784",
    "probes": "10.1.0.8:8785",
    "store": "10.2.0.7:8783",
    "grace_seconds": 6,
}


def run(tmp_path, capsys, text, *, as_json=False):
    """Check a settings file; return the exit code, output and errors."""
    path = tmp_path / "settings.json"
    path.write_text(text)
    code = check_settings(CheckSettings(settings=path, json=as_json))
    return code, *capsys.readouterr()


def test_valid_settings(tmp_path, capsys):
    code, out, _ = run(tmp_path, capsys, json.dumps(VALID_SETTINGS))
    assert code == 0
    assert "front-1: the settings are in order" in out
    assert "a drain ends within 5.7 s" in out


def test_json_output(tmp_path, capsys):
    code, out, _ = run(tmp_path, capsys, json.dumps(VALID_SETTINGS), as_json=True)
    assert code == 0
    assert json.loads(out)["in_order"] is True


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"callers": "no address"}, "callers"),
        ({"grace_seconds": 0}, "grace_seconds"),
        ({"colour": "blue"}, "colour"),
        ({"daemon": ""}, "daemon"),
    ],
)
def test_the_invalid_field_is_named(tmp_path, capsys, changes, named):
    code, _, err = run(tmp_path, capsys, json.dumps({**VALID_SETTINGS, **changes}))
    assert code == 1
    assert named in err and "Traceback" not in err


def test_invalid_json_and_a_missing_file_are_errors(tmp_path, capsys):
    code, _, err = run(tmp_path, capsys, "{")
    assert code == 1 and "no valid JSON" in err
    missing = CheckSettings(settings=tmp_path / "none.json")
    assert check_settings(missing) == 1
    assert "none.json" in capsys.readouterr().err
