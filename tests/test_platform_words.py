"""Only the adapter uses the names on the infrastructure's wire."""

from __future__ import annotations

import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "skylarkcleat"
WIRE_NAMES = (
    "heartbeat-url",
    "cold-remaining-ms",
    "run-start",
    "run-stop",
    "fencing-token",
    "task-count",
    "path-prefix",
    "last-seen",
    "mem-mb",
    "estimated-ms",
    "best-effort",
    "admission-check",
    "config/put",
    "config/get",
    "target-latency-ms",
    "max-body-bytes",
)


def _list_sources():
    for path in sorted(SOURCE.rglob("*.py")):
        if "platform" not in path.relative_to(SOURCE).parts:
            yield path


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_wire_name_appears_only_in_the_adapter(name):
    matches = [p.name for p in _list_sources() if name in p.read_text()]
    assert matches == []


@pytest.mark.parametrize("name", WIRE_NAMES[1:])
def test_wire_name_is_used_by_the_adapter(name):
    texts = [p.read_text() for p in (SOURCE / "platform").glob("*.py")]
    kebab = name.replace("-", "_")
    assert any(name in text or kebab in text for text in texts)
