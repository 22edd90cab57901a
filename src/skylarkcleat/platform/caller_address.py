"""Where callers send jobs: the host and the path of a request."""

from __future__ import annotations

import re

_JOB_PATH = re.compile(r"(.*?)([0-9a-fA-F]{16})", re.DOTALL)


def read_host(header: str) -> str:
    """Returns the host that a Host header names, without its port."""
    return header.partition(":")[0].lower()


def split_path(path: str) -> tuple[str, str] | None:
    """Returns a path up to the job's id, and the id; None without an id."""
    found = _JOB_PATH.fullmatch(path)
    return (found[1], found[2]) if found else None
