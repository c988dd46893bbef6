"""Signed session tokens: the position that a caller's next read must reflect.

A token names the database, the member and the position of the caller's last write. A
forged token could make a home wait for a position that is never reached, and that of
another member could reveal how busy it is, so each token is bound to its database and
member by an HMAC. The first key signs; any of the keys verifies.
"""

import hashlib
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode

from gypsum_core.records import Position

SIGNATURE_BYTES = 16
FIELD_BYTES = 8
TOKEN_BYTES = 2 * FIELD_BYTES + SIGNATURE_BYTES


class TokenError(ValueError):
    """The token was not signed by this service for this database and member."""


def sign(key, database, member, body):
    """The signature over a token's body, its database and its member."""
    bound = f"{database}\x00{member}\x00".encode() + body
    return hmac.new(key, bound, hashlib.sha256).digest()[:SIGNATURE_BYTES]


def encode_token(position, *, database, member, keys):
    """Make a token from a position."""
    body = position.term.to_bytes(FIELD_BYTES, "big")
    body += position.index.to_bytes(FIELD_BYTES, "big")
    token = body + sign(keys[0], database, member, body)
    return urlsafe_b64encode(token).rstrip(b"=").decode()


def decode_token(text, *, database, member, keys):
    """Decode a token; TokenError unless it was signed with one of `keys`."""
    try:
        token = urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError as exc:
        raise TokenError("not a session token") from exc
    if len(token) != TOKEN_BYTES:
        raise TokenError("not a session token")
    body, signature = token[:-SIGNATURE_BYTES], token[-SIGNATURE_BYTES:]
    if not any(
        hmac.compare_digest(signature, sign(key, database, member, body))
        for key in keys
    ):
        raise TokenError("not signed by us for this database and member")
    return Position(
        term=int.from_bytes(body[:FIELD_BYTES], "big"),
        index=int.from_bytes(body[FIELD_BYTES:], "big"),
    )
