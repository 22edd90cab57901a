"""Encodes typed messages: each a `NamedTuple` sent under its class name."""

from __future__ import annotations

import typing as t

import msgspec

Message = t.NamedTuple

_ENCODER = msgspec.msgpack.Encoder()
_WIRE_NAME = "wire_name"
_T = t.TypeVar("_T")


class UnknownMessageError(ValueError):
    """A message kind that is not declared, or a body that is malformed."""


def sent_as(name: str) -> t.Callable[[type[_T]], type[_T]]:
    """Decorates a message class that is sent under another name.

    A class that is renamed keeps the name that it was first sent under, so
    that processes of other versions still decode it.
    """

    def decorate(kind: type[_T]) -> type[_T]:
        setattr(kind, _WIRE_NAME, name)
        return kind

    return decorate


def find_wire_name(kind: type) -> str:
    """Returns the name that a message class is sent under."""
    return getattr(kind, _WIRE_NAME, kind.__name__)


class Codec:
    """Encodes and decodes messages of a closed set of types."""

    def __init__(self, types: t.Iterable[type]) -> None:
        """Initializes the codec.

        Args:
            types: The `NamedTuple` classes that may be sent.
        """
        self._decoders = {
            find_wire_name(kind): msgspec.msgpack.Decoder(kind)
            for kind in types
        }

    def encode(self, message: Message) -> tuple[str, bytes]:
        """Returns a message's kind and body.

        Raises:
            UnknownMessageError: The message's type is not in the set.
        """
        kind = find_wire_name(type(message))
        if kind not in self._decoders:
            raise UnknownMessageError(f"message type {kind!r} is not declared")
        return kind, _ENCODER.encode(message)

    def decode(self, kind: str, body: bytes | msgspec.Raw) -> Message:
        """Returns the message that a peer encoded.

        Raises:
            UnknownMessageError: The kind is unknown, or the body is no
                message of this kind.
        """
        decoder = self._decoders.get(kind)
        if decoder is None:
            raise UnknownMessageError(f"message kind {kind!r} is not known")
        try:
            return decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise UnknownMessageError(
                f"body of message {kind!r} is malformed: {error}"
            ) from error
