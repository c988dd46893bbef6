"""A takeover that ordered nothing marks the lease settled while an older order is out.

1. The primary i-a1 goes dark. A daemon takes the lease, pauses both replicas and
   designates i-c3. The call gets no answer; the platform carries it out ten seconds
   later. The daemon is killed, and the replica i-b2 crashes.
2. The next holder of the lease waits for i-b2. The primary is back first: there is no
   reason any more, and the holder marks its lease as settled. It has made no failover
   call, so the platform has not seen its token.
3. i-b2 is back and receives; i-c3 stays paused. Clients write for some seconds.
4. The platform carries out the first call: its fence is the highest that it has seen.
   i-c3 leads without anything since it was paused.
"""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.record import Record  # noqa: E402
from standins2.world import World, Writers, main, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The late call is carried out after this many seconds; the pages allow 2 to 12.
LATE_BY = 10.0
# A killed process starts again after this, seconds.
RESTART = 1.0
# The primary is back this long after the next daemon has taken the lease; the replica
# this long after the primary.
PRIMARY_BACK, REPLICA_BACK = 0.5, 0.4
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
    writers.start(world.daemons, each=3, pause=0.1)
    while ("gypsumhitch", "members.kerelem") not in world.store.objects:
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    if TROUBLE:
        await trouble(world, record)
    await asyncio.sleep(LATE_BY + 3.0)
    writers.running = False
    await asyncio.sleep(2.0)
    return writers.lost()


async def trouble(world, record):
    """The dark primary, the late call, the kill and the crash."""
    primary, crashing, _ = world.service.backends
    loop = asyncio.get_running_loop()
    unanswered = asyncio.Event()
    world.store.unanswered_failovers = 1
    world.store.late_by = LATE_BY
    world.store.on_unanswered = unanswered.set
    record("trouble", f"{primary.name} is dark")
    primary.dark = True
    began = loop.time()
    async with asyncio.timeout(6.0):
        await unanswered.wait()
    holder = world.store.objects[LEASE]["spec"]["holder"]
    world.signal(holder, signal.SIGKILL)
    record("trouble", f"{crashing.name} crashes")
    crashing.crash()
    crashed = loop.time()
    await asyncio.sleep(RESTART)
    await world.start_daemon(holder)
    while world.store.objects[LEASE]["spec"]["token"] < 2:
        await asyncio.sleep(0.01)
        if loop.time() > began + 6.0:
            record("trouble", "nobody takes the lease")
            break
    await asyncio.sleep(PRIMARY_BACK)
    primary.dark = False
    record("trouble", f"{primary.name} is back after {loop.time() - began:.2f} s")
    world.service.replicate()
    await asyncio.sleep(REPLICA_BACK)
    await crashing.restart()
    record("trouble", f"{crashing.name} is back after {loop.time() - crashed:.2f} s")
    world.report()
    world.service.replicate()


if __name__ == "__main__":
    main(run)
