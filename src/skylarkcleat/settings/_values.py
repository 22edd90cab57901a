"""Annotated types of single settings values."""

from __future__ import annotations

import ipaddress
import typing as t
import urllib.parse

import pydantic

STRICT = pydantic.ConfigDict(strict=True, extra="forbid")

_MAX_PORT = 65_535
_NAME_PATTERN = r"^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$"
_SHA256_PATTERN = r"^[0-9a-f]{64}$"


def _check_host(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise ValueError(f"must be an IP number, is {text!r}") from None
    return text


def _check_reachable_host(text: str) -> str:
    _check_host(text)
    if ipaddress.ip_address(text).is_unspecified:
        raise ValueError(
            f"must be an IP number that other machines can reach, is {text!r}"
        )
    return text


def _check_address(text: str) -> str:
    shape = f"must have the form tcp://IP:PORT, is {text!r}"
    try:
        parts = urllib.parse.urlsplit(text)
        host, port = parts.hostname or "", parts.port
    except ValueError:
        raise ValueError(shape) from None
    if parts.scheme != "tcp" or not port or parts.path or parts.query:
        raise ValueError(shape)
    try:
        _check_reachable_host(host)
    except ValueError:
        raise ValueError(shape) from None
    return text


def _check_url(text: str) -> str:
    shape = f"must have the form http://IP:PORT/PATH, is {text!r}"
    try:
        parts = urllib.parse.urlsplit(text)
        host, port = parts.hostname or "", parts.port
        _check_reachable_host(host)
    except ValueError:
        raise ValueError(shape) from None
    if parts.scheme != "http" or port == 0:
        raise ValueError(shape)
    return text


def _check_data_dir(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError(f"must be an absolute path, is {text!r}")
    return text


Name = t.Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]
Port = t.Annotated[int, pydantic.Field(ge=1, le=_MAX_PORT)]
Host = t.Annotated[str, pydantic.AfterValidator(_check_host)]
ReachableHost = t.Annotated[str, pydantic.AfterValidator(_check_reachable_host)]
Address = t.Annotated[str, pydantic.AfterValidator(_check_address)]
Url = t.Annotated[str, pydantic.AfterValidator(_check_url)]
DataDir = t.Annotated[str, pydantic.AfterValidator(_check_data_dir)]
Sha256 = t.Annotated[str, pydantic.Field(pattern=_SHA256_PATTERN)]
TimeoutMs = t.Annotated[int, pydantic.Field(ge=1, le=3_600_000)]
GraceSeconds = t.Annotated[float, pydantic.Field(ge=0, le=3600)]
