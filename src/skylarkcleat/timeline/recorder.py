"""The recorder: a process's own recent events, bounded in memory and rate."""

from __future__ import annotations

import collections
import collections.abc
import itertools
import typing as t

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.timeline import clock as clock_lib
from skylarkcleat.timeline import ending as ending_lib
from skylarkcleat.timeline import event as event_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import rate as rate_lib

DEFAULT_MAX_EVENTS = 40_000
DEFAULT_MAX_RATE = 20_000.0
MAX_JOB_EVENTS = 8_192
MAX_RECENT = 4_096
MAX_PROCESS_EVENTS = 1_024
_SHORT_JOBS = 1_024
_RESERVED_SHARE = 0.25
_DROP_NOTICE_MS = 1_000
_create_event = tuple.__new__


class Piece(t.NamedTuple):
    """A stretch of a process's events in the order of recording.

    Attributes:
        events: The events, oldest first.
        after: The position behind the last of them; ask for more with it.
        missed: Events between the position asked for and the first of these
            that are gone.
    """

    events: tuple[event_lib.Event, ...]
    after: int
    missed: int


class Recorder:
    """Keeps the latest events of one process.

    Whole jobs are dropped, the longest known first, so that what is kept of a
    job is all of it. Above the rate, events of attempts that went well are
    dropped first; `dropped` counts every event that was not recorded, and an
    `EVENTS_DROPPED` event says so at most once a second.

    Attributes:
        clock: Gives the stamps.
        dropped: Events that were not recorded, since the start.
        evicted: Events that were recorded and gave way to newer ones.
    """

    def __init__(
        self,
        process: str,
        zone: str,
        clock: clock_lib.HybridClock,
        max_events: int = DEFAULT_MAX_EVENTS,
        max_rate: float = DEFAULT_MAX_RATE,
    ) -> None:
        """Creates an empty recorder.

        Args:
            process: The name of the process, set in each event.
            zone: The availability zone of the process, set in each event.
            clock: Gives the stamps; the process's messages share it.
            max_events: The most events of jobs that are kept.
            max_rate: The most events a second that are recorded.
        """
        self.dropped = 0
        self.evicted = 0
        self._process = process
        self._zone = zone
        self.clock = clock
        self._max_events = max_events
        self._bucket = rate_lib.TokenBucket(max_rate)
        self._floor = 1.0 + max_rate * _RESERVED_SHARE
        self._wall_ms = 0
        self._jobs: dict[str, list[event_lib.Event]] = {}
        self._kept = 0
        self._recent: collections.deque[event_lib.Event] = collections.deque(
            maxlen=MAX_RECENT
        )
        self._position = 0
        self._process_events: collections.deque[event_lib.Event] = (
            collections.deque(maxlen=MAX_PROCESS_EVENTS)
        )
        self._short: dict[str, int] = {}
        self._unsaid = 0
        self._said_ms = 0

    def record(
        self,
        kind: kind_lib.Kind,
        wall_ms: int,
        job: str = "",
        task: int = event_lib.NO_TASK,
        attempt: int = 0,
        epoch: int = 0,
        peer: str = "",
        profile: str = "",
        profile_version: int = 0,
        cause: cause_lib.Cause | None = None,
        ending: ending_lib.Ending | None = None,
        duration_ms: float = 0.0,
        wait_ms: float = 0.0,
        at_ms: float = 0.0,
        expected_ms: float = 0.0,
        deadline_ms: float = 0.0,
        count: int = 0,
        subject: str = "",
    ) -> None:
        """Records an event, or counts it as dropped.

        The arguments are the attributes of
        `skylarkcleat.timeline.event.Event`; `wall_ms` is the wall clock in
        milliseconds since the epoch, from which the stamp is made.
        """
        if wall_ms != self._wall_ms:
            self._wall_ms = wall_ms
            self._bucket.refill(wall_ms / 1_000)
            if self._unsaid:
                self._say_dropped(wall_ms)
        tokens = self._bucket.tokens
        if tokens < self._floor and not self._may_pass(kind, tokens):
            self._drop(job)
            return
        self._bucket.tokens = tokens - 1.0
        # Building from one tuple spares the named constructor's call.
        event = _create_event(
            event_lib.Event,
            (
                self.clock.tick(wall_ms),
                kind,
                self._process,
                self._zone,
                job,
                task,
                attempt,
                epoch,
                peer,
                profile,
                profile_version,
                cause,
                ending,
                duration_ms,
                wait_ms,
                at_ms,
                expected_ms,
                deadline_ms,
                count,
                subject,
            ),
        )
        self._keep(event)

    def find_job(self, job: str) -> tuple[event_lib.Event, ...]:
        """Returns what is kept of a job, oldest first."""
        return tuple(self._jobs.get(job, ()))

    def count_short(self, job: str) -> int:
        """Returns how many events of a job were not recorded."""
        return self._short.get(job, 0)

    def find_process_events(self) -> tuple[event_lib.Event, ...]:
        """Returns the latest events that are of no job, oldest first."""
        return tuple(self._process_events)

    def read_after(self, after: int, limit: int) -> Piece:
        """Returns the next recent events behind a position.

        Args:
            after: 0 for the oldest that is kept, or a piece's `after`.
            limit: The most events to return.
        """
        first = self._position - len(self._recent)
        begin = min(max(after, first), self._position)
        taken = itertools.islice(
            self._recent, begin - first, begin - first + limit
        )
        events = tuple(taken)
        missed = max(0, first - after) if after else 0
        return Piece(events, begin + len(events), missed)

    def _keep(self, event: event_lib.Event) -> None:
        self._recent.append(event)
        self._position += 1
        if not event.job:
            self._process_events.append(event)
            return
        events = self._jobs.get(event.job)
        if events is None:
            self._jobs[event.job] = [event]
        elif len(events) < MAX_JOB_EVENTS:
            events.append(event)
        else:
            self._drop(event.job)
            return
        self._kept += 1
        if self._kept > self._max_events:
            self._evict()

    def _may_pass(self, kind: kind_lib.Kind, tokens: float) -> bool:
        """Tells whether what is left of the rate is open to a kind."""
        return tokens >= 1.0 and kind not in kind_lib.ROUTINE

    def _evict(self) -> None:
        oldest = next(iter(self._jobs))
        gone = len(self._jobs.pop(oldest))
        self._kept -= gone
        self.evicted += gone

    def _drop(self, job: str) -> None:
        self.dropped += 1
        self._unsaid += 1
        if not job:
            return
        self._short[job] = self._short.get(job, 0) + 1
        if len(self._short) > _SHORT_JOBS:
            del self._short[next(iter(self._short))]

    def _say_dropped(self, wall_ms: int) -> None:
        if wall_ms - self._said_ms < _DROP_NOTICE_MS:
            return
        event = event_lib.Event(
            self.clock.tick(wall_ms),
            kind_lib.Kind.EVENTS_DROPPED,
            self._process,
            self._zone,
            count=self._unsaid,
        )
        self._unsaid = 0
        self._said_ms = wall_ms
        self._keep(event)
