"""Decoding of the operator's configuration and the upstreams' entries."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import ValidationError

from gypsum_platform.entries import read_catalog, read_member
from gypsum_platform.store import StoredObject, read_change, read_object
from gypsum_sessions.catalog import ReadRule

CONFIG = {
    "configVersion": 7,
    "routes": [
        {
            "name": "r-1",
            "databaseName": "orders",
            "pathPrefix": "/",
            "routeType": "bounded_staleness",
            "timeoutMs": 3000,
            "targetLatencyMs": 800,
            "priority": 2,
            "service": "group-1",
            "maxStalenessMs": 1500,
        },
        {
            "name": "r-2",
            "databaseName": "desk",
            "routeType": "primary",
            "timeoutMs": 1000,
            "targetLatencyMs": 200,
            "service": "group-1",
            "maxStalenessMs": 9999,
        },
    ],
    "services": [{"name": "group-1", "maxConns": 34, "syncReplicas": 1, "new": 1}],
    "limits": {"txIdleMs": 3000},
}


def test_the_configuration_is_decoded():
    catalog = read_catalog(CONFIG)
    route = catalog.routes["orders"]
    assert catalog.version == 7
    assert route.rule is ReadRule.BOUNDED
    assert (route.max_age, route.statement_timeout) == (1.5, 3.0)
    assert catalog.groups["group-1"].max_connections == 34
    assert catalog.transaction_idle == 3.0


def test_a_primary_route_allows_no_age():
    assert read_catalog(CONFIG).routes["desk"].max_age == 0.0


@pytest.mark.parametrize("name", ["configVersion", "routes", "services", "limits"])
def test_a_configuration_that_lacks_a_part_is_unusable(name):
    with pytest.raises(KeyError):
        read_catalog({key: value for key, value in CONFIG.items() if key != name})


VALID_ENTRY = {
    "service": "group-1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "configVersion": "v1",
    "capacity": 5,
    "state": "draining",
    "coldRemainingMs": 0,
    "dbRole": "primary",
    "sequence": 4,
}
REQUIRED = ["service", "address", "zone", "capacity", "state", "dbRole"]


def entry(**changes):
    """An entry with some fields changed."""
    spec = {**VALID_ENTRY, **changes}
    return StoredObject(name="i-1", revision=9, created=4, spec=spec)


def test_an_upstreams_entry_is_decoded():
    member = read_member(entry())
    assert (member.joined, member.changed) == (4, 9)
    assert (member.id, member.slots) == ("i-1", 5)
    assert member.leads and member.leaving


def test_a_restarted_upstream_is_another_member():
    first, second = read_member(entry(born=5)), read_member(entry(born=6))
    assert first.id != second.id
    assert first.stable_name == second.stable_name == "i-1"


@pytest.mark.parametrize("name", REQUIRED)
def test_an_entry_that_lacks_a_field_is_unusable(name):
    obj = entry()
    del obj.spec[name]
    with pytest.raises(ValidationError):
        read_member(obj)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("capacity", True),
        ("capacity", "5"),
        ("capacity", float("nan")),
        ("capacity", -1),
        ("capacity", 0),
        ("address", "nowhere"),
        ("address", "10.0.0.9"),
        ("address", "10.0.0.9:8080\r\nQUERY"),
        ("state", "resting"),
        ("dbRole", "witness"),
        ("dbRole", None),
        ("service", ""),
        ("service", "a b"),
        ("born", 1.5),
        ("born", "1"),
        ("born", True),
        ("born", -1),
    ],
)
def test_an_entry_with_a_wrong_field_is_unusable(name, value):
    with pytest.raises(ValidationError):
        read_member(entry(**{name: value}))


ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=True)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(changes=st.dictionaries(st.sampled_from([*REQUIRED, "born"]), ANY_JSON))
def test_any_entry_is_decoded_or_refused(changes):
    try:
        member = read_member(entry(**changes))
    except ValidationError:
        return
    assert type(member.slots) is int and member.slots > 0
    assert type(member.born) is int


@given(item=ANY_JSON)
def test_any_listed_item_is_an_object_or_ignored(item):
    obj = read_object(item)
    assert obj is None or isinstance(obj.name, str)
    change = read_change({"object": item, "deleted": item})
    assert change is None or isinstance(change.deleted, bool)
