"""The context: what the steps of the job protocol share at one entry."""

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
    """Bounds on the waits of the protocol, in seconds.

    Attributes:
        claim: On a decision of the keepers.
        claim_retry: Between two proposals of the same claim.
        join_retry: Between two joins of the same job.
        owner_silence: On a word of an owner that is not known to be up.
        fence: On the reports of fenced agents.
        fence_retry: Between two fences of the same agent.
        held_retry: Between two requests for the same answer.
        revoke: On the replies to a revocation.
        revoke_retry: Between two revocations of the same tasks.
        grace: After the deadline, until the job ends whatever it waits for.
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
    """An entry and its surroundings.

    Attributes:
        ref: The entry's incarnation.
        address: The entry's address.
        members: Which other incarnations are up.
        claims: Where claims are decided.
        timeouts: The bounds on waits.
        now: The monotonic clock, in seconds.
        out: What the daemon is to do.
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
        """Sends a message to one incarnation."""
        self.effects.append(effects.SendTo(member, message))

    def pop_effects(self) -> list[effects.Effect]:
        """Returns the effects since the last call."""
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
        """Returns a failure that arose at this entry."""
        return failure_lib.Failure(outcome, cause, step, self.ref.name, detail)

    def finish(
        self,
        job: job_lib.Job,
        outcome: claiming.Answers | failure_lib.Failure,
        is_kept: bool,
    ) -> None:
        """Ends a job and tells everyone who waits for it.

        Args:
            job: The job, which must not have ended.
            outcome: What they are told.
            is_kept: Whether it is the answer to later submissions too; never
                if it is `UNKNOWN`, which a later one may find out.
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
    """Returns the message that tells another entry of a job's outcome.

    Args:
        job: The job identifier.
        nonce: The nonce of the claim that the other entry knows.
        outcome: The outcome.
    """
    if isinstance(outcome, claiming.Answers):
        return claiming.JoinAnswers(job, nonce, outcome.bodies)
    return claiming.JoinFailure(job, nonce, outcome)
