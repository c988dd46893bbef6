"""Tests `gypsumhitch load` with the metrics of daemons."""

import asyncio
import json

import pytest

from gypsum_cli import load as load_module
from gypsum_cli.load import Load, load
from gypsum_cli.service import DaemonError


def upstream(running, waiting, wait, group="db"):
    """Return the metrics of one upstream."""
    values = {
        "leads": 1,
        "running": running,
        "waiting": waiting,
        "limit": 4,
        "expected_wait": wait,
        "connections_open": 5,
        "connections_in_use": running,
        "connections_limit": 7,
        "connections_waited_for": 0,
    }
    return "\n".join(
        f'gypsum_load{{group="{group}",upstream="u1",what="{what}"}} {value}'
        for what, value in values.items()
    )


TEXTS = {
    "a:1": "\n".join(
        [
            "# HELP gypsum_load Each upstream.",
            upstream(4, 9, 0.34),
            upstream(1, 0, 0, group="other"),
            'gypsum_refusals_by_cause{cause="queue",group="db",to="daemons"} 12',
        ]
    ),
    "b:1": "\n".join(
        [
            upstream(2, 0, 0),
            'gypsum_refusals_by_cause{cause="cap",group="db",to="callers"} 40',
            'gypsum_spread{group="db"} 7',
            "process_start_time 1.5",
        ]
    ),
}


@pytest.fixture
def run(monkeypatch, capsys):
    """Return a function that runs the subcommand for some daemons."""

    async def fetch(address, path):
        if address not in TEXTS:
            raise DaemonError("refused", step=path, peer=address)
        return TEXTS[address].encode()

    def run_load(*addresses, **options):
        command = Load(group="db", metrics=list(addresses), **options)
        code = asyncio.run(load(command))
        return code, capsys.readouterr().out

    monkeypatch.setattr(load_module, "fetch", fetch)
    return run_load


def test_owners_sums_and_refusals_are_shown(run):
    code, out = run("a:1", "b:1")
    assert code == 0
    assert (
        "owner a:1, u1: leads, running 4 of 4, waiting 9, expected wait 340 ms" in out
    )
    assert "all owners, u1: running 6 of 8, waiting 9, connections 10 open" in out
    assert out.index("refused to callers: 40 for cap") < out.index("12 for queue")
    assert "past an owner without room: 7" in out


def test_a_daemon_that_does_not_answer_is_named(run):
    """Guards against sums that silently lack an owner."""
    code, out = run("a:1", "gone:1")
    assert code == 4
    assert "gone:1: " in out and "refused" in out
    assert "owner a:1" in out


def test_json_has_each_daemon(run):
    _, out = run("a:1", "b:1", json=True)
    data = json.loads(out)
    assert [item["address"] for item in data["daemons"]] == ["a:1", "b:1"]
    assert data["daemons"][0]["upstreams"]["u1"]["waiting"] == 9
