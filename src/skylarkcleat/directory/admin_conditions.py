"""Reads preconditions, reason and idempotency key from request headers."""

from __future__ import annotations

import http
import re
import uuid

from aiohttp import web

from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import command as command_lib

MAX_REASON_CHARACTERS = 500
MAX_KEY_CHARACTERS = 128

_ETAG = re.compile(r'"([0-9]{1,18})"')


def format_etag(version: int) -> str:
    """Returns the entity tag of a profile's version."""
    return f'"{version}"'


def read_expected_version(request: web.Request) -> int:
    """Returns the version that a request expects to replace, 0 to create.

    Raises:
        admin_problem.ProblemError: The precondition is missing or not a
            valid entity tag.
    """
    if request.headers.get("If-None-Match") == "*":
        return 0
    header = request.headers.get("If-Match")
    if header is None:
        raise admin_problem.ProblemError(
            http.HTTPStatus.PRECONDITION_REQUIRED,
            'a change needs If-Match with the version it replaces, as in "3", '
            "or If-None-Match: * to create a profile",
        )
    match = _ETAG.fullmatch(header)
    if match is None:
        raise admin_problem.ProblemError(
            http.HTTPStatus.BAD_REQUEST,
            f'If-Match must be one version in quotes, as in "3", '
            f"is {header[:64]}",
        )
    return int(match.group(1))


def read_author(request: web.Request, operator: str) -> command_lib.Author:
    """Returns who requests a change, why, and its idempotency key.

    A request without a key is assigned a new one.

    Raises:
        admin_problem.ProblemError: The reason or the key is too long.
    """
    reason = request.headers.get("X-Reason", "")
    key = request.headers.get("Idempotency-Key", "") or uuid.uuid4().hex
    _check_length("X-Reason", reason, MAX_REASON_CHARACTERS)
    _check_length("Idempotency-Key", key, MAX_KEY_CHARACTERS)
    return command_lib.Author(operator, reason, key)


def _check_length(header: str, text: str, limit: int) -> None:
    if len(text) > limit:
        raise admin_problem.ProblemError(
            http.HTTPStatus.BAD_REQUEST,
            f"{header} has {len(text)} characters; at most {limit} are allowed",
        )
