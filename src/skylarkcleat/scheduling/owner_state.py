"""What the parts of an owner share."""

from __future__ import annotations

import typing as t

from skylarkcleat import containment as containment_lib
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import follower_leases as follower_leases_lib
from skylarkcleat.scheduling import job_table as job_table_lib
from skylarkcleat.scheduling import outbox as outbox_lib
from skylarkcleat.scheduling import workers as workers_lib


class OwnerState(t.NamedTuple):
    """An owner's view of fronts, side processes and jobs.

    Attributes:
        followers: The fronts that follow this owner.
        workers: The side processes that hold a lease from it.
        jobs: Its jobs.
        outbox: Messages to be sent.
        containment: Contains the errors of single steps.
    """

    followers: follower_leases_lib.FollowerLeases
    workers: workers_lib.Workers
    jobs: job_table_lib.JobTable
    outbox: outbox_lib.Outbox
    containment: containment_lib.Containment

    def is_attended(self, job: active_job.ActiveJob, now: float) -> bool:
        """Returns whether a caller waits at a front that follows this owner."""
        return any(
            self.followers.is_following(waiter.peer, now)
            for waiter in job.waiters
        )

    def reply(
        self,
        waiter: active_job.Waiter,
        verdict: scheduling.Verdict,
        detail: str = "",
        retry_after_ms: int = 0,
    ) -> None:
        """Answers a front's request."""
        reply = scheduling.Reply(
            waiter.request, verdict, detail, retry_after_ms
        )
        self.outbox.send(waiter.peer, reply)
