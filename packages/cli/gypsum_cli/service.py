"""Access to the platform and to daemons for the subcommands."""

import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from gypsum_model.errors import GypsumError
from gypsum_model.manifest import parse_manifest
from gypsum_platform.client import PlatformClient

TIMEOUT = 5.0


class DaemonError(GypsumError):
    """A daemon did not answer as it should."""


def platform_at(url):
    """A client of the platform."""
    return PlatformClient(base_url=url, timeout=TIMEOUT)


def stored_manifest(stored):
    """The manifest in a stored object, None when there is none."""
    if stored.version == 0:
        return None
    return parse_manifest(stored.body, source=f"{stored.name} at the platform")


async def call_daemon(address, path, *, method="GET"):
    """Call a daemon's operators' interface; returns its JSON document."""
    body = b"" if method == "POST" else None
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(
            f"http://{address}{path}", method=method, body=body, request_timeout=TIMEOUT
        )
        return json.loads(response.body)
    except HTTPClientError as exc:
        raise DaemonError(error_detail(exc), step=path, peer=address) from None
    except (OSError, ValueError) as exc:
        raise DaemonError(str(exc), step=path, peer=address) from None
    finally:
        client.close()


def error_detail(exc):
    """What a daemon's error answer says."""
    try:
        return json.loads(exc.response.body)["detail"]
    except (AttributeError, KeyError, TypeError, ValueError):
        return str(exc)
