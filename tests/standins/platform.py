"""The platform's store as a process, with test switches.

Run it as `python -m tests.standins.platform --port 0`; it prints `ready PORT`.
Test switches, not part of the platform's API: `PUT /instances` sets the list,
`PUT /faults` sets `{down, slow_s, lose_put_answers}`, `GET /faults` counts calls.
"""

import argparse
import asyncio
import json
from collections import Counter

from tornado.web import RequestHandler

from gypsum_platform.client import INSTANCE_KIND, INSTANCE_NAME
from tests.standins.objectstore import ObjectStore

DOWN = 503


class SwitchHandler(RequestHandler):
    """Base of the test switches, which work despite the store's faults."""

    def initialize(self, store):
        """Set the store."""
        self.store = store


class InstancesHandler(SwitchHandler):
    """Test switch: the instance list."""

    def put(self):
        """Replace the list."""
        self.store.put(INSTANCE_KIND, INSTANCE_NAME, json.loads(self.request.body))
        self.finish({})


class FaultsHandler(SwitchHandler):
    """Test switch: the store's faults and call counts."""

    def get(self):
        """Return the number of calls by method."""
        self.finish({"calls": Counter(method for method, _ in self.store.calls)})

    def put(self):
        """Set the faults; those left out are ended."""
        faults = json.loads(self.request.body)
        self.store.refuse = DOWN if faults.get("down") else 0
        self.store.slow = faults.get("slow_s", 0.0)
        self.store.lose = faults.get("lose_put_answers", 0)
        self.finish({})


async def main(port):
    """Serve until killed."""
    store = ObjectStore()
    store.put(INSTANCE_KIND, INSTANCE_NAME, {"instances": []})
    switches = ((r"/instances", InstancesHandler), (r"/faults", FaultsHandler))
    address = store.listen(port, switches)
    print(f"ready {address.rpartition(':')[2]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    asyncio.run(main(parser.parse_args().port))
