"""The log: one eliot action from the entry to the runner and back.

An entry starts an action for a job and sends its task id with the job's
messages; an agent continues it. Jobs above a rate are not logged and
counted; the time line has them all the same.
"""

from __future__ import annotations

import enum
import queue
import re
import sys
import threading
import time
import typing as t

import eliot
import msgspec

from skylarkcleat.timeline import rate

DEFAULT_JOBS_PER_S = 20.0
MAX_WAITING_LINES = 10_000
STDOUT = "-"
JOB_ACTION = "skylarkcleat:job"
REMOTE_ACTION = "skylarkcleat:attempts"
LOST_MESSAGE = "skylarkcleat:lines-lost"
SKIPPED_MESSAGE = "skylarkcleat:jobs-not-logged"
_NOTICE_S = 1.0
_TASK_ID = re.compile(r"[0-9a-f-]{36}@(/[0-9]{1,9}){1,32}")


class Level(enum.IntEnum):
    """How much a line matters."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


_LEVELS = {level.name.lower(): level for level in Level}


class Log:
    """Writes lines of JSON in a thread of its own, from `with` on.

    Attributes:
        level: Lines below it are not written.
        skipped: Jobs that were not logged because there were too many.
        lost: Lines that were lost because the file was too slow.
    """

    def __init__(
        self, level: Level, file: str, process: str, jobs_per_s: float
    ) -> None:
        """Creates a log that is not open yet; see `create_log`."""
        self.level = level
        self.skipped = 0
        self.lost = 0
        self._path = file
        self._process = process
        self._bucket = rate.TokenBucket(jobs_per_s)
        self._unsaid = 0
        self._said_at = 0.0
        self._lines: queue.Queue[dict[str, t.Any] | None]
        self._lines = queue.Queue(MAX_WAITING_LINES)
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._file: t.BinaryIO | None = None
        self._thread = threading.Thread(
            target=self._write_lines, name="log", daemon=True
        )

    def __enter__(self) -> Log:
        """Opens the file and takes eliot's messages.

        Raises:
            OSError: The file cannot be opened.
        """
        self._file = sys.stderr.buffer
        if self._path == STDOUT:
            self._file = sys.stdout.buffer
        elif self._path:
            self._file = open(self._path, "ab")
        self._thread.start()
        eliot.add_destinations(self._take)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Writes what waits and closes the file."""
        eliot.remove_destination(self._take)
        self._lines.put(None)
        self._thread.join()
        if self._path not in ("", STDOUT):
            self._file.close()

    def start_job(
        self, job: str, profile: str, tasks: int, now: float
    ) -> eliot.Action | None:
        """Starts a job's action, or returns None if it is not to be logged.

        Whoever gets an action ends it with `finish`.

        Args:
            job: The job's identifier.
            profile: The profile's name.
            tasks: How many tasks the job has.
            now: Seconds of a monotonic clock.
        """
        if self.level > Level.INFO:
            return None
        if not self._bucket.take(now):
            self.skipped += 1
            self._unsaid += 1
            return None
        if self._unsaid and now - self._said_at >= _NOTICE_S:
            self._say_skipped(now)
        return eliot.start_task(
            action_type=JOB_ACTION, job=job, profile=profile, tasks=tasks
        )

    def continue_job(self, task_id: str, job: str) -> eliot.Action | None:
        """Continues an action of another process.

        Args:
            task_id: What `get_task_id` gave there; None is returned for
                anything else.
            job: The job's identifier.
        """
        if self.level > Level.INFO or not _TASK_ID.fullmatch(task_id):
            return None
        return eliot.Action.continue_task(
            task_id=task_id, action_type=REMOTE_ACTION, job=job
        )

    def write(self, level: Level, message: str, **fields: t.Any) -> None:
        """Writes one line, within the current action if there is one."""
        if level >= self.level:
            eliot.log_message(
                message_type=message, level=level.name.lower(), **fields
            )

    def _say_skipped(self, now: float) -> None:
        eliot.log_message(message_type=SKIPPED_MESSAGE, count=self._unsaid)
        self._unsaid = 0
        self._said_at = now

    def _take(self, message: dict[str, t.Any]) -> None:
        if _LEVELS.get(message.get("level"), Level.INFO) < self.level:
            return
        try:
            self._lines.put_nowait(message)
        except queue.Full:
            self.lost += 1

    def _write_lines(self) -> None:
        said = 0
        while (message := self._lines.get()) is not None:
            self._write_line(message)
            if self._lines.empty():
                said = self._say_lost(said)
        self._say_lost(said)

    def _say_lost(self, said: int) -> int:
        """Writes how many lines were lost, unless that was said."""
        lost = self.lost
        if lost > said:
            self._write_line(
                {
                    "timestamp": time.time(),
                    "message_type": LOST_MESSAGE,
                    "count": lost,
                }
            )
        return lost

    def _write_line(self, message: dict[str, t.Any]) -> None:
        line = self._encode({**message, "process": self._process})
        try:
            self._file.write(line + b"\n")
            if self._lines.empty():
                self._file.flush()
        except OSError:
            self.lost += 1

    def _encode(self, message: dict[str, t.Any]) -> bytes:
        """Encodes a line; fields that can't be encoded are escaped."""
        try:
            return self._encoder.encode(message)
        except (msgspec.MsgspecError, UnicodeError, TypeError, ValueError):
            escaped = {key: ascii(value) for key, value in message.items()}
            return self._encoder.encode(escaped)


def get_task_id(action: eliot.Action | None) -> str:
    """Returns what another process continues an action with.

    Empty if there is no action; each call gives another id.
    """
    return action.serialize_task_id().decode("ascii") if action else ""


def create_log(
    level: str,
    file: str,
    process: str,
    jobs_per_s: float = DEFAULT_JOBS_PER_S,
) -> Log:
    """Returns a log to be opened with `with`.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        file: An absolute path; standard error if empty, or `STDOUT`.
        process: The name of the process, set in each line.
        jobs_per_s: The most jobs a second that are logged.
    """
    return Log(Level[level.upper()], file, process, jobs_per_s)
