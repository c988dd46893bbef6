"""CBOR encoding of messages between daemons: `[message name, fields]`."""

from functools import cache

import cbor2
from pydantic import TypeAdapter, ValidationError

from gypsum_core import messages
from gypsum_core.messages import Message

MESSAGE_TYPES = {
    message_type.__name__: message_type
    for message_type in vars(messages).values()
    if isinstance(message_type, type)
    and issubclass(message_type, Message)
    and message_type is not Message
}


class CodecError(ValueError):
    """Raised for bytes that are not a known message."""


@cache
def type_adapter(name):
    """Return the validator of a message type."""
    return TypeAdapter(MESSAGE_TYPES[name])


def encode(message):
    """Encode a message; fields with their default value are omitted."""
    name = type(message).__name__
    fields = type_adapter(name).dump_python(message, exclude_defaults=True)
    return cbor2.dumps([name, fields])


def decode(data):
    """Decode a message; raises CodecError if it is invalid."""
    try:
        name, fields = cbor2.loads(data)
        if name not in MESSAGE_TYPES:
            raise CodecError(f"unknown message {name!r}")
        return type_adapter(name).validate_python(fields)
    except (cbor2.CBORDecodeError, ValidationError, TypeError, ValueError) as exc:
        raise CodecError(f"invalid message: {exc}") from exc
