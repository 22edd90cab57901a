"""Records of the replicated log that the fronts agree on."""

from __future__ import annotations

import typing as t

from skylarkcleat.configuration import evacuations
from skylarkcleat.protocol import tagged

_VERSION = 2


class Replace(t.NamedTuple):
    """Replaces the configuration, unless its version is not higher."""

    version: int
    content: bytes


CODEC = tagged.TaggedCodec(
    "record", _VERSION, {1: Replace, 2: evacuations.Order}
)
"""A replica of a version that knows only the first tag ignores the second."""
