"""Case 2: a prepared name runs a shape that its client did not prepare."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.world import Client, run_case, running

# The last field of a line extends to its end, so a shape may hold blanks.
SHAPE = "stock"
WITH_BLANKS = "stock READ price"
ROUNDS = 5


async def prepare(world, name, shape):
    """Open a session and prepare a read under a name that all clients use."""
    client = await Client.connect(world, "front-0", "own", name)
    _, end, _ = await client.query(f"PREPARE p READ {shape}")
    assert end == "COMPLETE", end
    return client


async def execute(client, shape, expected):
    """Execute the prepared read; keep what has to run for the request."""
    _, end, _ = await client.query("EXECUTE p item7")
    expected[f"{client.name}-{client.sent}"] = (shape, "item7", end)


async def case(record, trouble):
    """Return whether each backend ran the shape that the client had prepared."""
    async with running(record, daemons=1) as world:
        expected = {}
        await asyncio.sleep(4.0)
        first = await prepare(world, "first", SHAPE)
        await execute(first, SHAPE, expected)
        other_shape = WITH_BLANKS if trouble else "price"
        other = await prepare(world, "other", other_shape)
        for _ in range(ROUNDS):
            await execute(other, other_shape, expected)
            await execute(first, SHAPE, expected)
        return judge(record, world.group, expected)


def judge(record, group, expected):
    """Return whether each run had its client's shape and item."""
    held = True
    for run in group.runs:
        shape, item, end = expected[run["request"]]
        right = run["shape"] == shape and run["item"] == item
        record("judged", **run, prepared=shape, answered=end, right=right)
        held = held and right
    return held


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
