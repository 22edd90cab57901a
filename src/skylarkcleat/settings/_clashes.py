"""Checks between keys that more than one role needs."""

from __future__ import annotations

import collections.abc
import ipaddress
import urllib.parse

from skylarkcleat.settings import _reading

_Endpoint = tuple[str, str, int]


def check_ports(raw: _reading.Raw) -> collections.abc.Iterator[_reading.Clash]:
    """Yields a clash for each two listeners on one address."""
    endpoints = list(_find_endpoints(raw))
    for i, (key, host, port) in enumerate(endpoints):
        for other, other_host, other_port in endpoints[:i]:
            if port == other_port and _overlap(host, other_host):
                yield key, f"must differ from {other}, both are {port}"


def check_addresses(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    """Yields a clash for each control address that is listed twice."""
    addresses = _reading.find_value(raw, "control.addresses", list) or []
    for i, address in enumerate(addresses):
        if address in addresses[:i]:
            yield f"control.addresses[{i}]", f"is listed twice: {address!r}"


def check_log_file(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_reading.Clash]:
    """Yields a clash for a log file that is not an absolute path."""
    file = _reading.find_value(raw, "log.file", str)
    if file and not file.startswith("/"):
        yield "log.file", f"must be an absolute path, is {file!r}"


def _find_endpoints(
    raw: _reading.Raw,
) -> collections.abc.Iterator[_Endpoint]:
    for section in ("http", "peer", "account"):
        host = _reading.find_value(raw, f"{section}.host", str)
        port = _reading.find_value(raw, f"{section}.port", int)
        if host and port:
            yield f"{section}.port", host, port
    name = _reading.find_value(raw, "name", str)
    for i, peer in _reading.find_tables(raw, "replica.peers"):
        if peer.get("name") != name:
            continue
        endpoint = split_address(peer.get("address"))
        if endpoint:
            yield f"replica.peers[{i}].address", *endpoint


def split_address(address: object) -> tuple[str, int] | None:
    """Returns host and port, or None for what is no address."""
    if not isinstance(address, str):
        return None
    try:
        parts = urllib.parse.urlsplit(address)
        host, port = parts.hostname, parts.port
    except ValueError:
        return None
    return (host, port) if host and port else None


def _overlap(host: str, other: str) -> bool:
    return host == other or _is_wildcard(host) or _is_wildcard(other)


def _is_wildcard(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_unspecified
    except ValueError:
        return False
