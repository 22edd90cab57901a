"""Gathers a job's events from many processes, piece by piece."""

from __future__ import annotations

import collections.abc

from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import missing as missing_lib

MAX_EVENTS = 50_000


class Collection:
    """Keeps track of who was asked, who answered, and who did not.

    Attributes:
        events: What has come in.
    """

    def __init__(
        self, job: str, processes: collections.abc.Iterable[str]
    ) -> None:
        """Creates a collection that nobody has been asked for.

        Args:
            job: The job's identifier.
            processes: The names of the processes to ask.
        """
        self.events: list[event_lib.Event] = []
        self._job = job
        self._after = dict.fromkeys(processes, 0)
        self._open = set(self._after)
        self._missing: dict[str, missing_lib.Missing] = {}

    @property
    def done(self) -> bool:
        """Whether nobody is left to answer."""
        return not self._open

    @property
    def missing(self) -> tuple[missing_lib.Missing, ...]:
        """The processes whose events are not or not all there."""
        return tuple(self._missing[name] for name in sorted(self._missing))

    def create_question(
        self, process: str, request: int
    ) -> diagnostics.EventQuery | None:
        """Returns what to ask a process next, or None if it is done.

        Args:
            process: The name of the process.
            request: What its answer is to carry.
        """
        if process not in self._open:
            return None
        after = self._after[process]
        return diagnostics.EventQuery(request, self._job, after)

    def take(self, found: diagnostics.EventPage) -> None:
        """Takes in an answer; one that was not asked for is passed over."""
        if found.process not in self._open:
            return
        room = MAX_EVENTS - len(self.events)
        self.events.extend(found.events[:room])
        if len(found.events) > room:
            self._close(found.process, f"more than {MAX_EVENTS} events")
        elif found.done or found.after <= self._after[found.process]:
            self._open.discard(found.process)
            self._note_missed(found)
        else:
            self._after[found.process] = found.after

    def give_up(self, process: str, reason: str) -> None:
        """Stops to wait for a process; one that is done stays so.

        Args:
            process: The name of the process.
            reason: Why, such as `does not answer`.
        """
        if process in self._open:
            self._close(process, reason)

    def _close(self, process: str, reason: str) -> None:
        self._open.discard(process)
        self._missing[process] = missing_lib.Missing(process, reason)

    def _note_missed(self, found: diagnostics.EventPage) -> None:
        if found.missed:
            reason = f"did not record {found.missed} events of the job"
            self._close(found.process, reason)
