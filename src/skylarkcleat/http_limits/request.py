"""Requests whose bodies are read in small steps."""

from __future__ import annotations

from aiohttp import web


class BoundedRequest(web.BaseRequest):
    """A request that never buffers much more than aiohttp's default.

    aiohttp's own `read` raises the buffer's bound to twice the largest body,
    so that one client could fill it before its handler takes anything out.
    """

    async def read(self) -> bytes:
        """Returns the body; a second call returns nothing.

        The request does not keep it: a job may be open for seconds.

        Raises:
            HTTPRequestEntityTooLarge: It is larger than `client_max_size`.
        """
        body = bytearray()
        try:
            while await self._read_into(body):
                if len(body) > self._client_max_size:
                    raise web.HTTPRequestEntityTooLarge(self._client_max_size)
        except BaseException:
            # Frames of the error, in a cycle that is collected much later, keep
            # what they refer to: of many such requests more than the limits.
            body.clear()
            raise
        self._protocol.release_body()
        return bytes(body)

    async def _read_into(self, body: bytearray) -> int:
        """Appends what has been received; returns its size, 0 at the end."""
        chunk = await self._payload.readany()
        body += chunk
        return len(chunk)


class BoundedAppRequest(BoundedRequest, web.Request):
    """The same for an application."""
