"""A front's part in the election of an owner, by its settings."""

from __future__ import annotations

from skylarkcleat.discovery import election as election_lib
from skylarkcleat.discovery import rank as rank_lib
from skylarkcleat.platform import settings as settings_lib
from skylarkcleat.wire import session as session_lib

BOOTSTRAP_CLAIM_DELAY_S = 1.0
"""At the very first start all fronts come up within 0.3 s, in any order."""

CLAIM_DELAY_S = 0.2
"""A front that starts waits for messages of the others before it claims."""


def create_election(
    settings: settings_lib.Settings, local: session_lib.Endpoint, now: float
) -> election_lib.Election:
    """Returns the election as a front that starts sees it.

    Args:
        settings: The settings of the front.
        local: The front.
        now: The time, in seconds.
    """
    delay_s = BOOTSTRAP_CLAIM_DELAY_S if settings.bootstrap else CLAIM_DELAY_S
    rank = _find_rank(settings)
    return election_lib.Election(local, rank, now + delay_s, now)


def _find_rank(settings: settings_lib.Settings) -> int:
    limits = settings.limits
    cores = limits.cpu_share * limits.cores
    has_disk = bool(settings.data_dir)
    return rank_lib.find_rank(has_disk, cores, limits.link_mbps)
