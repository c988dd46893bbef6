"""Tests `gypsumhitch explain-request` with log lines."""

import json

from gypsum_cli.explain_request import ExplainRequest, explain_request, trace_request

BASE = "2026-05-01T10:00:0"


def line(second, part, event, **fields):
    """Return a log line."""
    fields = {"daemon": "d1", "part": part, "event": event, **fields}
    return json.dumps({"time": f"{BASE}{second}.000+00:00", **fields})


LINES = [
    line(0, "leader", "found", group="g", upstream="u1"),
    line(1, "leader", "lost", group="other", upstream="x"),
    line(2, "leader", "lost", group="g", upstream="u1"),
    line(3, "write", "not sent", request="r1", error="acquire: u1"),
    line(3, "request", "answered", request="r2", group="g", ms=4.0, upstreams=["u2"]),
    line(
        4,
        "request",
        "refused",
        request="r1",
        group="g",
        refusal="busy",
        detail="not run, the group has no proven primary",
        upstreams=["u1"],
    ),
    line(5, "takeover", "promoting", group="g", upstream="u2"),
]


def run(tmp_path, request, capsys, text=None):
    """Run the subcommand with a log file; return the exit code and the output."""
    path = tmp_path / "log"
    path.write_text("\n".join(text or LINES))
    code = explain_request(ExplainRequest(request=request, logs=[path]))
    return code, capsys.readouterr()


def test_a_refused_write_is_shown_with_its_cause(tmp_path, capsys):
    code, out = run(tmp_path, "r1", capsys)
    assert code == 0
    assert "has not run: not run, the group has no proven primary" in out.out
    assert "leader: lost group=g" in out.out
    assert "takeover: promoting" in out.out
    assert "group=other" not in out.out


def test_prefixes_and_invalid_lines_are_skipped(tmp_path, capsys):
    text = ["noise", "{broken", *(f"  1.5 d1 {item}" for item in LINES)]
    code, out = run(tmp_path, "r2", capsys, text)
    assert code == 0
    assert "answered in 4.0 ms" in out.out


def test_an_unknown_request_is_an_error(tmp_path, capsys):
    code, out = run(tmp_path, "nobody", capsys)
    assert code == 1
    assert "no event of request nobody" in out.err


def test_a_request_without_lines_has_no_events():
    trace = trace_request("r", [])
    assert trace.events == []


def test_the_owners_events_are_shown_with_the_request():
    lines = [
        {"time": f"{BASE}1.000+00:00", "daemon": "d2", "part": "read"}
        | {"event": "attempt failed", "request": "r", "upstream": "u1"},
        {"time": f"{BASE}2.000+00:00", "daemon": "d1", "part": "request"}
        | {"event": "refused", "request": "r", "group": "g", "owner": "d2"}
        | {"refusal": "busy", "detail": "not run"},
        {"time": f"{BASE}2.500+00:00", "daemon": "d2", "part": "leader"}
        | {"event": "lost", "group": "g"},
        {"time": f"{BASE}2.600+00:00", "daemon": "d3", "part": "leader"}
        | {"event": "lost", "group": "g"},
    ]
    trace = trace_request("r", lines)
    assert trace.final_event["daemon"] == "d1"
    assert [line["daemon"] for line in trace.context_events] == ["d2"]


def test_the_configuration_is_shown_with_its_age(tmp_path, capsys):
    """Guards against an outdated configuration that can't be recognized in the output.

    A daemon that is behind refuses an existing route as unknown. Without the time since
    the version was last confirmed, this looks like a request with a wrong name.
    """
    text = [
        line(
            4,
            "request",
            "refused",
            request="r1",
            refusal="busy",
            detail="not run",
            version=12,
            version_age_ms=9400,
        )
    ]
    _, out = run(tmp_path, "r1", capsys, text)
    expected = "It used configuration 12, confirmed as the newest 9.4 s before"
    assert expected in out.out


def refusal_line(refusal, detail):
    """Return the log line of a workspace's refused request."""
    fields = {"request": "r1", "workspace": "north"}
    return line(2, "request", "refused", refusal=refusal, detail=detail, **fields)


def test_a_refusal_beyond_a_cap_is_shown_with_the_workspaces_events(tmp_path, capsys):
    text = [
        line(1, "usage", "over its cap", workspace="north", version=7),
        line(1, "usage", "over its cap", workspace="south", version=7),
        refusal_line("busy", "not run, beyond the workspace's cap"),
    ]
    code, out = run(tmp_path, "r1", capsys, text)
    assert code == 0
    assert "has not run: not run, beyond the workspace's cap" in out.out
    assert "workspace=north version=7" in out.out
    assert "south" not in out.out


def test_a_withdrawn_key_is_shown_with_its_version(tmp_path, capsys):
    text = [
        line(1, "proxy", "key withdrawn", workspace="north", version=9),
        refusal_line("unknown_key", "not run, the key is not in force any more"),
    ]
    code, out = run(tmp_path, "r1", capsys, text)
    assert code == 0
    assert "its caller's key is no longer valid" in out.out
    assert "key withdrawn workspace=north version=9" in out.out


def test_an_owner_that_was_passed_over_is_named_with_its_wait(tmp_path, capsys):
    text = [
        line(
            1,
            "request",
            "answered",
            request="r3",
            group="g",
            ms=40.0,
            owner="d2",
            passed_over="d7",
            passed_over_wait_ms=310,
        )
    ]
    _, out = run(tmp_path, "r3", capsys, text)
    assert "Its usual owner d7 had no room" in out.out
    assert "310 ms" in out.out


def test_a_statement_sent_to_a_leaving_upstream_is_shown_with_its_news(
    tmp_path, capsys
):
    """Guards against a late statement whose trace lacks what was known."""
    sent = line(
        1,
        "group",
        "sent to an upstream that leaves or is missing",
        request="r3",
        upstream="u1",
        leaving_ms=5200,
        missing_ms=None,
        source="takeover",
        revision="17",
    )
    done = line(2, "request", "answered", request="r3", group="g", ms=4.0)
    _, out = run(tmp_path, "r3", capsys, [sent, done])
    assert "d1 knew u1 to be leaving for 5.2 s" in out.out
    assert "(entry of revision 17 from takeover)" in out.out


def test_a_wait_for_absent_members_is_named(tmp_path, capsys):
    wait = line(
        0,
        "takeover",
        "waiting for departed members",
        daemon="d2",
        group="g",
        departed=["u1", "u3"],
        longest="1.5",
    )
    refused = line(9, "request", "refused", request="r", group="g", refusal="busy")
    _, out = run(tmp_path, "r", capsys, [wait, refused])
    assert "d2 waited for u1, u3 to come back" in out.out
    for end in (
        line(5, "takeover", "promoting", daemon="d2", group="g", upstream="u1"),
        line(5, "leader", "found", daemon="d2", group="g", upstream="u1"),
    ):
        _, out = run(tmp_path, "r", capsys, [wait, end, refused])
        assert "waited for" not in out.out
