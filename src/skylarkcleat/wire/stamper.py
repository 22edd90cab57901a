"""The hybrid logical clock that frames carry between processes."""

from __future__ import annotations

import typing as t

from skylarkcleat import clock as clock_lib

if t.TYPE_CHECKING:
    from skylarkcleat.timeline import account as account_lib


class Stamper(t.Protocol):
    """Gives stamps to frames that are written, and takes those read."""

    def read(self) -> int:
        """Returns the stamp for a frame that is written now."""

    def merge(self, peer: str, stamp: int) -> None:
        """Takes the stamp of a frame that a peer wrote."""


class NullStamper:
    """Stamps every frame with 0."""

    def read(self) -> int:
        """Returns 0."""
        return 0

    def merge(self, peer: str, stamp: int) -> None:
        """Ignores a peer's stamp."""


class AccountStamper:
    """Stamps frames with the clock of a process's account."""

    def __init__(self, account: account_lib.Account) -> None:
        """Initializes a stamper on an account."""
        self._account = account

    def read(self) -> int:
        """Returns a stamp later than every one before it."""
        return self._account.clock.tick(clock_lib.read_wall_ms())

    def merge(self, peer: str, stamp: int) -> None:
        """Makes later stamps larger than a peer's."""
        self._account.hear(peer, stamp, clock_lib.read_wall_ms())
