"""A codec for families of messages: msgpack with a version and a type tag."""

from __future__ import annotations

import typing as t

import msgspec

MAX_MESSAGE_BYTES = 1 << 20


class MalformedMessageError(ValueError):
    """A frame that does not hold a message of the family."""


class _Envelope(t.NamedTuple):
    version: int
    tag: int
    body: msgspec.Raw


class TaggedCodec:
    """Encodes the messages of one family and decodes them by their tag."""

    def __init__(self, family: str, version: int, types: t.Mapping[int, type]):
        """Creates a codec.

        Args:
            family: The family's name, for error texts.
            version: The version of the family; a frame of another is rejected.
            types: The message types by their tags.
        """
        self._family = family
        self._version = version
        self._tags = {kind: tag for tag, kind in types.items()}
        self._bodies = {
            tag: msgspec.msgpack.Decoder(kind) for tag, kind in types.items()
        }
        self._envelope = msgspec.msgpack.Decoder(_Envelope)
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: t.Any) -> bytes:
        """Returns the frame that holds a message."""
        tag = self._tags[type(message)]
        return self._encoder.encode((self._version, tag, message))

    def decode(self, frame: bytes) -> t.Any:
        """Returns the message that a frame holds.

        Raises:
            MalformedMessageError: The frame is too long, of another version
                or holds no message of the family.
        """
        if len(frame) > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(
                f"{self._family} message of {len(frame)} bytes is longer than "
                f"{MAX_MESSAGE_BYTES} bytes"
            )
        try:
            envelope = self._envelope.decode(frame)
            self._check_version(envelope.version)
            return self._bodies[envelope.tag].decode(envelope.body)
        except (msgspec.MsgspecError, KeyError, RecursionError) as error:
            raise MalformedMessageError(
                f"{self._family} message can't be decoded: {error}"
            ) from error

    def _check_version(self, version: int) -> None:
        if version != self._version:
            raise MalformedMessageError(
                f"{self._family} message has version {version}; "
                f"this process supports version {self._version}"
            )
