"""Converts admin requests into commands, and results into responses."""

from __future__ import annotations

import http

from aiohttp import web

from skylarkcleat import clock as clock_lib
from skylarkcleat.directory import admin_body
from skylarkcleat.directory import admin_conditions
from skylarkcleat.directory import admin_problem
from skylarkcleat.directory import admin_report
from skylarkcleat.directory import command as command_lib
from skylarkcleat.directory import result as result_lib

_Status = http.HTTPStatus
_Problem = admin_problem.ProblemError


def name_subject(request: web.Request) -> str:
    """Returns the history's subject for what a request would change."""
    kind = "member" if request.method == "POST" else "profile"
    return f"{kind} {request.match_info['name'][:64]}"


async def read_command(
    request: web.Request, author: command_lib.Author
) -> command_lib.Command:
    """Returns the command for a request.

    Args:
        request: A PUT or DELETE of a profile, or the POST to drain a member.
        author: Who requests the change.

    Raises:
        admin_problem.ProblemError: The request is malformed.
    """
    name = request.match_info["name"]
    now_ms = clock_lib.read_wall_ms()
    if request.method == "POST":
        return command_lib.DrainMember(author, now_ms, name)
    if not admin_body.is_name(name):
        raise _Problem(
            _Status.BAD_REQUEST,
            f"{name[:64]!r} is not a profile's name: up to 63 lower-case "
            "letters, digits, '.', '_' and '-'",
        )
    expected = admin_conditions.read_expected_version(request)
    if request.method == "DELETE":
        return command_lib.RemoveProfile(author, now_ms, expected, name)
    try:
        profile = admin_body.parse_profile(name, await request.read())
    except admin_body.InvalidBodyError as error:
        raise _Problem(
            _Status.UNPROCESSABLE_ENTITY,
            f"the body states no profile: {error}",
            errors=[fault._asdict() for fault in error.faults],
        ) from error
    return command_lib.ApplyProfile(author, now_ms, expected, profile)


def answer_result(
    request: web.Request, result: result_lib.Result
) -> web.Response:
    """Returns the response for the result of a committed change.

    Raises:
        admin_problem.ProblemError: The change was refused.
    """
    name = request.match_info["name"]
    if isinstance(result, result_lib.Conflict):
        won = admin_report.describe_conflict(result)
        raise _Problem(
            _Status.PRECONDITION_FAILED,
            f"profile {name} has version {result.version}, not the one that "
            "the change was made for",
            {"ETag": admin_conditions.format_etag(result.version)},
            won=won,
        )
    if isinstance(result, result_lib.Unknown):
        raise _Problem(_Status.NOT_FOUND, f"there is no {name!r}")
    if isinstance(result, result_lib.KeyReused):
        raise _Problem(
            _Status.UNPROCESSABLE_ENTITY,
            f"Idempotency-Key {result.key!r} was used for another change",
        )
    if result.profile is None:
        return admin_report.create_response({"revision": result.revision})
    response = admin_report.create_response(
        admin_report.describe_profile(result.profile)
    )
    etag = admin_conditions.format_etag(result.profile.version)
    response.headers["ETag"] = etag
    return response
