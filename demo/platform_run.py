"""Three daemons of the platform's form in half a minute: load, a dead primary, drain.

Exits 0 when every step holds, else 1 and says which did not.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.standins.platformworld import Load, world  # noqa: E402


def expect(holds, text):
    """Say that a step holds, or stop."""
    if not holds:
        sys.exit(f"FAILED: {text}")
    print(f"ok: {text}", flush=True)


async def main():
    """All steps."""
    with tempfile.TemporaryDirectory() as folder:
        async with world(folder) as made:
            load = Load(made=made)
            running = asyncio.create_task(load.run())
            await load.wait_acknowledged(200)
            expect(True, f"{len(load.acknowledged)} writes acknowledged and read back")
            made.crash("u1")
            await load.wait_acknowledged(200)
            leader = made.group.leader.id
            expect(leader != "u1", f"the primary was killed, {leader} leads")
            code = await made.stop("d0")
            await load.wait_acknowledged(100)
            expect(code == 0, "a daemon was stopped and left in order")
            load.running = False
            await running
            expect(
                load.violations() == {},
                f"nothing lost, doubled or stale: {load.violations()}",
            )
            counts = (len(load.acknowledged), len(load.refused), len(load.in_doubt))
            print("kept, refused, unclear:", *counts)


if __name__ == "__main__":
    asyncio.run(main())
