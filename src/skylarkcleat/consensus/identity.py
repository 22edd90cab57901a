"""The identity of a control replica, which is bound to its disk."""

from __future__ import annotations

import typing as t


class Identity(t.NamedTuple):
    """Identifies one replica together with its data folder.

    A replica that lost its disk may have voted and acknowledged entries that
    it no longer knows of, so with a new disk it counts as another replica.

    Attributes:
        name: The replica's name in the settings.
        disk: A random identifier, new for each data folder that starts empty.
    """

    name: str
    disk: str

    @property
    def is_known(self) -> bool:
        """Whether the disk is known; no replica answers to an unknown one."""
        return bool(self.disk)
