"""A failover that was accepted is forgotten by the daemon that finishes a takeover.

1. The primary i-a1 is to be replaced and drains. The first daemon takes the lease. Its
   handover waits for the replica i-z3, which has just crashed.
2. The store is down for a moment. The second daemon, which was about to take part,
   finds it unreachable and tries again three seconds later.
3. i-z3 is back. The first daemon pauses i-b2 and designates i-z3, which leads a second
   later. i-z3 drains: it is the next backend to be replaced.
4. Within this second the second daemon finds the lease left unfinished. It designates
   i-a1, the present primary: the platform answers 200 and changes nothing. The daemon
   takes that for the end of all earlier orders, resumes i-b2 and hands over anew: it
   pauses i-z3 and designates i-b2.
5. i-a1 commits through i-b2, and clients are told so. Then i-z3 leads, without what it
   did not receive while it was paused.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.record import Record  # noqa: E402
from standins2.world import HEARTBEAT, World, Writers, main, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Seconds after the primary began to drain: the store is down, the replica is back.
DOWN_FROM, DOWN_UNTIL = 0.4, 2.1
BACK_AT = 4.4
# The replica crashes this long before.
CRASHED_BEFORE = 0.3


async def run():
    """Run the case; return what was broken."""
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        world = World(
            folder=Path(folder), record=record, names=["i-a1", "i-b2", "i-z3"]
        )
        try:
            return await play(world, record)
        finally:
            await world.close()
            record("world", "all processes ended")


async def play(world, record):
    """Play the day; return what was broken."""
    primary, _, crashing = world.service.backends
    await world.start(daemons=2, routes=[route("beadas", "primary")])
    writers = Writers(world, "beadas")
    writers.start(world.daemons, each=3, pause=0.1)
    world.tasks.append(asyncio.create_task(report_others(world)))
    while ("gypsumhitch", "members.kerelem") not in world.store.objects:
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    if TROUBLE:
        record("trouble", f"{crashing.name} crashes")
        crashing.crash()
    await asyncio.sleep(CRASHED_BEFORE)
    record("plan", f"{primary.name} drains: it is to be replaced")
    primary.state = "draining"
    world.report()
    if TROUBLE:
        await trouble(world, record, crashing)
    await asyncio.sleep(5.0)
    writers.running = False
    await asyncio.sleep(2.0)
    return writers.lost()


async def report_others(world):
    """Reports of another service's backends, which have just started and get warm."""
    cold_ms = 60_000
    names = [f"i-other{number}" for number in range(6)]
    while True:
        for name in names:
            await asyncio.sleep(HEARTBEAT / len(names))
            cold_ms -= 200
            if not world.store_down:
                world.put_entry(name, "egyeb", "127.0.0.1:9", cold_ms)


async def trouble(world, record, crashing):
    """The store that is down, and the end of the crash."""
    await asyncio.sleep(DOWN_FROM)
    world.silence_store(True)
    await asyncio.sleep(DOWN_UNTIL - DOWN_FROM)
    world.silence_store(False)
    await asyncio.sleep(BACK_AT - DOWN_UNTIL)
    accepted = asyncio.Event()
    on_event = world.on_event

    def watch(event):
        if event == "accepted":
            accepted.set()
        on_event(event)

    world.service.on_event = watch
    record("trouble", f"{crashing.name} is back")
    await crashing.restart()
    world.service.replicate()
    world.report()
    async with asyncio.timeout(3.0):
        await accepted.wait()
    record("plan", f"{crashing.name} drains: it is to be replaced too")
    crashing.state = "draining"
    world.report()


if __name__ == "__main__":
    main(run)
