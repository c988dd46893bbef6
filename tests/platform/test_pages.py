"""The HTTP pages for the platform, requested over a socket."""

import asyncio
import socket

import pytest

from gypsum_platform.pages import serve_pages


async def ask(port, head):
    """Send a request; return the whole answer as text."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{head} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    async with asyncio.timeout(5):
        text = (await reader.read()).decode()
    writer.close()
    return text


@pytest.mark.parametrize(
    ("head", "status"),
    [
        ("GET /a", "200 OK"),
        ("GET /a?x=1", "200 OK"),
        ("GET /busy", "503 Service Unavailable"),
        ("GET /other", "404 Not Found"),
        ("POST /a", "405 Method Not Allowed"),
    ],
)
def test_pages_are_answered_by_path_and_method(head, status):
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as found:
            port = found.getsockname()[1]
        pages = {
            "/a": lambda request: (200, {"Content-Type": "text/plain"}, b"body"),
            "/busy": lambda request: (503, {}, b""),
        }
        server = serve_pages(pages, "127.0.0.1", port)
        try:
            return await ask(port, head)
        finally:
            server.stop()

    text = asyncio.run(main())
    assert text.startswith(f"HTTP/1.1 {status}\r\n")
    assert text.endswith("\r\n\r\nbody" if "200" in status else "\r\n\r\n")
