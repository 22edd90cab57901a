"""Decodes and checks the operator's configuration."""

from __future__ import annotations

import msgspec

from skylarkcleat.configuration import content
from skylarkcleat.platform import json_body
from skylarkcleat.protocol import ranges

Place = tuple[str | int, ...]
"""The keys and positions that lead to a value in a document."""


class ConfigurationError(ValueError):
    """The configuration is not valid; the message names the reason.

    Attributes:
        place: Where the offending value is; empty if the document can't be
            read, since the message names the place then.
    """

    def __init__(self, reason: str, place: Place = ()) -> None:
        super().__init__(reason)
        self.place = place


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: json_body.Number
    target_latency_ms: json_body.Number = 0
    priority: json_body.Count = 0
    max_attempts: json_body.Count = 1
    stretch: json_body.Number = 1.0
    advice: object = None


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    admission_check: bool = False


class _Body(msgspec.Struct, rename="kebab"):
    version: json_body.Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]


_DECODER = msgspec.json.Decoder(_Body)


def decode_configuration(body: bytes) -> content.Configuration:
    """Decodes and validates the configuration in a request body.

    Raises:
        ConfigurationError: The body is not a valid configuration.
    """
    try:
        decoded = json_body.decode(_DECODER, body)
    except json_body.BodyError as error:
        raise ConfigurationError(f"it can't be read: {error}") from error
    _check(decoded)
    return content.Configuration(
        decoded.version,
        tuple(map(_create_queue, decoded.routes)),
        tuple(
            content.Upstream(each.name, each.admission_check)
            for each in decoded.services
        ),
        body,
    )


def _create_queue(route: _Route) -> content.Queue:
    return content.Queue(
        route.name,
        route.host.lower(),
        route.path_prefix,
        route.service,
        max(_limit_duration(route.timeout_ms), 1),
        _limit_duration(route.target_latency_ms),
        route.priority,
        max(route.max_attempts, 1),
        min(route.stretch, ranges.MAX_STRETCH),
        "" if route.advice is None else "advice",
    )


def _limit_duration(duration_ms: float) -> int:
    return min(round(duration_ms), ranges.MAX_DURATION_MS)


def _check(body: _Body) -> None:
    if body.version < 1:
        raise ConfigurationError(
            f"version {body.version} is not positive", ("version",)
        )
    _check_services(body)
    services = {service.name for service in body.services}
    addresses = set()
    for number, route in enumerate(body.routes):
        place = ("routes", number)
        if route.service not in services:
            raise ConfigurationError(
                f"route {route.name!r} names the unknown service "
                f"{route.service!r}",
                (*place, "service"),
            )
        if route.timeout_ms <= 0:
            raise ConfigurationError(
                f"route {route.name!r} has no timeout, which must be above 0",
                (*place, "timeout-ms"),
            )
        address = (route.host.lower(), route.path_prefix)
        if address in addresses:
            raise ConfigurationError(
                f"route {route.name!r} shares its host and prefix", place
            )
        addresses.add(address)


def _check_services(body: _Body) -> None:
    names = set()
    for number, service in enumerate(body.services):
        if service.name in names:
            raise ConfigurationError(
                f"two services share the name {service.name!r}",
                ("services", number),
            )
        names.add(service.name)
