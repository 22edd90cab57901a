"""A process's account: what it records, answers and reports."""

from __future__ import annotations

import collections.abc

from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import clock as clock_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import incident_codec
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import queries
from skylarkcleat.timeline import recorder as recorder_lib
from skylarkcleat.timeline import reporter as reporter_lib


class Account:
    """Ties clock, recorder and reporter of one process together.

    Attributes:
        process: The name of the process.
        clock: Gives and takes the stamps of the process's messages.
        recorder: The process's recent events.
        reporter: The incidents on their way to control.
    """

    def __init__(
        self,
        process: str,
        zone: str,
        recorder: recorder_lib.Recorder | None = None,
        reporter: reporter_lib.Reporter | None = None,
    ) -> None:
        """Creates an account with nothing in it.

        Args:
            process: The name of the process.
            zone: The availability zone of the process.
            recorder: One with other bounds, if wanted, and a clock.
            reporter: One with other bounds, if wanted.
        """
        self.process = process
        if recorder is None:
            clock = clock_lib.HybridClock()
            recorder = recorder_lib.Recorder(process, zone, clock)
        self.recorder = recorder
        self.clock = recorder.clock
        self.reporter = reporter or reporter_lib.Reporter()

    def receive(self, peer: str, stamp: int, wall_ms: int) -> None:
        """Takes the stamp of a peer's message, and records a wrong clock.

        Args:
            peer: The name of the process that sent it.
            stamp: The stamp that the message carried.
            wall_ms: The wall clock, in milliseconds since the epoch.
        """
        reading = self.clock.merge(stamp, wall_ms)
        if reading is clock_lib.Reading.TOO_FAR_AHEAD:
            self.recorder.record(
                kind_lib.Kind.CLOCK_FAULT,
                wall_ms,
                peer=peer,
                duration_ms=float(clock_lib.read_ms(stamp) - wall_ms),
            )

    def find_witnesses(self, job: str) -> tuple[str, ...]:
        """Returns the agents to ask before a job that ended badly is closed.

        Args:
            job: A job that this process, an entry, has finished.
        """
        rows = self.recorder.find_job(job)
        if incident_lib.find_trouble(rows) is None:
            return ()
        return incident_lib.choose_witnesses(rows, job)

    def close_job(
        self,
        job: str,
        wall_ms: int,
        now: float,
        events: collections.abc.Iterable[event_lib.Event] = (),
    ) -> incident_lib.Incident | None:
        """Reports a job that ended badly; returns None if it did not.

        None as well if there is no room to report it, which is counted.

        Args:
            job: A job that this process, an entry, has finished.
            wall_ms: The wall clock, in milliseconds since the epoch.
            now: Seconds of a monotonic clock.
            events: What the witnesses recorded.
        """
        rows = self.recorder.find_job(job)
        trouble = incident_lib.find_trouble(rows)
        if trouble is None:
            return None
        return self._report(job, trouble, [*rows, *events], wall_ms, now)

    def close_lost(
        self, job: str, entry: str, wall_ms: int, now: float
    ) -> incident_lib.Incident | None:
        """Reports, as an agent, a job whose entry was lost.

        Args:
            job: The job's identifier.
            entry: The name of the entry.
            wall_ms: The wall clock, in milliseconds since the epoch.
            now: Seconds of a monotonic clock.
        """
        self.recorder.record(kind_lib.Kind.LOST, wall_ms, job, peer=entry)
        rows = self.recorder.find_job(job)
        lost = incident_lib.Trouble.ENTRY_LOST
        return self._report(job, lost, rows, wall_ms, now)

    def answer(self, question: diagnostics.EventQuery) -> diagnostics.EventPage:
        """Returns the piece of the events that was asked for."""
        return queries.answer_query(self.recorder, self.process, question)

    def take_report(
        self, request: int, now: float
    ) -> diagnostics.IncidentReport | None:
        """Returns what to send to control now, or None.

        Args:
            request: What the acknowledgement is to carry.
            now: Seconds of a monotonic clock.
        """
        batch = self.reporter.take_due(now)
        if batch is None:
            return None
        packed = incident_codec.pack_incidents(batch.incidents)
        return diagnostics.IncidentReport(
            request, self.process, packed, batch.unrecorded
        )

    def take_ack(self, ack: diagnostics.IncidentAck) -> None:
        """Forgets the incidents that control has on its disk."""
        self.reporter.acknowledge(ack.ids)

    def _report(
        self,
        job: str,
        trouble: incident_lib.Trouble,
        events: collections.abc.Iterable[event_lib.Event],
        wall_ms: int,
        now: float,
    ) -> incident_lib.Incident | None:
        if not self.reporter.has_room(now):
            self.reporter.leave_out()
            return None
        incident = incident_lib.create_incident(
            job, self.process, wall_ms, trouble, events
        )
        self.reporter.report(incident, now)
        return incident
