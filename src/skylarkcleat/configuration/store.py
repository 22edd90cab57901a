"""The configuration in force, as a state machine of the replicated log."""

from __future__ import annotations

import eliot

from skylarkcleat.configuration import content as content_lib
from skylarkcleat.configuration import record as record_lib
from skylarkcleat.consensus import state_machine
from skylarkcleat.protocol import tagged


class Store(state_machine.StateMachine):
    """The configuration with the highest version.

    Attributes:
        configuration: That configuration.
    """

    def __init__(self) -> None:
        self.configuration = content_lib.Configuration()

    def apply(self, index: int, command: bytes) -> bytes:
        """Carries out one record; its result is empty.

        A record that no replica can read changes nothing on any of them:
        otherwise each would end at it, and again after every start.
        """
        try:
            record = record_lib.CODEC.decode(command)
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
        return content_lib.encode(self.configuration)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a captured one."""
        self.configuration = content_lib.decode(snapshot)
