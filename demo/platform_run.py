"""Demo of three platform daemons in half a minute: load, a killed primary, a drain.

Exits 0 if every step succeeds, else 1 with the step that failed.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.standins.platformworld import Load, world  # noqa: E402


def expect(condition, text):
    """Print that a step succeeded, or exit with the failure."""
    if not condition:
        sys.exit(f"FAILED: {text}")
    print(f"ok: {text}", flush=True)


async def main():
    """Run all steps."""
    with tempfile.TemporaryDirectory() as folder:
        async with world(folder) as platform:
            load = Load(made=platform)
            load_task = asyncio.create_task(load.run())
            await load.wait_acknowledged(200)
            expect(True, f"{len(load.acknowledged)} writes acknowledged and read back")
            platform.crash("u1")
            await load.wait_acknowledged(200)
            leader = platform.group.leader.id
            expect(leader != "u1", f"the primary was killed, {leader} leads")
            code = await platform.stop("d0")
            await load.wait_acknowledged(100)
            expect(code == 0, "a daemon was stopped and left in order")
            load.running = False
            await load_task
            expect(
                load.violations() == {},
                f"nothing lost, doubled or stale: {load.violations()}",
            )
            counts = (len(load.acknowledged), len(load.refused), len(load.in_doubt))
            print("kept, refused, unclear:", *counts)


if __name__ == "__main__":
    asyncio.run(main())
