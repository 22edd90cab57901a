"""Admission control: rejects jobs that would miss their deadline."""

from __future__ import annotations

import math
import typing as t

from skylarkcleat.dispatch import agent_view
from skylarkcleat.dispatch import service_rate
from skylarkcleat.dispatch import task_queue
from skylarkcleat.dispatch import work as work_lib
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib

_STEP = "admission"

# A job is refused when its expected wait exceeds this fraction of the time
# to its deadline, since too little would be left for running it.
_MAX_WAIT_FRACTION = 0.2


class Admission:
    """Decides whether an entry accepts a job."""

    def __init__(self, entry_name: str, service: service_rate.ServiceRate):
        self._entry_name = entry_name
        self._service = service

    def check(
        self,
        work: work_lib.Work,
        views: t.Sequence[agent_view.AgentView],
        queue: task_queue.TaskQueue,
        now: float,
    ) -> failure_lib.Failure | None:
        """Returns why a job is refused, or None if it is accepted.

        Args:
            work: The job.
            views: The agents that its tasks may be sent to.
            queue: The tasks that wait at the entry.
            now: The monotonic clock in seconds.
        """
        name = work.profile.name
        if not views:
            upstreams = ", ".join(work.profile.upstreams) or "none"
            return self._refuse(
                cause_lib.Cause.NO_UPSTREAM,
                f"profile {name!r} uses the upstreams {upstreams}, "
                "and no agent of them is up",
            )
        left_ms = (work.deadline_at - now) * 1000
        if left_ms <= 0:
            return self._refuse(
                cause_lib.Cause.DEADLINE_PASSED,
                f"the deadline passed {-left_ms:.0f} ms before admission",
            )
        wait_ms = self._service.find_profile_drain_ms(
            name,
            queue.find_backlog_ms(work.profile),
            queue.find_share(work.profile),
            _find_usable_capacity(views, now),
            now,
        )
        if wait_ms > left_ms * _MAX_WAIT_FRACTION:
            return self._refuse(
                cause_lib.Cause.OVERLOADED,
                f"the expected wait of {wait_ms:.0f} ms for profile {name!r} "
                f"leaves too little of the {left_ms:.0f} ms to the deadline",
                math.ceil(wait_ms - left_ms * _MAX_WAIT_FRACTION),
            )
        return None

    def _refuse(
        self, cause: cause_lib.Cause, detail: str, retry_after_ms: int = 0
    ) -> failure_lib.Failure:
        return failure_lib.Failure(
            failure_lib.Outcome.NOT_RUN,
            cause,
            _STEP,
            self._entry_name,
            detail,
            retry_after_ms,
        )


def _find_usable_capacity(
    views: t.Sequence[agent_view.AgentView], now: float
) -> float:
    """Returns the part of the agents' capacity that serves this entry.

    The capacity is that of all slots, in milliseconds of work a millisecond.
    Other entries use the same agents, so the part is this entry's share of the
    tasks that the agents hold, or everything while they hold none.
    """
    own = sum(len(view.sent) for view in views)
    held = sum(view.find_occupancy(now) for view in views)
    speed = sum(view.member.slots * view.speed for view in views)
    return speed * own / held if held else speed
