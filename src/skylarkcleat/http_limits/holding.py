"""What one connection holds, and since when."""

from __future__ import annotations

from skylarkcleat.http_limits import limits as limits_lib
from skylarkcleat.http_limits import phase as phase_lib
from skylarkcleat.http_limits import reason as reason_lib
from skylarkcleat.http_limits import source as source_lib

PROGRESS_BYTES = 1024
"""Fewer bytes do not count as progress: a client may send them one by one."""

_MIN_STALL_S = 0.05
_Phase = phase_lib.Phase
_Reason = reason_lib.Reason


class Holding:
    """What one connection holds; times are in seconds of one clock.

    Attributes:
        source: Its client address.
        phase: What it is doing.
        held_bytes: What it holds in all.
        unsent_bytes: The part of it that its client has not read yet.
        open_requests: Complete requests that wait for their answers.
        is_used: Whether it has sent a complete request.
        started_at: When the phase began.
        progressed_at: When it last made progress.
    """

    __slots__ = (
        "_unmarked_bytes",
        "held_bytes",
        "is_used",
        "open_requests",
        "phase",
        "progressed_at",
        "source",
        "started_at",
        "unsent_bytes",
    )

    def __init__(self, source: source_lib.Source, now: float) -> None:
        self.source = source
        self.held_bytes = 0
        self.unsent_bytes = 0
        self.open_requests = 0
        self.is_used = False
        self._unmarked_bytes = 0
        self.begin(_Phase.IDLE, now)

    def begin(self, phase: phase_lib.Phase, now: float) -> None:
        """Begins a phase."""
        self.phase = phase
        self.started_at = now
        self.progressed_at = now
        self._unmarked_bytes = 0

    def progress(self, size: int, now: float) -> None:
        """Records bytes; few of them count as progress only together."""
        self._unmarked_bytes += size
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self.progressed_at = now

    @property
    def is_sheddable(self) -> bool:
        """Whether no request that can be answered would be cut off."""
        return self.unsent_bytes > 0 or not self.open_requests

    def weigh(self, now: float) -> float:
        """Returns how much it holds, and for how long without progress."""
        stall_s = max(now - self.progressed_at, _MIN_STALL_S)
        return self.held_bytes * stall_s

    def find_overdue(self, now: float) -> reason_lib.Reason | None:
        """Returns which timeout it has exceeded, if any."""
        stall_s = now - self.progressed_at
        if self.unsent_bytes:
            is_late = stall_s > limits_lib.WRITE_PROGRESS_TIMEOUT_S
            return _Reason.WRITE_TIMEOUT if is_late else None
        if self.open_requests:
            return None
        age_s = now - self.started_at
        if self.phase is _Phase.IDLE:
            is_late = age_s > limits_lib.IDLE_TIMEOUT_S
            return _Reason.IDLE_TIMEOUT if is_late else None
        if self.phase is _Phase.HEAD:
            is_late = age_s > limits_lib.HEAD_TIMEOUT_S
            return _Reason.HEAD_TIMEOUT if is_late else None
        is_late = (
            stall_s > limits_lib.BODY_PROGRESS_TIMEOUT_S
            or age_s > limits_lib.BODY_TIMEOUT_S
        )
        return _Reason.BODY_TIMEOUT if is_late else None
