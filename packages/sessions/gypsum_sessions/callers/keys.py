"""Digests of callers' keys.

Past the protocol adapter a key is known by its digest only: anyone who read the key
itself in a log line, a metric or a message between daemons could call in the name of
its workspace.
"""

from hashlib import blake2b

# 96 bits: collisions among a million keys are negligible.
DIGEST_BYTES = 12


def digest_of(key: bytes):
    """Return the digest of a key, in hexadecimal."""
    return blake2b(key, digest_size=DIGEST_BYTES).hexdigest()
