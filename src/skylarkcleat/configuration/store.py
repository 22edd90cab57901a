"""What the fronts agree on, as a state machine of the replicated log."""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.configuration import content as content_lib
from skylarkcleat.configuration import record as record_lib
from skylarkcleat.consensus import state_machine


class _Captured(t.NamedTuple):
    configuration: bytes
    owner: str
    owner_index: int
    sides: tuple[str, ...]


_DECODER = msgspec.msgpack.Decoder(_Captured)


class Store(state_machine.StateMachine):
    """The configuration in force, the owner of jobs, and its side processes.

    Attributes:
        configuration: The configuration with the highest version.
        index: Finds its queues.
        owner: The front that last took ownership of the jobs.
        owner_index: The log position at which it did.
        sides: The side processes that may hold leases.
    """

    def __init__(self) -> None:
        self.owner = ""
        self.owner_index = 0
        self.sides: set[str] = set()
        self._replace(content_lib.Configuration())

    def apply(self, index: int, command: bytes) -> bytes:
        """Carries out one record; a configuration's result is empty."""
        record = record_lib.CODEC.decode(command)
        if isinstance(record, record_lib.Replace):
            if record.version > self.configuration.version:
                self._replace(content_lib.decode(record.content))
        elif isinstance(record, record_lib.TakeOwnership):
            self.owner = record.front
            self.owner_index = index
        elif isinstance(record, record_lib.AddSide):
            self.sides.add(record.side)
        else:
            self.sides.discard(record.side)
        return b""

    def capture(self) -> bytes:
        """Returns the whole state."""
        captured = _Captured(
            content_lib.encode(self.configuration),
            self.owner,
            self.owner_index,
            tuple(sorted(self.sides)),
        )
        return msgspec.msgpack.encode(captured)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a captured one."""
        captured = _DECODER.decode(snapshot)
        self._replace(content_lib.decode(captured.configuration))
        self.owner = captured.owner
        self.owner_index = captured.owner_index
        self.sides = set(captured.sides)

    def _replace(self, configuration: content_lib.Configuration) -> None:
        self.configuration = configuration
        self.index = content_lib.QueueIndex(configuration)
