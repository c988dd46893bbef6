"""Tests that invalid input is rejected with a clear error and runs nothing."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from gypsum_core.records import Position
from gypsum_core.tokens import encode_token
from tests.cluster import HOST, MEMBER_KEY, SESSION_KEY, http_call, ports

pytestmark = pytest.mark.xdist_group("bad_input")

INSERT = "INSERT INTO requests (applicant, status) VALUES (%s, 'filed')"
COUNT = "SELECT COUNT(*) FROM requests WHERE applicant = %s"
PROBLEM = "application/problem+json"


def expect_problem(answer, status, text):
    """Check that a response is a problem document."""
    assert answer.status == status, answer.body
    assert answer.headers["Content-Type"] == PROBLEM
    assert answer.body["status"] == status
    assert text in answer.body["detail"]
    assert answer.body["outcome"] == "not_run"
    assert answer.body["step"]


def expect_nothing_ran(cluster, applicant):
    """Check that an applicant has no row."""
    read = cluster.query("d1", "review", COUNT, [applicant])
    assert read.body["rows"] == [[0]]


def test_body_is_not_json(cluster):
    answer = cluster.post("d0", "query", "{not json")
    expect_problem(answer, 400, "JSON")


def test_unknown_field(cluster):
    body = {"kind": "status", "member": "north", "sql": "SELECT 1", "colour": 1}
    expect_problem(cluster.post("d0", "query", body), 400, "colour")


@pytest.mark.parametrize(
    ("kind", "member", "sql", "text"),
    [
        ("nothing", "north", INSERT, "unknown kind 'nothing'"),
        ("submit", "nobody", INSERT, "unknown member 'nobody'"),
        ("status", "north", INSERT, "mode read takes statements"),
        ("submit", "north", COUNT, "mode write takes statements"),
        ("note", "north", "COMMIT", "mode write takes statements"),
        ("note", "north", "CREATE TABLE t (a INT)", "mode write takes statements"),
        ("plan", "north", INSERT, "open a transaction first"),
    ],
)
def test_invalid_kind_member_or_statement(cluster, kind, member, sql, text):
    answer = cluster.query(
        "d0", kind, sql, ["rejected"], member=member, Idempotency_Key="w"
    )
    expect_problem(answer, 400, text)
    expect_nothing_ran(cluster, "rejected")


def test_unknown_database(cluster):
    url = f"http://{HOST}:{ports(cluster.daemons['d0'])['callers']}/v1/nowhere/query"
    body = {"kind": "status", "member": "north", "sql": "SELECT 1"}
    expect_problem(http_call(url, method="POST", body=body), 404, "unknown database")


def test_unknown_path(cluster):
    url = f"http://{HOST}:{ports(cluster.daemons['d0'])['callers']}/v2/grid"
    expect_problem(http_call(url), 404, "no such path")


def test_a_key_is_required_for_kinds_that_are_not_repeatable(cluster):
    answer = cluster.query("d0", "submit", INSERT, ["keyless"])
    expect_problem(answer, 400, "Idempotency-Key is required")
    expect_nothing_ran(cluster, "keyless")


def test_key_used_for_another_request(cluster):
    cluster.query("d0", "submit", INSERT, ["first"], Idempotency_Key="same")
    answer = cluster.query("d1", "submit", INSERT, ["other"], Idempotency_Key="same")
    expect_problem(answer, 422, "used for a different request")
    expect_nothing_ran(cluster, "other")


@pytest.mark.parametrize("token", ["nonsense", "A" * 43, "%%%"])
def test_forged_session_token(cluster, token):
    answer = cluster.query("d0", "status", COUNT, ["x"], Gypsum_Session=token)
    expect_problem(answer, 403, "Gypsum-Session")


def test_session_token_of_another_member(cluster):
    token = encode_token(
        Position(term=1, index=1),
        database="grid",
        member="south",
        keys=[SESSION_KEY.encode()],
    )
    answer = cluster.query("d0", "status", COUNT, ["x"], Gypsum_Session=token)
    expect_problem(answer, 403, "Gypsum-Session")


@pytest.mark.parametrize("key", ["", "another-members-key"])
def test_member_without_its_key(cluster, key):
    answer = cluster.query(
        "d0", "note", INSERT, ["thief"], member="locked", Gypsum_Member_Key=key
    )
    expect_problem(answer, 403, "not a key of member 'locked'")
    expect_nothing_ran(cluster, "thief")


def test_member_with_its_key(cluster):
    answer = cluster.query(
        "d0", "note", INSERT, ["owner"], member="locked", Gypsum_Member_Key=MEMBER_KEY
    )
    assert answer.status == 200, answer.body


def test_body_of_many_megabytes(cluster):
    huge = json.dumps({"kind": "submit", "member": "north", "sql": "x" * (8 << 20)})
    answer = cluster.post("d0", "query", huge)
    expect_problem(answer, 413, "larger than")


def test_expired_deadline(cluster):
    answer = cluster.query(
        "d0",
        "submit",
        INSERT,
        ["late"],
        Idempotency_Key="late",
        Gypsum_Deadline_Ms="-1",
    )
    expect_problem(answer, 504, "deadline was over")
    expect_nothing_ran(cluster, "late")


def test_invalid_deadline(cluster):
    answer = cluster.query("d0", "status", COUNT, ["x"], Gypsum_Deadline_Ms="soon")
    expect_problem(answer, 400, "Gypsum-Deadline-Ms")


def test_sql_error_is_reported_and_rolled_back(cluster):
    answer = cluster.query(
        "d0", "submit", "INSERT INTO nowhere VALUES (%s)", [1], Idempotency_Key="sql"
    )
    expect_problem(answer, 422, "nowhere")


def test_wrong_number_of_parameters(cluster):
    answer = cluster.query("d0", "submit", INSERT, [1, 2, 3], Idempotency_Key="many")
    expect_problem(answer, 422, "argument")


def test_unknown_transaction(cluster):
    body = {"member": "north", "sql": COUNT, "params": ["x"]}
    answer = cluster.post("d0", "transactions/d0.unknown/query", body)
    expect_problem(answer, 409, "no such transaction")


def run_daemon(path, *options):
    """Run the daemon with a settings file until it exits."""
    binary = Path(sys.executable).parent / "gypsumhitchd"
    return subprocess.run(
        [str(binary), "--settings", str(path), *options],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_invalid_settings_are_reported_in_one_line(cluster, tmp_path):
    settings = cluster.daemon_settings(0)
    settings["callers"]["port"] = "many"
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    done = run_daemon(path)
    assert done.returncode == 1
    assert "callers.port" in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_missing_settings_file(tmp_path):
    done = run_daemon(tmp_path / "absent.json")
    assert done.returncode == 1
    assert "absent.json" in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_port_in_use(cluster, tmp_path):
    settings = cluster.daemon_settings(0)
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        port = listener.getsockname()[1]
        settings["operators"]["port"] = port
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(settings))
        done = run_daemon(path)
    assert done.returncode == 1
    assert f"{HOST}:{port}" in done.stderr
    assert "Traceback" not in done.stderr


def test_settings_can_be_checked(cluster, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(cluster.daemon_settings(0)))
    done = run_daemon(path, "--check")
    assert done.returncode == 0
    assert "in order" in done.stdout
