"""Where callers send jobs: the host and the path of a request."""

from __future__ import annotations

import re

from skylarkcleat.http_limits import limits

_JOB_PATH = re.compile(r"(.*?)([0-9a-fA-F]{16})", re.DOTALL)
_JOB_DIGITS = 16


def read_host(header: str) -> str:
    """Returns the host that a Host header names, without its port."""
    return header.partition(":")[0].lower()


def split_path(path: str) -> tuple[str, str] | None:
    """Returns a path up to the job's id, and the id; None without an id."""
    found = _JOB_PATH.fullmatch(path)
    return (found[1], found[2]) if found else None


def find_obstacle(host: str, prefix: str) -> str:
    """Returns why no request for a job can have a host and a prefix.

    Returns:
        The reason, which names the faulty value; empty if there is none.
    """
    if read_host(host) != host:
        return f"no request names the host {host!r}: ports are left out"
    if host != host.strip() or not host.isprintable():
        return f"no header field can hold the host {host!r}"
    if not prefix.startswith("/"):
        return f"no path begins with {prefix!r}: paths begin with '/'"
    if split_path(prefix + "0" * _JOB_DIGITS) is None:
        return f"no job has a path that begins with {prefix!r}"
    size = len(prefix.encode()) + _JOB_DIGITS
    if size > limits.FIELD_BYTES:
        return (
            f"a path with this prefix takes {size} bytes or more; a request "
            f"line may have {limits.FIELD_BYTES}"
        )
    return ""
