"""Sections that the settings of several roles share."""

from __future__ import annotations

import typing as t

import pydantic
import typing_extensions as te

from skylarkcleat.settings import _values

DEFAULT_GRACE_S = 30.0


class LogSettings(t.NamedTuple):
    """Where the log goes.

    Attributes:
        level: One of `debug`, `info`, `warning` and `error`.
        file: An absolute path; standard error if empty.
    """

    level: str = "info"
    file: str = ""


class HttpSettings(t.NamedTuple):
    """Where a daemon listens for HTTP."""

    host: str
    port: int


class PeerSettings(t.NamedTuple):
    """Where a daemon listens for the other members."""

    host: str
    port: int

    @property
    def address(self) -> str:
        """The `tcp://ip:port` that the other members connect to."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"tcp://{host}:{self.port}"


class DrainSettings(t.NamedTuple):
    """How a planned stop goes.

    Attributes:
        grace_s: How long a stop waits for work that has started, in seconds.
    """

    grace_s: float = DEFAULT_GRACE_S


@pydantic.with_config(_values.STRICT)
class LogTable(te.TypedDict, total=False):
    """The `[log]` table."""

    level: t.Literal["debug", "info", "warning", "error"]
    file: str


@pydantic.with_config(_values.STRICT)
class HttpTable(te.TypedDict):
    """The `[http]` table."""

    host: _values.Host
    port: _values.Port


@pydantic.with_config(_values.STRICT)
class PeerTable(te.TypedDict):
    """The `[peer]` table."""

    host: _values.ReachableHost
    port: _values.Port


@pydantic.with_config(_values.STRICT)
class DrainTable(te.TypedDict, total=False):
    """The `[drain]` table."""

    grace_s: _values.GraceSeconds


@pydantic.with_config(_values.STRICT)
class AddressesTable(te.TypedDict):
    """The `[control]` table of an entry or an agent."""

    addresses: t.Annotated[
        list[_values.Address], pydantic.Field(min_length=1, max_length=21)
    ]
