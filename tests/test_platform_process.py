"""The platform's daemons as processes: kills, a dead primary, a drain, a lost store."""

import asyncio
import json
import signal

import pytest

from tests.standins.platformworld import Client, Load, configuration, world

pytestmark = pytest.mark.xdist_group("platform processes")


def run_under_load(tmp_path, steps):
    """Run steps under load; nothing may be broken afterwards."""

    async def main():
        async with world(tmp_path) as made:
            load = Load(made=made)
            running = asyncio.create_task(load.run())
            await load.wait_acknowledged(50)
            await steps(made, load)
            load.running = False
            await running
            assert load.violations() == {}
            return load

    return asyncio.run(main())


def test_a_dead_primary_is_replaced_under_load(tmp_path):
    async def steps(made, load):
        made.crash("u1")
        await load.wait_acknowledged(100)
        assert made.group.leader.id != "u1"

    run_under_load(tmp_path, steps)


def test_daemons_are_killed_and_drained_under_load(tmp_path):
    async def steps(made, load):
        await made.stop("d0", signal.SIGKILL)
        await load.wait_acknowledged(50)
        await made.start_daemon("d0")
        await made.wait_ready("d0")
        assert await made.stop("d1") == 0
        await load.wait_acknowledged(50)

    run_under_load(tmp_path, steps)


def test_a_configuration_written_during_an_outage_is_applied(tmp_path):
    async def steps(made, load):
        made.store.refuse = 503
        await load.wait_acknowledged(50)
        made.store.put("config", "main", configuration(version=9))
        made.store.refuse = 0
        await load.wait_acknowledged(50)

    run_under_load(tmp_path, steps)
    texts = (tmp_path / "d0.log").read_text().splitlines()
    # Every line is JSON, also those of the libraries.
    lines = [json.loads(text) for text in texts]
    versions = [
        line["version"] for line in lines if line["event"] == "configuration in force"
    ]
    assert versions == [1, 9]


def test_unknown_databases_are_refused(tmp_path):
    async def main():
        async with world(tmp_path, daemons=1) as made:
            with pytest.raises(ConnectionError):
                await Client.connect(made.ports["d0"][0], "nobody", "c")

    asyncio.run(main())
