"""A RESUME that is carried out late ends the pause that a later takeover relies on.

1. The primary i-a1 goes dark for 1.6 seconds. The daemon that takes over orders PAUSE
   at both replicas; i-b2 leaves it unanswered. The primary is back, so the daemon gives
   up and orders RESUME; i-b2 leaves the first of these orders unanswered too.
2. Seconds later i-a1 is partitioned from its replicas. The daemon pauses both replicas
   and designates i-c3. Before the failover takes effect, i-b2 carries out the late
   RESUME, and the partition ends. i-a1 commits through i-b2, and the daemons
   acknowledge it to their clients. Then i-c3 leads, without these commits.
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
# Length of the dark period, and the bounds of a late order, seconds.
DARK = 1.6
LATE_MIN, LATE_MAX = 2.0, 12.0


class Lateness:
    """Decides which orders i-b2 carries out late."""

    def __init__(self, world, backend):
        self.world = world
        self.backend = backend
        self.on = False
        self.seen = {"PAUSE": 0, "RESUME": 0}
        self.resume_sent_at = None

    def delays(self, word, rest):
        """Leave two PAUSE orders and one RESUME unanswered."""
        if not self.on or word not in self.seen:
            return False
        self.seen[word] += 1
        loop = asyncio.get_running_loop()
        if word == "PAUSE" and self.seen[word] <= 2:
            loop.call_later(LATE_MAX - 1, self.carry_out, word, rest)
            return True
        if word == "RESUME" and self.seen[word] == 1:
            self.resume_sent_at = loop.time()
            return True
        return False

    def carry_out(self, word, rest=""):
        """Carry out a late order."""
        late = word
        self.world.record(self.backend.name, f"now carries out a late {late}")
        self.world.service.carry_out(self.backend, word, rest)


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
    primary, late, heir = world.service.backends
    await world.start(daemons=3, routes=[route("beadas", "primary")])
    writers = Writers(world, "beadas")
    writers.start(world.daemons, each=3, pause=0.05)
    while ("gypsumhitch", "members.kerelem") not in world.store.objects:
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    lateness = Lateness(world, late)
    late.delays = lateness.delays
    if TROUBLE:
        await trouble(world, lateness, primary)
    else:
        await asyncio.sleep(12.0)
    await asyncio.sleep(3.0)
    writers.running = False
    await asyncio.sleep(2.0)
    return writers.lost()


async def trouble(world, lateness, primary):
    """The dark primary, the late orders and the partition."""
    record, service = world.record, world.service
    loop = asyncio.get_running_loop()
    lateness.on = True
    record("trouble", f"{primary.name} is dark")
    primary.dark = True
    await asyncio.sleep(DARK)
    primary.dark = False
    record("trouble", f"{primary.name} is back")
    service.replicate()
    until = loop.time() + 5.0
    while lateness.resume_sent_at is None:
        if loop.time() > until:
            record("trouble", "no RESUME was ordered")
            return
        await asyncio.sleep(0.01)
    await asyncio.sleep(LATE_MIN)
    if service.primary is not primary:
        record("trouble", "another backend leads already")
        return
    accepted = asyncio.Event()
    service.on_event = lambda event: on_event(world, accepted, event)
    record("trouble", f"{primary.name} is partitioned from its replicas")
    primary.cut = True
    try:
        async with asyncio.timeout(4.5):
            await accepted.wait()
    except TimeoutError:
        record("trouble", "no failover was ordered")
    await asyncio.sleep(0.2)
    late_by = loop.time() - lateness.resume_sent_at
    record("trouble", f"the RESUME is {late_by:.1f} s late, the partition ends")
    if LATE_MIN <= late_by <= LATE_MAX:
        lateness.carry_out("RESUME")
    primary.cut = False
    service.replicate()


def on_event(world, accepted, event):
    """Note an accepted failover; report changed roles."""
    if event == "accepted":
        accepted.set()
    world.on_event(event)


if __name__ == "__main__":
    main(run)
