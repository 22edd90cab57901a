"""Decodes JSON bodies; whatever another writer sends ends as one error."""

from __future__ import annotations

import typing as t

import msgspec

Body = t.TypeVar("Body")

MAX_COUNT = 2**53
"""Integers beyond it can't be relied on in JSON, nor sent between processes."""

Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A whole number that is not negative."""

Number = t.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number that is not negative."""

Label = t.Annotated[str, msgspec.Meta(max_length=256)]
"""A name or a label."""


class BodyError(ValueError):
    """The body can't be read; the message says why."""


def decode(decoder: msgspec.json.Decoder[Body], body: bytes) -> Body:
    """Decodes a body.

    Raises:
        BodyError: It is not JSON, is nested too deeply or has another shape.
    """
    try:
        # The decoder skips unknown fields without a look at their bytes.
        body.decode("utf-8")
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise BodyError(str(error)) from error
    except RecursionError as error:
        raise BodyError("it is nested too deeply") from error
