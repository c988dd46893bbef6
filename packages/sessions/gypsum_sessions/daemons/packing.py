"""Lists of objects in pieces that a slow link carries beside statements.

Packed, a configuration of 1,600 routes is a tenth of its size.
"""

import zlib

import cbor2

from gypsum_policy.relays import PIECE_BYTES

# The fastest level: names of routes differ in a few letters, so more gains little.
COMPRESSION_LEVEL = 1
# A list that unpacks to more than this is none of ours, bytes: the store's objects are
# a megabyte at most, and the largest lists some thousands of small ones.
MAX_UNPACKED = 64 << 20


class PackingError(ValueError):
    """Pieces that are no packed list."""


def pack(objects):
    """Objects by name as a list of pieces, each at most PIECE_BYTES long."""
    data = zlib.compress(cbor2.dumps(objects), COMPRESSION_LEVEL)
    return [data[at : at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES)]


def unpack(pieces):
    """Objects by name; raises PackingError."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(b"".join(pieces), MAX_UNPACKED)
        objects = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError, ValueError) as exc:
        raise PackingError(f"no packed list: {exc}") from exc
    if not reader.eof or not isinstance(objects, dict):
        raise PackingError("no packed list")
    return objects
