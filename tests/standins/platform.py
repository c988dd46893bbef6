"""A stand-in of the platform: object API, watches, instance list, faults.

Run it as `python -m tests.standins.platform --port 0`; it prints `ready PORT`.
Test switches, not part of the platform's API: `PUT /instances` sets the list,
`PUT /faults` sets `{down, slow_s, lose_put_answers}`.
"""

import argparse
import asyncio
import json
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

MAX_WAIT = 30.0
MAX_VALUE = 1 << 20


@dataclass
class Stored:
    """One object and the revision of its last change."""

    kind: str
    name: str
    version: int
    revision: int
    body: str

    def as_json(self):
        """The object as the API shows it."""
        return {"name": self.name, "version": self.version, "body": self.body}


@dataclass
class Faults:
    """What is wrong with the platform now."""

    down: bool = False
    slow_s: float = 0.0
    lose_put_answers: int = 0


@dataclass
class Store:
    """Everything the platform holds."""

    objects: dict = field(default_factory=dict)
    instances: list = field(default_factory=list)
    list_revision: int = 1
    revision: int = 0
    faults: Faults = field(default_factory=Faults)
    calls: dict = field(default_factory=dict)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def listing(self, kind, since=0):
        """Objects of a kind that changed after a revision."""
        found = [
            item.as_json()
            for item in self.objects.values()
            if item.kind == kind and item.revision > since
        ]
        return {"revision": self.revision, "objects": found}

    async def put(self, kind, name, body, expect):
        """Write if the version is as expected; tells whether it was."""
        current = self.objects.get((kind, name))
        version = current.version if current else 0
        if version != expect:
            return False, current or Stored(kind, name, 0, 0, "")
        self.revision += 1
        stored = Stored(kind, name, version + 1, self.revision, body)
        self.objects[(kind, name)] = stored
        async with self.changed:
            self.changed.notify_all()
        return True, stored


class StoreHandler(RequestHandler):
    """What all handlers share: the store and its faults."""

    def initialize(self, store):
        self.store = store

    async def prepare(self):
        name = type(self).__name__
        self.store.calls[name] = self.store.calls.get(name, 0) + 1
        if self.store.faults.slow_s:
            await asyncio.sleep(self.store.faults.slow_s)
        if self.store.faults.down:
            self.set_status(503)
            self.finish({"detail": "the platform is down"})


class ObjectHandler(StoreHandler):
    """One object."""

    def get(self, kind, name):
        stored = self.store.objects.get((kind, name))
        if stored is None:
            self.set_status(404)
            self.finish({"detail": "no such object"})
            return
        self.finish(stored.as_json())

    async def put(self, kind, name):
        expect = int(self.get_query_argument("expect"))
        body = self.request.body.decode()
        if len(body) > MAX_VALUE:
            self.set_status(413)
            self.finish({"detail": "the value is too large"})
            return
        accepted, stored = await self.store.put(kind, name, body, expect)
        if self.store.faults.lose_put_answers:
            self.store.faults.lose_put_answers -= 1
            self.request.connection.stream.close()
            return
        self.set_status(200 if accepted else 409)
        self.finish(stored.as_json())


class ListHandler(StoreHandler):
    """All objects of a kind."""

    def get(self, kind):
        self.finish(self.store.listing(kind))


class WatchHandler(StoreHandler):
    """Changes after a revision, as a long poll."""

    async def get(self, kind):
        since = int(self.get_query_argument("since"))
        wait = min(MAX_WAIT, float(self.get_query_argument("wait")))
        end = asyncio.get_running_loop().time() + wait
        while not self.store.listing(kind, since)["objects"]:
            left = end - asyncio.get_running_loop().time()
            try:
                async with self.store.changed:
                    await asyncio.wait_for(self.store.changed.wait(), max(0.01, left))
            except TimeoutError:
                break
        if self.store.faults.down:
            self.set_status(503)
        self.finish(self.store.listing(kind, since))


class InstancesHandler(StoreHandler):
    """The instance list; PUT is a test switch."""

    def get(self):
        self.finish(
            {
                "revision": self.store.list_revision,
                "instances": self.store.instances,
            }
        )

    def put(self):
        self.store.instances = json.loads(self.request.body)["instances"]
        self.store.list_revision += 1
        self.finish({})


class FaultsHandler(RequestHandler):
    """Test switch: what is wrong, and how many calls came."""

    def initialize(self, store):
        self.store = store

    def get(self):
        self.finish({"calls": self.store.calls})

    def put(self):
        self.store.faults = Faults(**json.loads(self.request.body))
        self.finish({})


def make_application(store):
    """The platform's application."""
    shared = {"store": store}
    return Application(
        [
            (r"/objects/([a-z]+)/([a-z0-9_.-]+)", ObjectHandler, shared),
            (r"/objects/([a-z]+)", ListHandler, shared),
            (r"/watch/([a-z]+)", WatchHandler, shared),
            (r"/instances", InstancesHandler, shared),
            (r"/faults", FaultsHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def main(port):
    """Serve until killed."""
    server = HTTPServer(make_application(Store()))
    sockets = bind_sockets(port, "127.0.0.1")
    server.add_sockets(sockets)
    print(f"ready {sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    asyncio.run(main(parser.parse_args().port))
