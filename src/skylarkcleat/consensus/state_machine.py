"""The interface of the state machine that a replicated log drives."""

from __future__ import annotations

import abc


class StateMachine(abc.ABC):
    """Applies committed commands; it must be deterministic.

    Every replica applies the same commands in the same order, and so has to
    arrive at the same state.
    """

    @abc.abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Applies one committed command.

        Args:
            index: The command's position in the log, from 1.
            command: The command as it was proposed.

        Returns:
            The result for the proposer.
        """

    @abc.abstractmethod
    def capture(self) -> bytes:
        """Returns the whole state, for a snapshot."""

    @abc.abstractmethod
    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by one that `capture` returned earlier."""
