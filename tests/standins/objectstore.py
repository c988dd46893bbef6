"""A small object store over HTTP, as the users' pages describe it, with faults."""

import asyncio
import json
from copy import deepcopy
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LIST_SIZE = 500
MAX_VALUE = 1 << 20
# Bytes that a slow link transfers at a time, and seconds for which a link stalls.
TRICKLE_BYTES = 8 << 10
STALL_SECONDS = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """A copy of a store's contents."""

    revision: int
    kinds: dict
    history: list


class ObjectStore:
    """Objects by kind and name, one increasing revision, and a history for watches.

    `refuse` is a status that every call gets; `silent` withholds every answer, `slow`
    delays it by some seconds; `lose` is how many writes take effect without an answer;
    `rate` is how many bytes a second an answer transfers, 0 for no limit; after
    `stall_after` bytes an answer stalls, 0 for never. Every answer names the `era`,
    unless that is 0.
    """

    def __init__(self):
        self.revision = 0
        self.era = 0
        self.kinds = {}
        self.history = []
        self.oldest = 0
        self.refuse = 0
        self.silent = False
        self.slow = 0.0
        self.lose = 0
        self.rate = 0
        self.stall_after = 0
        self.calls = []
        self.orders = []
        self.changed = asyncio.Event()
        self.promote = None

    def put(self, kind, name, spec):
        """Write an object unconditionally."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known["meta"]["createdRev"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "createdRev": created,
            "finalizers": [],
            "deleting": False,
        }
        obj = {"meta": meta, "spec": spec, "status": None}
        self.kinds[kind][name] = obj
        self.note(kind, obj, deleted=False)
        return obj

    def remove(self, kind, name):
        """Delete an object."""
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            self.note(kind, obj, deleted=True)
        return obj

    def note(self, kind, obj, *, deleted):
        """Record a change for watches and wake them."""
        self.history.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        """Drop the history: watches from earlier revisions get 410."""
        self.oldest = self.revision
        self.history.clear()

    def copy(self):
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            revision=self.revision,
            kinds=deepcopy(self.kinds),
            history=list(self.history),
        )

    def return_from(self, copy):
        """Restore a copy: later changes are lost and their revisions are reused."""
        self.era += 1
        self.revision = copy.revision
        self.kinds = deepcopy(copy.kinds)
        self.history = list(copy.history)

    def listen(self, port=0, more=()):
        """Serve on a port, of the system's choice if 0; returns the address."""
        sockets = bind_sockets(port, "127.0.0.1")
        shared = {"store": self}
        app = Application(
            [
                (r"/api/objects/([^/]+)", KindHandler, shared),
                (r"/api/objects/([^/]+)/([^/]+)", NameHandler, shared),
                (r"/failover", PromoteHandler, shared),
                *((path, handler, shared) for path, handler in more),
            ],
            log_function=lambda handler: None,
        )
        HTTPServer(app).add_sockets(sockets)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"


class StoreHandler(RequestHandler):
    """Base handler: faults and JSON answers."""

    def initialize(self, store):
        """Set the store."""
        self.store = store

    def name_era(self):
        """Name the store's current era in the answer."""
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))

    async def prepare(self):
        """Apply the faults."""
        self.store.calls.append((self.request.method, self.request.uri))
        if self.store.slow:
            await asyncio.sleep(self.store.slow)
        while self.store.silent:
            await asyncio.sleep(0.05)
        self.name_era()
        if self.store.refuse:
            self.set_status(self.store.refuse)
            self.finish()
        elif len(self.request.body) > MAX_VALUE:
            self.set_status(413)
            self.finish()

    def answer(self, body, status=200):
        """Answer with JSON, unless the answer is to be lost."""
        if self.request.method != "GET" and self.store.lose:
            self.store.lose -= 1
            self.request.connection.stream.close()
            self._finished = True
            return
        self.name_era()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    async def deliver(self, body):
        """Send an answer over a slow link, or one that stalls in the middle."""
        if not (self.store.rate or self.store.stall_after):
            self.answer(body)
            return
        self.name_era()
        data = json.dumps(body).encode()
        self.set_header("Content-Length", str(len(data)))
        sent = 0
        while sent < len(data):
            if self.store.stall_after and sent >= self.store.stall_after:
                await asyncio.sleep(STALL_SECONDS)
            self.write(data[sent : sent + TRICKLE_BYTES])
            await self.flush()
            sent += TRICKLE_BYTES
            if self.store.rate:
                await asyncio.sleep(TRICKLE_BYTES / self.store.rate)
        self.finish()


class KindHandler(StoreHandler):
    """Lists and watches objects of a kind, and creates them."""

    async def get(self, kind):
        """Return the objects of a kind, or their changes."""
        since = self.get_query_argument("watch", None)
        if since is not None:
            await self.watch(kind, int(since))
            return
        after = self.get_query_argument("after", "")
        names = sorted(n for n in self.store.kinds.get(kind, {}) if n > after)
        items = [self.store.kinds[kind][name] for name in names[:LIST_SIZE]]
        more = len(names) > LIST_SIZE
        body = {"items": items, "more": more, "storeRevision": self.store.revision}
        await self.deliver(body)

    async def watch(self, kind, since):
        """Changes since a revision, as soon as there is one."""
        if since > self.store.revision:
            self.answer({"error": "gone"}, 410)
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + int(self.get_query_argument("waitMs", "0")) / 1000
        while True:
            if since < self.store.oldest:
                self.answer({"error": "gone"}, 410)
                return
            events = [
                event
                for revision, changed, event in self.store.history
                if revision > since and changed == kind
            ]
            left = until - loop.time()
            if events or left <= 0:
                break
            await self.wait(left)
        await self.deliver({"events": events, "storeRevision": self.store.revision})

    async def wait(self, seconds):
        """Wait for a change."""
        try:
            async with asyncio.timeout(seconds):
                await self.store.changed.wait()
        except TimeoutError:
            return

    def post(self, kind):
        """Create an object."""
        body = json.loads(self.request.body)
        name = body["meta"]["name"]
        known = self.store.kinds.get(kind, {}).get(name)
        if known is not None:
            self.answer(known, 409)
            return
        self.answer(self.store.put(kind, name, body["spec"]))


class NameHandler(StoreHandler):
    """Reads, replaces and deletes one object."""

    def get(self, kind, name):
        """Return the object, or 404."""
        known = self.store.kinds.get(kind, {}).get(name)
        self.answer(known or {"error": "missing"}, 200 if known else 404)

    def put(self, kind, name):
        """Replace the object if it is at the given revision."""
        body = json.loads(self.request.body)
        known = self.store.kinds.get(kind, {}).get(name)
        if known is None:
            self.answer({"error": "missing"}, 404)
            return
        expected = body["meta"].get("revision", known["meta"]["revision"])
        if expected != known["meta"]["revision"]:
            self.answer(known, 409)
            return
        self.answer(self.store.put(kind, name, body["spec"]))

    def delete(self, kind, name):
        """Delete the object, if it is at the given revision."""
        known = self.store.kinds.get(kind, {}).get(name)
        expected = int(self.get_query_argument("revision", "0"))
        if known is not None and expected not in (0, known["meta"]["revision"]):
            self.answer(known, 409)
            return
        known = self.store.remove(kind, name)
        self.answer(known or {"error": "missing"}, 200 if known else 404)


class PromoteHandler(StoreHandler):
    """The platform's promotion call."""

    def post(self):
        """Record the token and holder of an order, and carry it out."""
        body = json.loads(self.request.body)
        token = int(self.request.headers["X-Fencing-Token"])
        self.store.orders.append((token, self.request.headers["X-Lease-Holder"]))
        accepted = self.store.promote(body["service"], body["id"], token)
        self.answer({}, 200 if accepted else 409)
