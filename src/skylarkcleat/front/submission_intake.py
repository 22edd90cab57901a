"""Keeps submissions until the owner has time for them, or refuses them."""

from __future__ import annotations

import collections.abc
import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import intake as intake_lib
from skylarkcleat.wire import session as session_lib

OVERLOADED = "owner:overloaded"
"""The type of the line about a submission that the owner has no time for."""

Handle = collections.abc.Callable[
    [session_lib.Endpoint, scheduling.Submit], None
]


class SubmissionIntake:
    """The submissions that the owner here has not taken up yet.

    Args:
        configuration_cache: Lists the queues.
        send: Sends a message to one incarnation of a process.
    """

    def __init__(
        self,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        send: collections.abc.Callable[[session_lib.Endpoint, t.Any], None],
    ) -> None:
        self._configuration_cache = configuration_cache
        self._send = send
        self._intake = intake_lib.Intake()

    def __len__(self) -> int:
        """Returns how many submissions wait."""
        return len(self._intake)

    def add(
        self, peer: session_lib.Endpoint, message: scheduling.Submit
    ) -> None:
        """Adds a submission that has just been received."""
        now = clock_lib.read_monotonic()
        queue = self._configuration_cache.find_submission_queue(message)
        self._intake.add(intake_lib.create_pending(peer, message, queue, now))

    def take_up(
        self,
        until: float,
        handle: Handle,
        is_known: collections.abc.Callable[[str], bool],
    ) -> None:
        """Hands submissions on, and refuses those that are late.

        Args:
            until: The time from when on other messages come first, in seconds.
            handle: Takes up a submission.
            is_known: Whether the owner knows a job. It is not refused, as it
                may have run for a caller at another front.
        """
        now = clock_lib.read_monotonic()
        wait_s = self._intake.find_wait_s(now)
        for late in self._intake.take_late(now):
            if is_known(late.message.job.id):
                handle(late.peer, late.message)
            else:
                self._refuse(late, wait_s, now)
        while now < until:
            pending = self._intake.take(now)
            if pending is None:
                return
            handle(pending.peer, pending.message)
            now = clock_lib.read_monotonic()

    def is_congested(self, now: float) -> bool:
        """Returns whether submissions come faster than they are taken up."""
        return self._intake.is_congested(now)

    def find_wait_s(self, now: float) -> float:
        """Returns how long the oldest submission has waited, in seconds."""
        return self._intake.find_wait_s(now)

    def take_job(self, job: str) -> intake_lib.Pending | None:
        """Returns a job's submission if it waits, to be taken up at once."""
        return self._intake.take_job(job)

    def discard(self, peer: session_lib.Endpoint, request: int) -> bool:
        """Removes a submission whose caller has gone; returns if it waited."""
        return self._intake.discard(peer, request)

    def discard_front(self, name: str) -> None:
        """Removes the submissions of a front, which will send them again."""
        self._intake.discard_front(name)

    def clear(self) -> None:
        """Removes all submissions."""
        self._intake.clear()

    def _refuse(
        self, late: intake_lib.Pending, wait_s: float, now: float
    ) -> None:
        """Refuses a submission; nothing of it has run under this owner."""
        message = late.message
        verdict = scheduling.Verdict.NOT_RUN
        if message.was_sent:
            verdict = scheduling.Verdict.UNCERTAIN
        eliot.log_message(
            OVERLOADED,
            job=message.job.id,
            verdict=verdict.value,
            age_ms=round((now - late.sent_at) * 1000),
            received_ms=round((now - late.received_at) * 1000),
            waiting=len(self._intake),
        )
        reply = scheduling.Reply(
            message.request,
            verdict,
            "the owner has no time for it",
            round(wait_s * 1000),
            version=self._configuration_cache.version,
        )
        self._send(late.peer, reply)
