"""Tests the `gypsumhitch` command with a running cluster."""

import json

import pytest

from tests.cluster import HOST, ports

pytestmark = pytest.mark.xdist_group("command")


def write_manifest(cluster, tmp_path, **changes):
    """Write a manifest file that differs from the cluster's manifest."""
    manifest = {**cluster.manifest(), **changes}
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(manifest))
    return str(path)


def members(*names):
    """Return members for a manifest."""
    return [{"name": name} for name in names]


def accepted_version(cluster):
    """Return the version that the platform has accepted."""
    done = cluster.command("status", "--platform", cluster.platform_url, "--json")
    return json.loads(done.stdout)["accepted"]["grid"]


def apply(cluster, path, *options):
    """Run `gypsumhitch apply`."""
    return cluster.command("apply", path, "--platform", cluster.platform_url, *options)


def test_check_names_the_invalid_fields(cluster, tmp_path):
    manifest = cluster.manifest()
    manifest["upstreams"][1]["slots"] = 0
    manifest["colour"] = "blue"
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(manifest))
    done = cluster.command("check", str(path))
    assert done.returncode == 1
    assert "upstreams.1.slots" in done.stderr
    assert "colour" in done.stderr
    assert "Traceback" not in done.stderr


def test_check_refuses_duplicate_names(cluster, tmp_path):
    path = write_manifest(cluster, tmp_path, members=members("north", "north"))
    done = cluster.command("check", path)
    assert done.returncode == 1
    assert "'north' is listed twice" in done.stderr


def test_diff_shows_what_apply_would_change(cluster, tmp_path):
    path = write_manifest(cluster, tmp_path, members=members("north", "east"))
    done = cluster.command("diff", path, "--platform", cluster.platform_url)
    assert done.returncode == 5
    assert "+ members[east].name: east" in done.stdout


def test_apply_comes_into_force_on_every_daemon(cluster, tmp_path):
    path = write_manifest(cluster, tmp_path, members=members("north", "south", "west"))
    before = accepted_version(cluster)
    done = apply(cluster, path)
    assert done.returncode == 0, done.stderr
    assert accepted_version(cluster) == before + 1
    cluster.wait_in_force()
    answer = cluster.query("d2", "status", "SELECT 1", member="west")
    assert answer.status == 200


def test_apply_without_differences_changes_nothing(cluster, tmp_path):
    path = write_manifest(cluster, tmp_path, members=members("north", "south", "a"))
    apply(cluster, path)
    before = accepted_version(cluster)
    done = apply(cluster, path)
    assert done.returncode == 0
    assert "unchanged" in done.stdout
    assert accepted_version(cluster) == before


def test_conflict_shows_both_versions(cluster, tmp_path):
    path = write_manifest(cluster, tmp_path, members=members("north", "south", "b"))
    before = accepted_version(cluster)
    done = apply(cluster, path, "--expect", str(before - 1))
    assert done.returncode == 3
    assert f"expected version {before - 1}" in done.stderr
    assert f"holds version {before}" in done.stderr
    assert accepted_version(cluster) == before


def test_a_lost_response_is_resolved_by_reading_back(cluster, tmp_path):
    """Guards against a failure reported for a manifest that came into force.

    The platform stores the manifest but its response is lost, which must not be
    treated as a refusal.
    """
    path = write_manifest(cluster, tmp_path, members=members("north", "south", "c"))
    before = accepted_version(cluster)
    cluster.set_faults(lose_put_answers=1)
    done = apply(cluster, path)
    cluster.set_faults()
    assert done.returncode == 0, done.stderr
    assert accepted_version(cluster) == before + 1


def test_unavailable_platform_is_reported(cluster, tmp_path):
    path = write_manifest(cluster, tmp_path, members=members("north", "south", "d"))
    cluster.set_faults(down=True)
    done = apply(cluster, path)
    cluster.set_faults()
    assert done.returncode == 4
    assert "Traceback" not in done.stderr


def test_group_is_changed_one_upstream_at_a_time(cluster, tmp_path):
    manifest = cluster.manifest()
    manifest["upstreams"] = manifest["upstreams"][:1]
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(manifest))
    done = apply(cluster, str(path))
    assert done.returncode == 1
    assert "one at a time" in done.stderr


def test_explain_shows_the_primary(cluster):
    home = cluster.home()[0]
    address = f"{HOST}:{ports(cluster.daemons[home])['operators']}"
    done = cluster.command("explain", "grid", "--daemon", address)
    assert done.returncode == 0, done.stderr
    assert "primary: u1 at term 1" in done.stdout
    data = json.loads(
        cluster.command("explain", "grid", "--daemon", address, "--json").stdout
    )
    assert data["home"]["database"] == "grid"


def test_explain_of_an_unknown_database(cluster):
    address = f"{HOST}:{ports(cluster.daemons['d0'])['operators']}"
    done = cluster.command("explain", "nowhere", "--daemon", address)
    assert done.returncode == 4
    assert "unknown database 'nowhere'" in done.stderr


def test_metrics_have_histograms_for_members_and_kinds(cluster):
    cluster.query("d0", "status", "SELECT 1", member="north")
    text = cluster.metrics("d0")
    assert 'gypsum_request_seconds_bucket{database="grid",kind="status"' in text
    assert 'member="north"' in text
    home = cluster.home()[0]
    assert "gypsum_replica_lag_ms" in cluster.metrics(home)
