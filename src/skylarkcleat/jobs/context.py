"""State that all steps of the job protocol share at one entry."""

from __future__ import annotations

import typing as t

from skylarkcleat.jobs import claim_store
from skylarkcleat.jobs import effects
from skylarkcleat.jobs import job as job_lib
from skylarkcleat.jobs import member_view
from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming


class Timeouts(t.NamedTuple):
    """Timeouts and retry intervals of the job protocol, in seconds.

    Attributes:
        claim: How long to wait for a decision of the keepers.
        claim_retry: Interval between proposals of the same claim.
        join_retry: Interval between `Join` messages for the same job.
        owner_timeout: How long to wait for a message from an owner that is
            not known to be up before taking over its job.
        fence: How long to wait for the reports of fenced agents.
        fence_retry: Interval between fences sent to the same agent.
        held_answer_retry: Interval between requests for the same answer.
        revoke: How long to wait for the replies to a revocation.
        revoke_retry: Interval between revocations of the same tasks.
        grace: How long after the deadline a caller, or a job that is not
            `RUNNING`, still waits for an outcome. At the bound the outcome
            is reported as unknown.
    """

    claim: float = 2.0
    claim_retry: float = 0.1
    join_retry: float = 0.25
    owner_timeout: float = 2.0
    fence: float = 3.0
    fence_retry: float = 0.25
    held_answer_retry: float = 0.5
    revoke: float = 0.5
    revoke_retry: float = 0.1
    grace: float = 3.0


class Context:
    """An entry with its clock, peers and pending effects.

    Attributes:
        ref: The entry's incarnation.
        address: The entry's address.
        members: Which other incarnations are up or have departed.
        claims: The store that has claims decided.
        timeouts: The timeouts and retry intervals.
        now: The monotonic clock, in seconds.
        effects: The actions that the daemon is to carry out, in order.
    """

    def __init__(
        self,
        ref: claiming.MemberRef,
        address: str,
        claims: claim_store.ClaimStore,
        timeouts: Timeouts,
    ):
        self.ref = ref
        self.address = address
        self.members = member_view.MemberView()
        self.claims = claims
        self.timeouts = timeouts
        self.now = 0.0
        self.effects: list[effects.Effect] = []

    def send(self, member: claiming.MemberRef, message: t.NamedTuple) -> None:
        """Queues a message to one incarnation for sending."""
        self.effects.append(effects.SendTo(member, message))

    def pop_effects(self) -> list[effects.Effect]:
        """Removes and returns the effects recorded since the last call."""
        out = self.effects
        self.effects = []
        return out

    def create_failure(
        self,
        outcome: failure_lib.Outcome,
        cause: cause_lib.Cause,
        step: str,
        detail: str,
    ) -> failure_lib.Failure:
        """Returns a failure that names this entry as its origin."""
        return failure_lib.Failure(outcome, cause, step, self.ref.name, detail)

    def finish(
        self,
        job: job_lib.Job,
        outcome: claiming.Answers | failure_lib.Failure,
        is_kept: bool,
    ) -> None:
        """Ends a job and sends its outcome to all callers and joiners.

        Args:
            job: The job, which must not have ended.
            outcome: The outcome to send.
            is_kept: Whether to answer later submissions with it too. An
                `UNKNOWN` outcome is never kept, because a later submission
                may determine the actual one.
        """
        job.phase = job_lib.Phase.ENDED
        job.outcome = outcome
        job.is_kept = is_kept and not _is_unknown(outcome)
        for caller in job.callers:
            self.effects.append(effects.Finished(caller, job.id, outcome))
        message = create_join_reply(job.id, job.nonce, outcome)
        for joiner in job.joiners:
            self.send(joiner, message)
        job.callers = {}
        job.joiners = {}


def _is_unknown(outcome: claiming.Answers | failure_lib.Failure) -> bool:
    is_failure = isinstance(outcome, failure_lib.Failure)
    return is_failure and outcome.outcome is failure_lib.Outcome.UNKNOWN


def create_join_reply(
    job: str,
    nonce: int,
    outcome: claiming.Answers | failure_lib.Failure,
) -> claiming.JoinAnswers | claiming.JoinFailure:
    """Returns the message that sends a job's outcome to another entry.

    Args:
        job: The job identifier.
        nonce: The nonce of the claim under which the other entry joined.
        outcome: The outcome.
    """
    if isinstance(outcome, claiming.Answers):
        return claiming.JoinAnswers(job, nonce, outcome.bodies)
    return claiming.JoinFailure(job, nonce, outcome)
