"""A bare tornado handler, the baseline for the cost of the request path."""

import asyncio
import json

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

RESPONSE = {"outcome": "done", "columns": ["n"], "rows": [[0]], "served_by": "u1"}


class BareHandler(RequestHandler):
    """Parses a JSON body and writes a constant JSON response."""

    async def post(self):
        """Respond to a request."""
        json.loads(self.request.body)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(RESPONSE))


async def main():
    """Serve until killed."""
    server = HTTPServer(
        Application([(r"/.*", BareHandler)], log_function=lambda handler: None)
    )
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    print(f"ready {sockets[0].getsockname()[1]}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
