"""What a front sends to the leader of the log for its operators."""

from __future__ import annotations

from skylarkcleat.configuration import content
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.front import target as target_lib
from skylarkcleat.protocol import scheduling

OPERATOR_TIMEOUT_S = 0.9
"""Operators switch to another front after a second without an answer."""


async def put(
    requests: requests_lib.Requests, configuration: content.Configuration
) -> scheduling.Reply:
    """Returns a reply once the configuration is durable."""
    try:
        data = content.encode(configuration)
    except content.ContentError as error:
        return scheduling.Reply(0, scheduling.Verdict.INVALID, str(error))

    def build(attempt: target_lib.SendAttempt) -> scheduling.PutConfiguration:
        return scheduling.PutConfiguration(
            attempt.number, configuration.version, data
        )

    return await _call(requests, build)


async def read(
    requests: requests_lib.Requests,
) -> content.Configuration | None:
    """Returns the newest configuration; None if that is not certain."""

    def build(
        attempt: target_lib.SendAttempt,
    ) -> scheduling.ReadConfiguration:
        return scheduling.ReadConfiguration(attempt.number)

    reply = await _call(requests, build)
    if reply.verdict is not scheduling.Verdict.ACCEPTED:
        return None
    return content.decode(reply.content)


async def _call(
    requests: requests_lib.Requests, build: target_lib.BuildMessage
) -> scheduling.Reply:
    timeout_s = OPERATOR_TIMEOUT_S
    return await requests.call(build, timeout_s, timeout_s, timeout_s)
