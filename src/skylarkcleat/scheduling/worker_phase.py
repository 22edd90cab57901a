"""Whether a side process may be sent tasks, and why not."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """Whether a side process has reported its runs and may get tasks.

    `OUTDATED` means that it may have run another owner's tasks since, so that
    it has to register and report again.
    """

    REPORTING = "reporting"
    READY = "ready"
    OUTDATED = "outdated"


class Closed(enum.StrEnum):
    """Why a side process may not be sent tasks."""

    NONE = ""
    REPORTING = "reporting"
    OUTDATED = "outdated"
    NO_RUNNER = "no-runner"
    DRAINING = "draining"
    UNRESPONSIVE = "unresponsive"
    TOO_NEW = "too-new"
    PAUSED = "paused"
    LEASE_LATE = "lease-late"
    EVACUATED = "evacuated"
    ZONE_UNKNOWN = "zone-unknown"
