"""End-to-end tests with daemon and upstream processes."""

import pytest

INSERT = "INSERT INTO requests (applicant, status) VALUES (%s, 'filed')"
COUNT = "SELECT COUNT(*) FROM requests WHERE applicant = %s"


pytestmark = pytest.mark.xdist_group("process")


def test_a_write_is_visible_through_every_daemon(cluster):
    wrote = cluster.query("d0", "submit", INSERT, ["anna"], Idempotency_Key="a1")
    assert wrote.status == 200, wrote.body
    for daemon in cluster.daemons:
        read = cluster.query(daemon, "status", COUNT, ["anna"])
        assert read.body["rows"] == [[1]]


def test_a_key_runs_once_through_two_daemons(cluster):
    first = cluster.query("d0", "submit", INSERT, ["bela"], Idempotency_Key="b1")
    second = cluster.query("d1", "submit", INSERT, ["bela"], Idempotency_Key="b1")
    assert not first.body["replayed"]
    assert second.body["replayed"]
    assert second.body["affected"] == 1
    read = cluster.query("d2", "review", COUNT, ["bela"])
    assert read.body["rows"] == [[1]]
