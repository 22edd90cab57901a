"""What the program's exit code says."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes; 2 is left to usage errors, as is customary."""

    FAILED = 1
    BAD_SETTINGS = 3
    NOT_RUN = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    CONFLICT = 7
    BAD_ADDRESS = 8
