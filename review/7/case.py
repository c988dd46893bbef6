"""A paused replica restarts, and a daemon that hears nothing of the store trusts it.

1. One daemon is partitioned from the store, silently: it hears of no lease any more.
2. The primary i-a1 goes dark for a second. Another daemon takes the lease, pauses both
   replicas and designates i-c3, which leads a second later.
3. Meanwhile the paused replica i-b2 crashes, is back at once, and receives again; i-a1
   is back too. i-a1 commits through i-b2. The daemon that is cut off dials i-b2 anew,
   takes its word and tells its clients that the commits are kept. Then i-c3 leads,
   without them.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.record import Record  # noqa: E402
from standins2.world import World, Writers, main, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Length of the dark period, of the crash, and of the partition from the store, seconds.
DARK = 1.0
CRASH = 0.1
PARTITION = 5.0
LEASE = ("gypsumhitch", "lease.kerelem")


async def run():
    """Run the case; return what was broken."""
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        world = World(
            folder=Path(folder), record=record, names=["i-a1", "i-b2", "i-c3"]
        )
        try:
            return await play(world, record)
        finally:
            await world.close()
            record("world", "all processes ended")


async def play(world, record):
    """Play the day; return what was broken."""
    await world.start(daemons=3, routes=[route("beadas", "primary")])
    writers = Writers(world, "beadas")
    writers.start(world.daemons, each=3, pause=0.05)
    while ("gypsumhitch", "members.kerelem") not in world.store.objects:
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    if TROUBLE:
        await trouble(world, record)
    else:
        await asyncio.sleep(6.0)
    await asyncio.sleep(3.0)
    writers.running = False
    await asyncio.sleep(2.0)
    return writers.lost()


async def trouble(world, record):
    """The partition from the store, the dark primary and the crash."""
    primary, crashing, _ = world.service.backends
    cut = os.environ.get("CUT", "front-3")
    await next_watch(world.wires[cut])
    record("trouble", f"{cut} is partitioned from the store")
    world.wires[cut].silent = True
    loop = asyncio.get_running_loop()
    loop.call_later(PARTITION, setattr, world.wires[cut], "silent", False)
    accepted = asyncio.Event()
    on_event = world.on_event

    def watch(event):
        if event == "accepted":
            accepted.set()
        on_event(event)

    world.service.on_event = watch
    record("trouble", f"{primary.name} is dark")
    primary.dark = True
    dark_until = loop.time() + DARK
    try:
        async with asyncio.timeout(4.0):
            await accepted.wait()
    except TimeoutError:
        record("trouble", "no failover was ordered")
    await asyncio.sleep(max(0.0, dark_until - loop.time()))
    primary.dark = False
    record("trouble", f"{primary.name} is back")
    await asyncio.sleep(0.05)
    record("trouble", f"{crashing.name} crashes")
    crashing.crash()
    await asyncio.sleep(CRASH)
    await crashing.restart()
    record("trouble", f"{crashing.name} is back")
    world.service.replicate()


async def next_watch(wire):
    """Wait until a daemon begins a watch of the daemons' own objects."""
    began = asyncio.Event()

    def on_call(data):
        if b"/api/objects/gypsumhitch?watch" in data:
            began.set()

    wire.on_call = on_call
    async with asyncio.timeout(10.0):
        await began.wait()
    await asyncio.sleep(0.2)


if __name__ == "__main__":
    main(run)
