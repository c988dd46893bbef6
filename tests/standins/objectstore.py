"""An object store over HTTP with fault injection, after the users' API pages."""

import asyncio
import json
from copy import deepcopy
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LIST_SIZE = 500
MAX_VALUE = 1 << 20
# Bytes written at a time over a slow link, and seconds for which a stalled answer
# sends nothing.
TRICKLE_BYTES = 8 << 10
STALL_SECONDS = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """A snapshot of a store, to restore from."""

    revision: int
    kinds: dict
    history: list


class ObjectStore:
    """Objects by kind and name, one increasing revision, a history for watches.

    Faults: `refuse` is an HTTP status that every call gets, 0 for none; `silent` blocks
    every answer, `slow` delays it by that many seconds; `lose` is the number of writes
    that are executed but not answered; `rate` limits list and watch answers to bytes
    per second, 0 for no limit; `stall_after` is the number of bytes after which such an
    answer stalls, 0 for never. Every answer names the `era`, unless that is 0.
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
        """Create or replace an object unconditionally; return it."""
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
        """Delete an object; return it, or None if there was none."""
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            self.note(kind, obj, deleted=True)
        return obj

    def note(self, kind, obj, *, deleted):
        """Append a change to the history and wake the watches."""
        self.history.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        """Drop the history: watches from an earlier revision get 410."""
        self.oldest = self.revision
        self.history.clear()

    def copy(self):
        """Return a snapshot for `return_from`."""
        return StoreCopy(
            revision=self.revision,
            kinds=deepcopy(self.kinds),
            history=list(self.history),
        )

    def return_from(self, copy):
        """Restore a snapshot: later changes are lost and their revisions are reused."""
        self.era += 1
        self.revision = copy.revision
        self.kinds = deepcopy(copy.kinds)
        self.history = list(copy.history)

    def listen(self, port=0, more=()):
        """Serve on a port, an ephemeral one if 0; return the address.

        `more` are further (path, handler) pairs.
        """
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
    """Base of the handlers: applies the faults and answers with JSON."""

    def initialize(self, store):
        """Set the store to serve."""
        self.store = store

    def name_era(self):
        """Set the header with the era at the time of the answer."""
        if self.store.era:
            self.set_header("Store-Era", str(self.store.era))

    async def prepare(self):
        """Apply the faults that precede an answer; refuse bodies over MAX_VALUE."""
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
        """Answer with JSON; while `lose` is set, close the connection of a write."""
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
        """Answer at the configured rate, stalling after `stall_after` bytes."""
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
    """Lists and watches a kind, and creates objects of it."""

    async def get(self, kind):
        """Answer with a page of the kind's objects, or with its changes."""
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
        """Answer with the changes since a revision, once there is one.

        Without a change the answer is empty after `waitMs`; a revision that is ahead of
        the store or older than its history gets 410.
        """
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
        """Wait for a change, at most for `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                await self.store.changed.wait()
        except TimeoutError:
            return

    def post(self, kind):
        """Create an object; 409 with the present one if it exists."""
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
        """Answer with the object, or 404."""
        known = self.store.kinds.get(kind, {}).get(name)
        self.answer(known or {"error": "missing"}, 200 if known else 404)

    def put(self, kind, name):
        """Replace the object; 409 if it is not at the given revision."""
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
        """Delete the object; 409 if it is not at the given revision."""
        known = self.store.kinds.get(kind, {}).get(name)
        expected = int(self.get_query_argument("revision", "0"))
        if known is not None and expected not in (0, known["meta"]["revision"]):
            self.answer(known, 409)
            return
        known = self.store.remove(kind, name)
        self.answer(known or {"error": "missing"}, 200 if known else 404)


class PromoteHandler(StoreHandler):
    """Handles the platform's promotion call."""

    def post(self):
        """Pass the request to `store.promote`; 409 if it is refused."""
        body = json.loads(self.request.body)
        token = int(self.request.headers["X-Fencing-Token"])
        self.store.orders.append((token, self.request.headers["X-Lease-Holder"]))
        accepted = self.store.promote(body["service"], body["id"], token)
        self.answer({}, 200 if accepted else 409)
