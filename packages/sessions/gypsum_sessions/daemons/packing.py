"""Packs lists of objects into pieces that can share a slow link with statements.

Packing shrinks a configuration of 1,600 routes to a tenth of its size.
"""

import zlib

import cbor2

from gypsum_policy.relays import PIECE_BYTES

# The fastest level: route names differ in a few letters only, so that higher levels
# gain little.
COMPRESSION_LEVEL = 1
# Lists that unpack to more than this are rejected, bytes: an object of the store has a
# megabyte at most, and the largest lists consist of some thousands of small objects.
MAX_UNPACKED = 64 << 20


class PackingError(ValueError):
    """Raised for pieces that do not form a packed list."""


def pack(objects):
    """Pack objects by name into a list of pieces of at most PIECE_BYTES each."""
    data = zlib.compress(cbor2.dumps(objects), COMPRESSION_LEVEL)
    return [data[at : at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES)]


def unpack(pieces):
    """Return the packed objects by name; raises PackingError."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(b"".join(pieces), MAX_UNPACKED)
        objects = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError, ValueError) as exc:
        raise PackingError(f"invalid packed list: {exc}") from exc
    if not reader.eof or not isinstance(objects, dict):
        raise PackingError("invalid packed list")
    return objects
