"""Workspaces and keys as the operator writes them, and as daemons relay them."""

import json

import pytest
from msgspec import to_builtins

from gypsum_platform.entries import read_catalog, without_keys
from gypsum_platform.feeds import Feed
from gypsum_platform.object_handlers import CONFIG_NAME, ConfigHandler
from gypsum_platform.store import StoredObject
from gypsum_platform.upstream import DEFAULT_CLIENT_NAME, WireConn, WireDialer
from gypsum_policy.ratelimit import Cap
from gypsum_sessions.callers.keys import digest_of
from tests.platform.test_caller_protocol import converse
from tests.platform.test_entries import CONFIG
from tests.sessions.rig import Rig
from tests.sessions.vclock import run

NORTH = {"name": "north", "apiKeys": ["n1", "n2"], "ratePerS": 59, "burst": 40}
SOUTH = {"name": "south", "apiKeys": ["s1"]}
KEYED = {**CONFIG, "tenants": [NORTH, SOUTH]}
KEYS = {"north": ["n1"]}


def test_workspaces_are_decoded():
    catalog = read_catalog(KEYED)
    north = catalog.workspaces["north"]
    assert north.cap == Cap(rate=59, burst=40, version=7)
    assert catalog.workspaces["south"].cap is None
    assert catalog.key_workspaces[digest_of(b"n2")] == "north"
    assert catalog.key_workspaces[digest_of(b"s1")] == "south"


def test_without_the_part_callers_need_no_key():
    catalog = read_catalog(CONFIG)
    assert not catalog.requires_key(catalog.routes["orders"])


def test_with_an_empty_part_no_caller_has_a_valid_key():
    catalog = read_catalog({**CONFIG, "tenants": []})
    assert catalog.requires_key(catalog.routes["orders"])
    assert catalog.key_workspaces == {}


@pytest.mark.parametrize(
    "tenants",
    [
        [NORTH, NORTH],
        [NORTH, {"name": "south", "apiKeys": ["n1"]}],
        [{"name": "", "apiKeys": ["n1"]}],
        [{"name": "north", "apiKeys": [""]}],
        [{"name": "north", "ratePerS": -1}],
        [{"name": "north", "burst": -1}],
        [{"apiKeys": ["n1"]}],
        {"north": ["n1"]},
        ["north"],
        None,
    ],
)
def test_unusable_workspaces_make_the_whole_version_unusable(tenants):
    """The version in force stays, and the logged error contains no key."""

    async def main():
        rig = Rig(keys=KEYS)
        handler = ConfigHandler(proxy=rig.proxy)
        spec = {**CONFIG, "configVersion": 9, "tenants": tenants}
        handler.take(StoredObject(name=CONFIG_NAME, revision=5, spec=spec))
        assert rig.proxy.catalog.version == 1
        told = [line for line in rig.lines if line[2] == "unusable configuration"]
        assert len(told) == 1
        assert "n1" not in repr(told)

    run(main())


def test_relayed_configurations_have_digests_for_keys():
    """Guards against keys in messages to, and in the memory of, other daemons.

    A watcher relays the configuration. Objects were relayed as the store has them.
    """
    obj = StoredObject(name=CONFIG_NAME, revision=5, spec=KEYED)
    passed = without_keys(to_builtins(obj))
    assert not any(f'"{key}"' in json.dumps(passed) for key in ("n1", "n2", "s1"))
    assert read_catalog(passed["spec"]) == read_catalog(KEYED)
    assert without_keys(passed) == passed


def test_a_feed_relays_objects_converted_by_relay_transform():
    class Taker:
        def __init__(self):
            self.passed = None

        def take_all(self, kind, found, revision):
            self.passed = found

    relay = Taker()
    feed = Feed(
        store=None,
        kind="config",
        on_list=None,
        on_change=None,
        log=None,
        waker=None,
        relay=relay,
        relay_transform=without_keys,
    )
    feed.relay_list([StoredObject(name=CONFIG_NAME, revision=5, spec=KEYED)], 5)
    assert "apiKeys" not in json.dumps(relay.passed)


def test_a_malformed_part_stays_unusable_when_it_is_relayed():
    obj = StoredObject(name=CONFIG_NAME, revision=5, spec={**KEYED, "tenants": [7]})
    with pytest.raises(ValueError):
        read_catalog(without_keys(to_builtins(obj))["spec"])


def test_an_unknown_key_is_refused_and_the_connection_closed():
    async def main():
        rig = Rig(keys=KEYS)
        await rig.settle()
        for opening in (b"STARTUP own nope\r\n", b"STARTUP own\r\n"):
            transport = await converse(rig, [opening])
            assert transport.lines[0].startswith("ERROR AUTHFAIL")
            assert "nope" not in transport.written.decode()
            assert transport.closed
        transport = await converse(rig, [b"STARTUP own n1\r\nQUERY 1 READ a\r\n"])
        assert transport.lines[0] == "READY I -"
        assert transport.lines[2].startswith("COMPLETE")

    run(main())


def test_a_key_of_other_letters_than_ascii_works():
    async def main():
        rig = Rig(keys={"north": ["schlüssel"]})
        await rig.settle()
        transport = await converse(rig, ["STARTUP own schlüssel\r\n".encode()])
        assert transport.lines == ["READY I -"]

    run(main())


@pytest.mark.parametrize(
    ("workspace", "who"), [("north", "north"), ("", DEFAULT_CLIENT_NAME)]
)
def test_an_upstream_gets_the_workspace_at_startup(monkeypatch, workspace, who):
    async def main():
        rig = Rig()
        sent = []

        async def connect(make, host, port):
            return None, make()

        monkeypatch.setattr(rig.loop, "create_connection", connect)

        def send(conn, data):
            sent.append(data)
            fut = rig.loop.create_future()
            fut.set_result(None)
            return fut

        monkeypatch.setattr(WireConn, "send", send)
        member = rig.group.listing()[0]
        member = type(member)(
            id="u1", group="db", address="127.0.0.1:1", domain="a", slots=1
        )
        await WireDialer().dial(member, timeout=1.0, workspace=workspace)
        assert sent == [f"STARTUP db {who} u1\r\n".encode()]

    run(main())
