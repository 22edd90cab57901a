"""The directory's options, as a control process reads them from settings."""

from __future__ import annotations

import typing as t

DEFAULT_ADMIN_HOST = "127.0.0.1"


class ControlPeer(t.NamedTuple):
    """Another control replica.

    Attributes:
        name: The replica's name in the log.
        address: Where it accepts subscribers, as `tcp://ip:port`.
        admin_url: The URL of its admin API, as `http://ip:port`.
    """

    name: str
    address: str
    admin_url: str


class Operator(t.NamedTuple):
    """A person who may use the admin API.

    Attributes:
        name: The name that the history records.
        token_sha256: The SHA-256 digest of the token, in hexadecimal.
    """

    name: str
    token_sha256: str


class ControlOptions(t.NamedTuple):
    """The options of a control server.

    Attributes:
        name: This replica's name in the log.
        address: Where it accepts subscribers, as `tcp://ip:port`.
        admin_host: The IP address that the admin API listens on.
        admin_port: Its port; 0 for any free one.
        peers: The other replicas.
        operators: Who may use the admin API.
    """

    name: str
    address: str
    admin_host: str = DEFAULT_ADMIN_HOST
    admin_port: int = 0
    peers: tuple[ControlPeer, ...] = ()
    operators: tuple[Operator, ...] = ()
