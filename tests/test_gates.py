"""Tests of the run over all regression sites, with a stand-in of the users' bench."""

import json

import pytest

from bench import gates
from bench.gates import Gates, SitesError, load_sites, main, table

# Writes a journal entry like the bench; exits without one for the site "gone".
STAND_IN = """#!/usr/bin/env python3
import json, pathlib, sys
site = pathlib.Path(sys.argv[2]).stem
print("played", site, sys.argv[sys.argv.index("--jobs") + 1])
if site == "gone":
    sys.exit(3)
day = {"name": "scale-1", "slot": "scale", "G": 0.8, "rules": {}}
quiet = {"name": "quiet-1", "slot": "quiet", "G": 0.9, "rules": {}}
fresh = {"name": "fresh-1", "slot": "trouble", "G": 0.5, "rules": {"STALE": 1}}
entry = {
    "cmd": "score", "site": site, "ok": True, "score": 0.7, "dirty": False,
    "figures": {"gate": 1.0 if site == "good" else 0.0}, "days_left_out": 0,
    "head": "0123456789abcdef", "days": [quiet, day, fresh],
}
pathlib.Path("JOURNAL", f"{site}.json").write_text(json.dumps(entry))
"""


@pytest.fixture
def make_options(tmp_path, monkeypatch):
    """Return a function that makes options of a run with its own journal and bench."""

    def make(*names):
        journal = tmp_path / "journal"
        journal.mkdir()
        monkeypatch.setattr(gates, "JOURNAL", journal)
        sites = [{"name": n, "file": f"{n}.toml", "daemons": 9} for n in names]
        listed = tmp_path / "sites.json"
        listed.write_text(json.dumps({"sites": sites}))
        monkeypatch.setattr(gates.load_sites, "__defaults__", (listed, ()))
        bench = tmp_path / "bench"
        bench.write_text(STAND_IN.replace("JOURNAL", str(journal)))
        bench.chmod(0o755)
        return Gates(bench=bench, pages=tmp_path, logs=tmp_path / "logs")

    return make


def test_the_list_of_sites_is_in_order():
    assert {site.name for site in load_sites()} >= {"ckp-halozat-large"}


def test_large_sites_run_two_days_concurrently():
    jobs = {site.name: site.jobs for site in load_sites()}
    assert jobs["ckp-halozat-large"] == 2
    assert jobs["mhcs-claims"] == 4


def test_all_gates_passed(make_options, capsys):
    options = make_options("good")
    assert main(options) == 0
    line = capsys.readouterr().out.splitlines()[-1]
    assert line == (
        "| good | passed | 0.700 | 0.800 | fresh-1 0.500 | STALE | 0 | 01234567 |"
    )
    assert "played good 4" in (options.logs / "good.log").read_text()


def test_a_failed_gate_and_a_site_without_a_result_are_reported(make_options, capsys):
    """Guards against a table that omits sites without a result.

    The bench aborts one site, which then has no entry in the journal, and another
    one fails its gate. Both have to be in the table.
    """
    assert main(make_options("good", "bad", "gone")) == 1
    lines = capsys.readouterr().out.splitlines()
    assert any(line.startswith("| bad | FAILED") for line in lines)
    gone = [line for line in lines if line.startswith("| gone | ")]
    assert "not played to its end, exit code 3" in gone[0]


def test_an_older_entry_is_not_used_as_a_result(make_options, capsys):
    options = make_options("gone")
    old = {"cmd": "score", "site": "gone", "ok": True, "days": []}
    (gates.JOURNAL / "old.json").write_text(json.dumps(old))
    assert main(options) == 1


def test_a_site_that_is_not_listed_is_an_error(make_options, capsys):
    options = make_options("good")
    options.sites = ["goood"]
    assert main(options) == 2
    assert "no such site: goood" in capsys.readouterr().err


@pytest.mark.parametrize(
    "text",
    [
        "{",
        '{"sites": []}',
        '{"sites": [{"name": "a", "file": "/a.toml", "daemons": 9}]}',
        '{"sites": [{"name": "a", "file": "a.toml", "daemons": 0}]}',
        '{"sites": [{"name": "a", "file": "a.toml", "daemons": 9, "x": 1}]}',
    ],
)
def test_an_unusable_list_is_an_error(tmp_path, text):
    listed = tmp_path / "sites.json"
    listed.write_text(text)
    with pytest.raises(SitesError, match="sites.json"):
        load_sites(listed)


def test_the_table_has_a_line_for_each_site():
    assert len(list(table([]))) == 2
