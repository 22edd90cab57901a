"""Answers what fronts ask of the owner: jobs, their states and cancels."""

from __future__ import annotations

import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat.configuration import content
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import submission_intake
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.wire import session as session_lib

_DETAILS = {
    scheduling.Verdict.UNKNOWN_JOB: "no such job",
    scheduling.Verdict.NOT_RUN: "the owner of the jobs has just begun",
}
"""What is said beside the verdict on a job that an owner does not know."""

_ID_TAKEN = "a job of another queue has its id"


class OwnerRequests:
    """Handles the requests to one owner.

    Args:
        owner: The owner.
        term: Its term.
        intake: The submissions that it has not taken up yet.
        configuration_cache: Lists the queues.
        send: Sends a message to one incarnation of a process.

    Attributes:
        term: The owner's term; requests for another one are refused.
    """

    def __init__(
        self,
        owner: owner_lib.Owner,
        term: int,
        intake: submission_intake.SubmissionIntake,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        send: t.Callable[[session_lib.Endpoint, t.Any], None],
    ) -> None:
        self.term = term
        self._owner = owner
        self._intake = intake
        self._configuration_cache = configuration_cache
        self._send = send

    def handle(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Submit | scheduling.JobRequest,
    ) -> None:
        """Handles a request; one that an error prevents is answered so."""
        owner, job = self._owner, ""
        if isinstance(message, scheduling.Submit):
            job = message.job.id
        was_known = job in owner.jobs
        try:
            self._handle(peer, message)
        except Exception as error:
            now = clock_lib.read_monotonic()
            owner.containment.record("handle a request", error, now, peer.name)
            if job in owner.jobs and not was_known:
                owner.end_after_error(job, now)
                return
            verdict = scheduling.Verdict.UNCERTAIN
            if job and not was_known and not message.was_sent:
                verdict = scheduling.Verdict.NOT_RUN
            self.reply(peer, message.request, verdict, active_job.ERROR)

    def knows(self, job: str) -> bool:
        """Returns whether the owner knows a job, or may have known it."""
        now = clock_lib.read_monotonic()
        verdict = self._owner.find_verdict(job, now)
        return verdict is not scheduling.Verdict.UNKNOWN_JOB

    def reply(
        self,
        peer: session_lib.Endpoint,
        request: int,
        verdict: scheduling.Verdict,
        detail: str,
    ) -> None:
        """Answers a request."""
        version = self._configuration_cache.version
        reply = scheduling.Reply(request, verdict, detail, version=version)
        self._send(peer, reply)

    def _handle(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.Submit | scheduling.JobRequest,
    ) -> None:
        if message.term != self.term:
            refuse(peer, message, self._send)
            return
        if not self._configuration_cache.version:
            verdict = scheduling.Verdict.NOT_RUN
            self.reply(peer, message.request, verdict, "no configuration")
            return
        if isinstance(message, scheduling.Submit):
            self._handle_submission(peer, message)
            return
        queue = self._configuration_cache.find_queue(message.host, message.path)
        # A job precedes what is asked about it.
        pending = self._intake.take_job(message.job)
        if pending is not None:
            self.handle(pending.peer, pending.message)
        if message.job:
            self._answer_query(peer, message, queue)
        elif queue is None:
            self._refuse_unknown_queue(peer, message.request)
        else:
            self._count_waiting(peer, message.request, queue)

    def _handle_submission(
        self, peer: session_lib.Endpoint, message: scheduling.Submit
    ) -> None:
        """Accepts a job, or adds its caller to a job that is known already."""
        now = clock_lib.read_monotonic()
        queries = self._owner.queries
        if queries.is_elsewhere(message.job.id, message.host, message.path):
            verdict = scheduling.Verdict.INVALID
            self.reply(peer, message.request, verdict, _ID_TAKEN)
            return
        queue = self._configuration_cache.find_submission_queue(message)
        if queue is None:
            if not self._owner.resume(peer, message, now):
                self._refuse_unknown_queue(peer, message.request)
            return
        unsupported = message.job.unsupported or queue.unsupported
        if unsupported:
            verdict = scheduling.Verdict.NOT_RUN
            text = f"jobs that are {unsupported} are not served"
            self.reply(peer, message.request, verdict, text)
            return
        self._owner.submit(peer, message, queue, now)

    def _refuse_unknown_queue(
        self, peer: session_lib.Endpoint, request: int
    ) -> None:
        verdict = scheduling.Verdict.UNKNOWN_QUEUE
        self.reply(peer, request, verdict, "no such queue")

    def _answer_query(
        self,
        peer: session_lib.Endpoint,
        message: scheduling.JobRequest,
        queue: content.Queue | None,
    ) -> None:
        """Answers for a job, which goes on if its queue is removed."""
        now = clock_lib.read_monotonic()
        queries = self._owner.queries
        if queries.is_elsewhere(message.job, message.host, message.path):
            verdict = scheduling.Verdict.UNKNOWN_JOB
        elif message.cancel:
            verdict = self._owner.cancel(message.job, now)
        else:
            verdict = self._owner.find_verdict(message.job, now)
        if verdict is scheduling.Verdict.UNKNOWN_JOB and queue is None:
            self._refuse_unknown_queue(peer, message.request)
            return
        self.reply(peer, message.request, verdict, _DETAILS.get(verdict, ""))

    def _count_waiting(
        self, peer: session_lib.Endpoint, request: int, queue: content.Queue
    ) -> None:
        reply = scheduling.Reply(
            request,
            scheduling.Verdict.COUNTED,
            count=self._owner.queries.count_waiting(queue.name),
            version=self._configuration_cache.version,
        )
        self._send(peer, reply)


def refuse(
    peer: session_lib.Endpoint,
    message: t.Any,
    send: t.Callable[[session_lib.Endpoint, t.Any], None],
) -> None:
    """Refuses a message, if it is a request, for an owner that isn't here."""
    if isinstance(message, scheduling.Submit | scheduling.JobRequest):
        verdict = scheduling.Verdict.NOT_OWNER
        send(peer, scheduling.Reply(message.request, verdict))
