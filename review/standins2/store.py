"""The platform's object store and its failover call, over HTTP/1.1.

Only what PROTOCOL.md describes: lists, watches, conditional writes and fences.
"""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}
ANSWER_DELAY = 0.004


class Store:
    """Objects by kind and name, with one revision counter and a history.

    `promote(service, id)` carries out a failover and returns whether the backend runs.
    """

    def __init__(self, *, record, promote):
        self.record = record
        self.promote = promote
        self.revision = 0
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.fences = {}
        self.address = ""
        self.server = None
        # Answers take this many seconds.
        self.delay = ANSWER_DELAY
        # How many of the next failover calls get no answer; they are carried out
        # `late_by` seconds later, when their fence is checked.
        self.unanswered_failovers = 0
        self.late_by = 10.0
        self.on_unanswered = lambda: None

    async def listen(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    # Objects

    def put(self, kind, name, spec):
        """Create or replace an object; one that stays the same gets no revision."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["createdRev"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "createdRev": created,
            "finalizers": [],
            "deleting": False,
        }
        obj = {"meta": meta, "spec": spec, "status": {}}
        self.objects[kind, name] = obj
        self.note(kind, obj, deleted=False)
        return obj

    def remove(self, kind, name):
        """Delete an object, if it exists."""
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self.note(kind, obj, deleted=True)

    def note(self, kind, obj, *, deleted):
        """Add a change to the history and wake the watches."""
        event = {"object": obj, "deleted": deleted}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls

    async def serve(self, reader, writer):
        """Serve the calls of one connection."""
        try:
            while await self.serve_call(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_call(self, reader, writer):
        """Serve one call; return whether the connection is kept."""
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        headers = {}
        while (text := (await reader.readline()).decode().strip()) != "":
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = json.loads(await reader.readexactly(length)) if length else None
        url = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        await asyncio.sleep(self.delay)
        code, answer = await self.answer(method, parts, query, body, headers)
        data = json.dumps(answer).encode()
        head = (
            f"HTTP/1.1 {code} {REASONS[code]}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        await writer.drain()
        return headers.get("connection", "").lower() != "close"

    async def answer(self, method, parts, query, body, headers):
        """The status and body of an answer."""
        if parts == ["failover"]:
            if self.unanswered_failovers:
                self.unanswered_failovers -= 1
                await self.failover_late(body, headers)
            return self.failover(body, headers)
        if parts[:2] != ["api", "objects"]:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else ""
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query)
        if method == "GET":
            return self.read(kind, name)
        return self.write(method, kind, name, query, body)

    def read(self, kind, name):
        """One object, or the list of a kind."""
        if name:
            known = self.objects.get((kind, name))
            return (200, known) if known else (404, {})
        items = [self.objects[key] for key in sorted(self.objects) if key[0] == kind]
        return 200, {"items": items, "more": False, "storeRevision": self.revision}

    async def watch(self, kind, query):
        """The changes since a revision, once there is one or the wait is over."""
        since, loop = int(query["watch"]), asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                event
                for revision, changed, event in self.history
                if revision > since and changed == kind
            ]
            left = until - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def write(self, method, kind, name, query, body):
        """Create, replace or delete an object under its condition."""
        if method == "POST":
            name = body["meta"]["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            self.record("store", f"created {kind}/{name} {body['spec']}")
            return 200, self.put(kind, name, body["spec"])
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        wanted = body["meta"].get("revision") if body else query.get("revision")
        if wanted is not None and int(wanted) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        self.record("store", f"replaced {kind}/{name} {body['spec']}")
        return 200, self.put(kind, name, body["spec"])

    async def failover_late(self, body, headers):
        """Leave a call without an answer, and carry it out later."""
        text = f"failover to {body['id']} by {headers['x-lease-holder']}"
        text += f" fence {headers['x-fencing-token']}"
        self.record("platform", f"{text}: gets no answer, is carried out later")
        loop = asyncio.get_running_loop()
        loop.call_later(self.late_by, self.failover, body, headers)
        self.on_unanswered()
        await asyncio.sleep(self.late_by)
        raise ConnectionError("the caller has left")

    def failover(self, body, headers):
        """Designate the backend that takes over, unless a higher fence was seen."""
        service, fence = body["service"], int(headers["x-fencing-token"])
        holder = headers["x-lease-holder"]
        text = f"failover {service} to {body['id']} by {holder} fence {fence}"
        if fence < self.fences.get(service, 0):
            self.record("platform", f"{text}: refused, fence")
            return 409, {}
        self.fences[service] = fence
        if not self.promote(body["id"]):
            self.record("platform", f"{text}: refused, not running")
            return 409, {}
        self.record("platform", f"{text}: accepted")
        return 200, {}
