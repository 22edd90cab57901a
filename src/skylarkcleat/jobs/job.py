"""The state of a job at one entry: its waiters, its owner and its tasks."""

from __future__ import annotations

import enum

from skylarkcleat.jobs import submission as submission_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching


class Phase(enum.Enum):
    """What a job waits for.

    Attributes:
        CLAIMING: The keepers' decision on this entry's claim.
        JOINING: The outcome from the owner, another entry.
        FENCING: The reports of the earlier cohort.
        RUNNING: The answers of its tasks.
        REVOKING: The replies to the revocation of a failing job's tasks.
        CLOSING: The keepers' decision that no task may start any more.
        ENDED: Nothing.
    """

    CLAIMING = "claiming"
    JOINING = "joining"
    FENCING = "fencing"
    RUNNING = "running"
    REVOKING = "revoking"
    CLOSING = "closing"
    ENDED = "ended"


class SlotState(enum.Enum):
    """The progress of one task as known to its owner.

    Attributes:
        UNSENT: No attempt has started or can start.
        READY: As `UNSENT`, and placement has been requested.
        SENT: An attempt was sent and has no reply.
        ANSWERED: The answer was received.
        BROKEN: An attempt started, or may have started, and failed.
        LOST: An attempt started or may have started; its outcome is unknown.
    """

    UNSENT = "unsent"
    READY = "ready"
    SENT = "sent"
    ANSWERED = "answered"
    BROKEN = "broken"
    LOST = "lost"


class Slot:
    """One task of a job.

    Attributes:
        state: The progress.
        attempt: The last attempt sent.
        agent: The agent that it was sent to.
        number: The number of the last attempt.
        is_held: Whether the attempt is an earlier owner's and has started.
        was_started: Whether any attempt has started or may have started.
        failure: Why the task is `BROKEN` or `LOST`.
        body: The answer.
    """

    __slots__ = (
        "agent",
        "attempt",
        "body",
        "failure",
        "is_held",
        "number",
        "state",
        "was_started",
    )

    def __init__(self):
        self.state = SlotState.UNSENT
        self.attempt: dispatching.Attempt | None = None
        self.agent: claiming.MemberRef | None = None
        self.number = 0
        self.is_held = False
        self.was_started = False
        self.failure: failure_lib.Failure | None = None
        self.body = b""

    def record_sent(
        self, attempt: dispatching.Attempt, agent: claiming.MemberRef
    ) -> None:
        """Records that an attempt is sent to an agent."""
        self.state = SlotState.SENT
        self.attempt = attempt
        self.agent = agent
        self.is_held = False

    def is_sent_as(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether the slot awaits the reply to an attempt."""
        return self.state is SlotState.SENT and self.attempt == attempt

    def record_held(
        self, attempt: dispatching.Attempt, agent: claiming.MemberRef
    ) -> None:
        """Records that an earlier owner's attempt has started at an agent."""
        self.record_sent(attempt, agent)
        self.is_held = True
        self.was_started = True

    def record_failure(self, failure: failure_lib.Failure) -> None:
        """Records the failure of an attempt that has, or may have, started."""
        is_unknown = failure.outcome is failure_lib.Outcome.UNKNOWN
        self.state = SlotState.LOST if is_unknown else SlotState.BROKEN
        self.failure = failure
        self.was_started = True

    def record_answer(self, body: bytes) -> None:
        """Records the answer."""
        self.state = SlotState.ANSWERED
        self.body = body
        self.was_started = True

    def reset(self) -> None:
        """Records that no attempt runs or can start."""
        self.state = SlotState.UNSENT
        self.is_held = False
        self.failure = None


class Job:
    """One job at one entry.

    Attributes:
        submission: The latest submission of the job at this entry.
        nonce: Distinguishes this record's claims from those of other records
            of the job at the same entry.
        phase: What the job waits for.
        callers: The deadline of each caller.
        joiners: Other entries that wait for the outcome.
        slots: The tasks.
        answered: How many of them are answered.
        deadline_at: The latest deadline of the callers and joiners.
        claim: This record's decided claim; None while it does not own the job.
        known_epoch: The highest epoch of a decided claim received.
        proposal: The claim that awaits the keepers' decision.
        previous_claim: An earlier owner's claim that the proposal follows.
        joined_claim: The claim of the owner whose outcome is awaited.
        pending_fences: Agents whose fence report is awaited.
        fence_reports: The started tasks that each fenced agent reported.
        unaccounted: Agents of the cohort whose started tasks stay unknown:
            they have departed, not replied or forgotten their records.
        failure: Why the job is being ended, or why its submission is refused.
        outcome: The outcome sent to the callers.
        is_kept: Whether the outcome answers later submissions too.
        phase_until: When the phase ends at the latest.
        retry_at: When its messages are sent again.
        last_seen_at: When the joined owner last reported that the job runs;
            at first, when the join began.
    """

    def __init__(self, submission: submission_lib.Submission, nonce: int):
        self.submission = submission
        self.nonce = nonce
        self.phase = Phase.CLAIMING
        self.callers: dict[str, float] = {}
        self.joiners: dict[claiming.MemberRef, None] = {}
        self.slots = [Slot() for _ in submission.payloads]
        self.answered = 0
        self.deadline_at = submission.deadline_at
        self.claim: claiming.Claim | None = None
        self.known_epoch = 0
        self.proposal: claiming.Claim | None = None
        self.previous_claim: claiming.Claim | None = None
        self.joined_claim: claiming.Claim | None = None
        self.pending_fences: set[claiming.MemberRef] = set()
        self.fence_reports: dict[claiming.MemberRef, tuple] = {}
        self.unaccounted: set[claiming.MemberRef] = set()
        self.failure: failure_lib.Failure | None = None
        self.outcome: claiming.Answers | failure_lib.Failure | None = None
        self.is_kept = False
        self.phase_until = 0.0
        self.retry_at = 0.0
        self.last_seen_at = 0.0

    @property
    def id(self) -> str:
        """The canonical job identifier."""
        return self.submission.job

    @property
    def digest(self) -> str:
        """The digest of the body."""
        return self.submission.digest

    @property
    def is_repeatable(self) -> bool:
        """Whether the task may start again after a failure.

        The submission and the claim in force must both declare it, since a
        later claim never makes a job repeatable.
        """
        known = self.claim or self.previous_claim
        is_claimed = known is None or known.repeatable
        return self.submission.repeatable and is_claimed

    @property
    def is_awaited(self) -> bool:
        """Whether anyone waits for the outcome."""
        return bool(self.callers or self.joiners)

    @property
    def has_started(self) -> bool:
        """Whether any task has started or may have started."""
        return any(slot.was_started for slot in self.slots)

    def is_answered(self) -> bool:
        """Returns whether every task is answered."""
        return self.answered == len(self.slots)

    def enter(self, phase: Phase, until: float) -> None:
        """Enters a phase that ends no later than `until`."""
        self.phase = phase
        self.phase_until = until
        self.retry_at = 0.0
