"""The workspaces of a soak run, their keys, and which callers use which.

A caller's workspace follows from its name, so that a check can derive from a request
with which workspace it has to run.
"""

from zlib import crc32

WORKSPACES = ("east", "north", "south")
# Prefix of the keys that are added and withdrawn; the callers' own keys stay.
SPARE_KEY_PREFIX = "spare"


def workspace_of(session):
    """Return a caller's workspace, by the first part of its sessions' names."""
    return WORKSPACES[crc32(session.partition("t")[0].encode()) % len(WORKSPACES)]


def key_for(session):
    """Return the key that a session uses."""
    return f"key-{workspace_of(session)}"


def tenants(spare=()):
    """Return the workspaces' entries of the configuration.

    Each has its own key; the first one also has the spare keys.
    """
    return [
        {
            "name": name,
            "apiKeys": [f"key-{name}", *(spare if name == WORKSPACES[0] else ())],
        }
        for name in WORKSPACES
    ]
