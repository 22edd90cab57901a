"""The job at an entry: who waits for it, who owns it, how far its tasks are."""

from __future__ import annotations

import enum

from skylarkcleat.jobs import submission as submission_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import dispatching


class Phase(enum.Enum):
    """What a job waits for."""

    CLAIMING = "claiming"
    JOINING = "joining"
    FENCING = "fencing"
    RUNNING = "running"
    REVOKING = "revoking"
    CLOSING = "closing"
    ENDED = "ended"


class SlotState(enum.Enum):
    """How far one task is, as its owner knows."""

    UNSENT = "unsent"
    READY = "ready"
    SENT = "sent"
    ANSWERED = "answered"
    BROKEN = "broken"
    LOST = "lost"


class Slot:
    """One task of a job.

    Attributes:
        state: How far it is. `UNSENT` and `READY` mean that no attempt has
            started or can start.
        attempt: The last attempt sent.
        agent: Where that went.
        number: The number of the last attempt.
        is_held: Whether the attempt is an earlier owner's that has started.
        was_started: Whether any attempt has started, or may have.
        failure: Why it is `BROKEN` or `LOST`.
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
        """Records that an attempt goes to an agent."""
        self.state = SlotState.SENT
        self.attempt = attempt
        self.agent = agent
        self.is_held = False

    def is_sent_as(self, attempt: dispatching.Attempt) -> bool:
        """Returns whether an attempt is the one whose end is awaited."""
        return self.state is SlotState.SENT and self.attempt == attempt

    def record_held(
        self, attempt: dispatching.Attempt, agent: claiming.MemberRef
    ) -> None:
        """Records that an earlier owner's attempt has started at an agent."""
        self.record_sent(attempt, agent)
        self.is_held = True
        self.was_started = True

    def record_failure(self, failure: failure_lib.Failure) -> None:
        """Records that an attempt started, or may have, without an answer."""
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
        """Records that no attempt is under way or can start."""
        self.state = SlotState.UNSENT
        self.is_held = False
        self.failure = None


class Job:
    """One job at one entry.

    Attributes:
        submission: The latest submission of the job at this entry.
        nonce: Tells this record's claims from others of the same entry.
        phase: What it waits for.
        callers: Deadline by caller.
        joiners: Entries that wait for the outcome.
        slots: The tasks.
        answered: How many of them are answered.
        deadline_at: The latest deadline of the callers.
        claim: This record's decided claim; None while it does not own the job.
        known_epoch: The highest epoch of a claim that was heard of.
        proposal: The claim that the keepers were asked to decide.
        base: The claim of another owner that the proposal follows on.
        rival: The other owner's claim that the job is joined to.
        pending: Agents whose fence report is awaited.
        reports: What fenced agents had started.
        unproven: Agents of the cohort that cannot tell what they started.
        failure: Why the job is being ended, or was refused.
        outcome: What the callers were told.
        is_kept: Whether the outcome answers later submissions too.
        phase_until: When the phase ends at the latest.
        retry_at: When its messages are sent again.
        heard_at: When the rival was last heard.
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
        """The canonical identifier."""
        return self.submission.job

    @property
    def digest(self) -> str:
        """The digest of the body."""
        return self.submission.digest

    @property
    def is_repeatable(self) -> bool:
        """Whether its task may start again after a failure."""
        known = self.claim or self.previous_claim
        is_claimed = known is None or known.repeatable
        return self.submission.repeatable and is_claimed

    @property
    def is_awaited(self) -> bool:
        """Whether anyone waits for the outcome."""
        return bool(self.callers or self.joiners)

    @property
    def has_started(self) -> bool:
        """Whether any task has started, or may have."""
        return any(slot.was_started for slot in self.slots)

    def is_answered(self) -> bool:
        """Returns whether every task is answered."""
        return self.answered == len(self.slots)

    def enter(self, phase: Phase, until: float) -> None:
        """Enters a phase that ends at a time at the latest."""
        self.phase = phase
        self.phase_until = until
        self.retry_at = 0.0
