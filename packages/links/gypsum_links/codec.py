"""Messages between daemons as CBOR: `[message name, fields]`."""

from functools import cache

import cbor2
from pydantic import TypeAdapter, ValidationError

from gypsum_core import messages
from gypsum_core.messages import Message

MESSAGE_TYPES = {
    kind.__name__: kind
    for kind in vars(messages).values()
    if isinstance(kind, type) and issubclass(kind, Message) and kind is not Message
}


class CodecError(ValueError):
    """Bytes that are no message of ours."""


@cache
def adapter(name):
    """The validator of one message type."""
    return TypeAdapter(MESSAGE_TYPES[name])


def encode(message):
    """A message as bytes; fields at their default are left out."""
    name = type(message).__name__
    fields = adapter(name).dump_python(message, exclude_defaults=True)
    return cbor2.dumps([name, fields])


def decode(data):
    """A message from bytes; CodecError when it is not one."""
    try:
        name, fields = cbor2.loads(data)
        if name not in MESSAGE_TYPES:
            raise CodecError(f"unknown message {name!r}")
        return adapter(name).validate_python(fields)
    except (cbor2.CBORDecodeError, ValidationError, TypeError, ValueError) as exc:
        raise CodecError(f"not a message: {exc}") from exc
