"""Clients of the platform and of daemons."""

import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from gypsum_model.errors import GypsumError
from gypsum_model.manifest import parse_manifest
from gypsum_platform.client import PlatformClient

TIMEOUT = 5.0


class DaemonError(GypsumError):
    """Raised if a daemon does not respond or responds with an error."""


def make_platform_client(url):
    """Return a client of the platform."""
    return PlatformClient(base_url=url, timeout=TIMEOUT)


def parse_stored_manifest(stored):
    """Parse the manifest of a stored object; None if it does not exist."""
    if stored.version == 0:
        return None
    return parse_manifest(stored.body, source=f"{stored.name} at the platform")


async def call_daemon(address, path, *, method="GET"):
    """Call a daemon's API for operators; return the JSON document."""
    content = await fetch(address, path, method=method)
    try:
        return json.loads(content)
    except ValueError as exc:
        raise DaemonError(str(exc), step=path, peer=address) from None


async def fetch(address, path, *, method="GET"):
    """Call a daemon; return the body of its response."""
    body = b"" if method == "POST" else None
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(
            f"http://{address}{path}", method=method, body=body, request_timeout=TIMEOUT
        )
        return response.body
    except HTTPClientError as exc:
        raise DaemonError(error_detail(exc), step=path, peer=address) from None
    except (OSError, ValueError) as exc:
        raise DaemonError(str(exc), step=path, peer=address) from None
    finally:
        client.close()


def error_detail(exc):
    """Return the detail of a daemon's error response."""
    try:
        return json.loads(exc.response.body)["detail"]
    except (AttributeError, KeyError, TypeError, ValueError):
        return str(exc)
