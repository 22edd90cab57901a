"""Configuration documents for tests, and what a front answers to them."""

from __future__ import annotations

import asyncio
import json
import types
import typing as t

from skylarkcleat.configuration import content
from skylarkcleat.front import configuration_requests
from skylarkcleat.platform import ingress
from skylarkcleat.platform import names
from skylarkcleat.protocol import scheduling

ROUTE = {
    "name": "orders",
    "host": "shop.example",
    "path-prefix": "/orders/",
    "timeout-ms": 1500,
    "target-latency-ms": 60,
    "priority": 0,
    "service": "desk",
    "max-attempts": 2,
    "stretch": 1.6,
}


def create_document(*routes: dict[str, t.Any], **fields: t.Any) -> bytes:
    """Returns a document; each route is given by what differs in it."""
    body = {
        "version": 7,
        "routes": [ROUTE | route for route in routes or ({},)],
        "services": [{"name": "desk"}],
    }
    return json.dumps(body | fields, indent=1).encode()


class _Log:
    """Stands for the leader of the log, which decodes what it is sent."""

    async def call(self, build, *bounds):
        del bounds
        message = build(types.SimpleNamespace(number=1))
        try:
            content.decode(message.content)
        except content.ContentError as error:
            verdict = scheduling.Verdict.INVALID
            return scheduling.Reply(1, verdict, str(error))
        return scheduling.Reply(1, scheduling.Verdict.ACCEPTED)


class _Front:
    is_draining = False

    async def put_configuration(self, configuration):
        return await configuration_requests.put(_Log(), configuration)


def put_on_front(body: bytes) -> int:
    """Returns the status with which a front answers a document."""

    async def read():
        return body

    path = names.CONFIGURATION_PUT_PATH
    request = types.SimpleNamespace(method="POST", path=path, read=read)
    handler = ingress.Ingress(_Front())
    return asyncio.run(handler.handle_control(request)).status
