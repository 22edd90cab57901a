"""Why a front ends a request itself, as callers and log lines say it."""

from __future__ import annotations

import enum

REFUSED = "front:refused"
"""The type of the line that a front writes when it does so."""


class Obstacle(enum.StrEnum):
    """Why no target is reachable."""

    NONE = ""
    PAUSED = "this front has just stood still"
    NO_OWNER = "no owner is heard"
    NO_CONFIGURATION = "no configuration is known"
    OUTDATED_CONFIGURATION = "the configuration here is outdated"
    NO_LEADER = "the log has no leader"
