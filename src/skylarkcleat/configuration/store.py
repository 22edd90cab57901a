"""The configuration and the evacuations, as the log's state machine."""

from __future__ import annotations

import eliot

from skylarkcleat.configuration import content as content_lib
from skylarkcleat.configuration import evacuations as evacuations_lib
from skylarkcleat.configuration import record as record_lib
from skylarkcleat.configuration import snapshot as snapshot_lib
from skylarkcleat.consensus import state_machine
from skylarkcleat.protocol import tagged

STALE = b"stale"
"""The result of an order for a zone that was changed since it was received."""


class Store(state_machine.StateMachine):
    """The configuration with the highest version, and the evacuations.

    Attributes:
        configuration: That configuration.
        evacuations: The latest evacuations.
    """

    def __init__(self) -> None:
        self.configuration = content_lib.Configuration()
        self.evacuations = evacuations_lib.Evacuations()

    def apply(self, index: int, command: bytes) -> bytes:
        """Carries out one record; its result is empty, or `STALE`.

        A record that no replica can read changes nothing on any of them:
        otherwise each would end at it, and again after every start.
        """
        try:
            record = record_lib.CODEC.decode(command)
            if isinstance(record, evacuations_lib.Order):
                return self._evacuate(record)
            if record.version > self.configuration.version:
                self.configuration = content_lib.decode(record.content)
        except (
            tagged.MalformedMessageError,
            content_lib.ContentError,
        ) as error:
            eliot.log_message(
                "log:record-ignored", index=index, reason=str(error)
            )
        return b""

    def capture(self) -> bytes:
        """Returns the whole state."""
        data = content_lib.encode(self.configuration)
        return snapshot_lib.encode(
            snapshot_lib.Snapshot(data, self.evacuations)
        )

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a captured one."""
        found = snapshot_lib.decode(snapshot)
        self.configuration = content_lib.decode(found.configuration)
        self.evacuations = found.evacuations

    def _evacuate(self, order: evacuations_lib.Order) -> bytes:
        changed = evacuations_lib.apply(self.evacuations, order)
        if changed is None:
            return STALE
        self.evacuations = changed
        return b""
