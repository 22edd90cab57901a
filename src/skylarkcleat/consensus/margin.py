"""How many more voters a cluster may lose before its log stops."""

from __future__ import annotations

import typing as t


class Margin(t.NamedTuple):
    """What a leader knows of the voters.

    Attributes:
        voters: How many replicas vote.
        silent: The names of the voters that have not answered for
            `Limits.silent_s`.
        spare: How many more voters may be lost while a majority is left; 0
            if one more loss stops the log.
    """

    voters: int
    silent: tuple[str, ...]
    spare: int
