"""Timestamps of a hybrid logical clock, which frames carry to peers."""

from __future__ import annotations

import typing as t

from skylarkcleat import clock as clock_lib

if t.TYPE_CHECKING:
    from skylarkcleat.timeline import account as account_lib


class Stamper(t.Protocol):
    """Creates the stamps of sent frames and merges those of received ones."""

    def read(self) -> int:
        """Returns the stamp for a frame that is sent now."""

    def merge(self, peer: str, stamp: int) -> None:
        """Merges the stamp of a frame that a peer sent."""


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
        """Returns a stamp later than every earlier one."""
        return self._account.clock.tick(clock_lib.read_wall_ms())

    def merge(self, peer: str, stamp: int) -> None:
        """Advances the clock, so that later stamps exceed the peer's."""
        self._account.receive(peer, stamp, clock_lib.read_wall_ms())
