"""Reads the documents that a check needs."""

from __future__ import annotations

import asyncio
import pathlib

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import refusal
from skylarkcleat.http_limits import limits
from skylarkcleat.platform import configuration_client

_URL_SCHEMES = ("http://", "https://")


class SourceError(Exception):
    """A document can't be read; the message says which, and why."""


def read_file(path: str) -> bytes:
    """Returns the bytes of a file, at most one more than a request may have.

    Raises:
        SourceError: It can't be read.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            return file.read(limits.CONTROL_BODY_BYTES + 1)
    except (OSError, ValueError) as error:
        raise SourceError(f"{path}: {error}") from error


def load_base(against: str, url: str = "") -> content.Configuration:
    """Returns the configuration to compare with.

    Args:
        against: A file; the URL of a front's `control` address; or a bare
            number, the version that has to be in force.
        url: The `control` address that is asked for a bare number.

    Raises:
        SourceError: It can't be read, is not valid or has another version.
    """
    if against.isascii() and against.isdigit():
        if not url:
            raise SourceError(f"version {against}: no --url says where it is")
        return _load_version(int(against), url)
    if against.startswith(_URL_SCHEMES):
        return _decode(against, _fetch(against))
    return _decode(against, read_file(against))


def _load_version(version: int, url: str) -> content.Configuration:
    found = _decode(url, _fetch(url))
    if found.version != version:
        raise SourceError(
            f"{url}: version {found.version} is in force, not {version}; "
            f"fronts keep no others"
        )
    return found


def _fetch(url: str) -> bytes:
    try:
        return asyncio.run(configuration_client.fetch_configuration(url))
    except configuration_client.FetchError as error:
        raise SourceError(str(error)) from error


def _decode(source: str, body: bytes) -> content.Configuration:
    try:
        return refusal.decode_document(body)
    except refusal.RefusedError as error:
        raise SourceError(
            f"{source}: no valid configuration: {error}"
        ) from error
