"""The words of a configuration document for typed entries and fields."""

from __future__ import annotations

_KINDS = {"queue": "route", "upstream": "service", "limits": "limits"}
_FIELDS = {
    "prefix": "path_prefix",
    "upstream": "service",
    "latency_target_ms": "target_latency_ms",
    "unsupported": "advice",
    "admits": "admission_check",
}


def translate_kind(kind: str) -> str:
    """Returns the document's word for a kind of entry, such as `queue`."""
    return _KINDS.get(kind, kind)


def translate_field(field: str) -> str:
    """Returns the document's word for a field of an entry."""
    return _FIELDS.get(field, field).replace("_", "-")
