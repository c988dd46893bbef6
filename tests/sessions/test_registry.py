"""The list of daemons is ordered once for many changes."""

from gypsum_core.placement import Placement
from gypsum_sessions.catalog import GroupSpec
from gypsum_sessions.daemons.registry import DaemonEntry, DaemonRegistry

SPEC = GroupSpec(name="db", max_connections=34, sync_replicas=1)
FLEET = 300


def test_a_burst_of_entries_is_ordered_once(monkeypatch):
    """Guards against 300 starting daemons that use all of their CPU time for seconds.

    Each daemon hears of all others one by one. Each entry reordered the daemons of its
    failure domain, which takes five milliseconds for a hundred daemons.
    """
    updates = []
    update = Placement.update
    monkeypatch.setattr(
        Placement,
        "update",
        lambda self, daemons: updates.append(1) or update(self, daemons),
    )
    daemons = DaemonRegistry(own=DaemonEntry(id="d0", domain="a"))
    for number in range(1, FLEET):
        daemons.add(DaemonEntry(id=f"d{number}", domain="abc"[number % 3]))
    assert len(daemons.owners(SPEC)) == daemons.owner_count(SPEC)
    assert len(updates) == 1


def test_every_change_is_seen_by_the_next_call():
    daemons = DaemonRegistry(own=DaemonEntry(id="d0", domain="a"))
    assert daemons.owners(SPEC) == ["d0"]
    daemons.add(DaemonEntry(id="d1", domain="b"))
    assert set(daemons.owners(SPEC)) == {"d0", "d1"}
    daemons.discard("d1")
    assert daemons.owners(SPEC) == ["d0"]
    assert daemons.watchers() == ["d0"]
