"""The set of messages that members exchange."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import diagnostics
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import fencing

MESSAGES: tuple[type, ...] = (
    *t.get_args(claiming.KeeperMessage),
    *t.get_args(claiming.EntryMessage),
    diagnostics.EventPage,
    diagnostics.EventQuery,
    diagnostics.IncidentAck,
    diagnostics.IncidentReport,
    diagnostics.IncidentPage,
    diagnostics.IncidentQuery,
    dispatching.Answer,
    dispatching.AttemptFailure,
    dispatching.Dispatch,
    dispatching.Refusal,
    dispatching.Revoke,
    dispatching.Revoked,
    fencing.Fence,
    fencing.FenceReport,
)
