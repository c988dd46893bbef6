"""The platform's object store, and its call for a new primary, over HTTP."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit

PAGE = 500
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, with one revision, watches, and `POST /failover`.

    `promote(service, backend, token)` returns the status of a failover call.
    """

    def __init__(self, *, promote, record):
        self.promote = promote
        self.record = record
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = ""
        self.tasks = set()

    async def listen(self):
        """Serve on a free loopback port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    # Content

    def put(self, kind, name, spec):
        """Create or replace an object without a condition."""
        kept = self.objects.setdefault(kind, {})
        known = kept.get(name)
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
        kept[name] = {"meta": meta, "spec": spec, "status": None}
        self.note(kind, kept[name], deleted=False)
        return kept[name]

    def remove(self, kind, name):
        """Remove an object; returns it, None if there is none."""
        obj = self.objects.get(kind, {}).pop(name, None)
        if obj is not None:
            self.revision += 1
            self.note(kind, obj, deleted=True)
        return obj

    def note(self, kind, obj, *, deleted):
        """Add a change to the history and wake the watches."""
        event = {"object": obj, "deleted": deleted}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    # HTTP

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n", 1)[0].split(" ")
                headers = read_headers(head)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                data = json.loads(body) if body else None
                code, answer = await self.answer(method, target, headers, data)
                writer.write(encode_answer(code, answer))
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, method, target, headers, data):
        """Answer one call: (status, body)."""
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        if (method, parts.path) == ("POST", "/failover"):
            token = int(headers["x-fencing-token"])
            code = self.promote(data["service"], data["id"], token)
            self.record(
                "failover",
                id=data["id"],
                token=token,
                by=headers["x-lease-holder"],
                code=code,
            )
            return code, {}
        names = [unquote(item) for item in parts.path.split("/")[3:]]
        if len(names) == 1 and method == "GET":
            if "watch" in query:
                return await self.watch(names[0], query)
            return self.list(names[0], query.get("after", ""))
        if len(names) == 1:
            return self.create(names[0], data)
        return self.single(method, *names, query, data)

    def list(self, kind, after):
        """A page of the objects of a kind."""
        kept = self.objects.get(kind, {})
        names = sorted(name for name in kept if name > after)
        items = [kept[name] for name in names[:PAGE]]
        more = len(names) > PAGE
        return 200, {"items": items, "more": more, "storeRevision": self.revision}

    async def watch(self, kind, query):
        """The changes after a revision, as soon as there is one."""
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [
                event
                for revision, of_kind, event in self.history
                if revision > since and of_kind == kind
            ]
            left = until - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def create(self, kind, data):
        """Create an object unless it exists."""
        name = data["meta"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if known is not None:
            return 409, known
        return 200, self.put(kind, name, data["spec"])

    def single(self, method, kind, name, query, data):
        """Read, replace or delete one object."""
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return 404, {"error": "missing"}
        if method == "GET":
            return 200, known
        source = query if method == "DELETE" else data["meta"]
        expected = int(source.get("revision", known["meta"]["revision"]))
        if expected != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self.remove(kind, name)
        return 200, self.put(kind, name, data["spec"])


def read_headers(head):
    """The headers of a call, with names in lower case."""
    lines = head.split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def encode_answer(code, answer):
    """An answer as bytes."""
    body = json.dumps(answer).encode()
    head = (
        f"HTTP/1.1 {code} {REASONS.get(code, 'Status')}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
