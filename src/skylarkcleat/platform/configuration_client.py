"""Reads the configuration in force from a front's `control` address."""

from __future__ import annotations

import aiohttp

from skylarkcleat.http_limits import limits
from skylarkcleat.platform import names

TIMEOUT_S = 5.0
"""A front answers operators within 1 s; the rest is for a slow link: 4 MiB take
3.5 s on the slowest one, 9.5 Mbit/s."""

_MAX_REDIRECTS = 2
_OK = 200


class FetchError(Exception):
    """The configuration in force can't be read; the message says why."""


async def fetch_configuration(url: str) -> bytes:
    """Returns the configuration that is in force, as its operator sent it.

    Args:
        url: The `control` address of a front, such as
            `http://10.0.0.1:7000`.

    Raises:
        FetchError: There is no answer within `TIMEOUT_S`, or no configuration.
    """
    target = url.rstrip("/") + names.CONFIGURATION_GET_PATH
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(target, max_redirects=_MAX_REDIRECTS) as response,
        ):
            if response.status != _OK:
                raise FetchError(f"{target}: status {response.status}")
            return await _read(target, response)
    except TimeoutError as error:
        raise FetchError(f"{target}: no answer in {TIMEOUT_S:g} s") from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise FetchError(f"{target}: {error}") from error


async def _read(target: str, response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limits.CONTROL_BODY_BYTES:
            raise FetchError(
                f"{target}: over {limits.CONTROL_BODY_BYTES} bytes"
            )
    return bytes(body)
