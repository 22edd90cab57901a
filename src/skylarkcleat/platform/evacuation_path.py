"""Decodes the path of an operator's order for an availability zone."""

from __future__ import annotations

import re
import typing as t

_PATH = re.compile(r"/api/evacuations/([^/]+)/(start|stop)")


class ZoneOrder(t.NamedTuple):
    """An operator's order.

    Attributes:
        zone: The zone.
        evacuate: Whether to evacuate it, or to return it to service.
    """

    zone: str
    evacuate: bool


def decode_path(path: str) -> ZoneOrder | None:
    """Returns the order that a path holds, or None."""
    found = _PATH.fullmatch(path)
    if found is None:
        return None
    return ZoneOrder(found[1], found[2] == "start")
