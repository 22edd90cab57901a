"""Explains a job of the platform from captured log lines alone."""

from __future__ import annotations

import enum
import typing as t

import msgspec

from skylarkcleat.front import obstacle as obstacle_lib
from skylarkcleat.scheduling import active_job
from skylarkcleat.scheduling import run_endings

FRONT_OWNER = "front:owner"
WAIT_SHARE = 0.25
"""A job whose first task waited for this share of its objective waited."""

_REFUSED = frozenset(("draining", "room", "silent", "held", "old", "no-clock"))


class Cause(enum.Enum):
    """Why a job ended as it did."""

    ON_TIME = "on-time"
    WAITED_FOR_ROOM = "waited-for-room"
    SLOW_RUN = "slow-run"
    RUN_FAILED = "run-failed"
    RUN_LOST = "run-lost"
    CRASHES = "crashes"
    START_REFUSED = "start-refused"
    START_UNANSWERED = "start-unanswered"
    OWNER_CHANGED = "owner-changed"
    NO_ROOM = "no-room"
    NO_RUNNER = "no-runner"
    OWNER_WAITED = "owner-waited"
    CALLER_GONE = "caller-gone"
    RAN_TWICE = "ran-twice"
    NO_OWNER = "no-owner"
    NO_CONFIGURATION = "no-configuration"
    NOT_SEEN = "not-seen"


SENTENCES = {
    Cause.ON_TIME: "It was completed in time.",
    Cause.WAITED_FOR_ROOM: "Its tasks waited for room on a runner.",
    Cause.SLOW_RUN: "A task took longer than the job's objective allows.",
    Cause.RUN_FAILED: "A task failed on its runner.",
    Cause.RUN_LOST: "A task was lost with its runner or lease.",
    Cause.CRASHES: "It was given up: runners crashed under one of its tasks.",
    Cause.START_REFUSED: "A side process refused to start a task.",
    Cause.START_UNANSWERED: "A runner did not answer the start of a task.",
    Cause.OWNER_CHANGED: "The owner of the jobs changed meanwhile.",
    Cause.NO_ROOM: "It was refused: no runner had room in time.",
    Cause.NO_RUNNER: "It was refused: no runner took tasks.",
    Cause.OWNER_WAITED: (
        "It was refused: the owner had not heard all side processes."
    ),
    Cause.CALLER_GONE: "Its caller had gone before its end.",
    Cause.RAN_TWICE: "A task was done twice.",
    Cause.NO_OWNER: "No owner took it; a front heard none in that time.",
    Cause.NO_CONFIGURATION: (
        "It was refused: a front did not know the newest configuration."
    ),
    Cause.NOT_SEEN: "No line names it: no owner took it.",
}

_OBSTACLES = {
    obstacle_lib.Obstacle.PAUSED: Cause.NO_OWNER,
    obstacle_lib.Obstacle.NO_OWNER: Cause.NO_OWNER,
    obstacle_lib.Obstacle.NO_CONFIGURATION: Cause.NO_CONFIGURATION,
    obstacle_lib.Obstacle.OUTDATED_CONFIGURATION: Cause.NO_CONFIGURATION,
}


class Line(t.NamedTuple):
    """A captured line.

    Attributes:
        prefix: What stood before the JSON: a time and the VM, or nothing.
        kind: Its message type.
        fields: The others.
    """

    prefix: str
    kind: str
    fields: dict[str, t.Any]


class Account(t.NamedTuple):
    """What became of a job.

    Attributes:
        cause: Why.
        lines: The lines that name it, in the order of the capture.
    """

    cause: Cause
    lines: tuple[Line, ...]


def read_lines(rows: t.Iterable[str]) -> t.Iterator[Line]:
    """Returns the log lines among captured rows; others are passed over.

    A row is a line of JSON, with or without a time and a VM's name before it.
    """
    for row in rows:
        start = row.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(row[start:], type=dict)
        except msgspec.DecodeError:
            continue
        kind = fields.get("message_type", "")
        if isinstance(kind, str):
            yield Line(row[:start].strip(), kind, fields)


def explain_job(lines: t.Iterable[Line], job: str) -> Account:
    """Returns what became of a job.

    Args:
        lines: All captured lines, of all processes.
        job: Its id.
    """
    named = []
    was_ownerless = False
    for line in lines:
        if line.kind == FRONT_OWNER:
            was_ownerless = was_ownerless or not line.fields.get("owner")
        elif _names_job(line, job):
            named.append(line)
    return Account(_find_cause(named, was_ownerless), tuple(named))


def _names_job(line: Line, job: str) -> bool:
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == job or task.startswith(f"{job}.")


def _find_cause(named: list[Line], was_ownerless: bool) -> Cause:
    ends = [line.fields for line in named if line.kind == active_job.JOB_ENDED]
    if not ends:
        for line in named:
            if line.kind == obstacle_lib.REFUSED:
                detail = line.fields["detail"]
                return _OBSTACLES.get(detail, Cause.OWNER_CHANGED)
        return Cause.NO_OWNER if was_ownerless else Cause.NOT_SEEN
    if _ran_twice(ends):
        return Cause.RAN_TWICE
    completed = [end for end in ends if end["verdict"] == "completed"]
    if completed:
        return _explain_completed(completed[0], named)
    return _explain_unserved(ends[-1])


def _list_runs(end: dict[str, t.Any]) -> list[active_job.RunRecord]:
    return [active_job.RunRecord(*record) for record in end["runs"]]


def _ran_twice(ends: list[dict[str, t.Any]]) -> bool:
    done = {
        (record.task, record.run, record.side)
        for end in ends
        for record in _list_runs(end)
        if record.event == "done"
    }
    return len(done) > len({task for task, _, _ in done})


def _explain_completed(end: dict[str, t.Any], named: list[Line]) -> Cause:
    if end["age_ms"] <= end["objective_ms"]:
        return Cause.ON_TIME
    runs = _list_runs(end)
    events = {record.event for record in runs}
    kinds = {line.kind for line in named}
    if "failed" in events:
        return Cause.RUN_FAILED
    if "side:start-unanswered" in kinds:
        return Cause.START_UNANSWERED
    if events & {"lapsed", "stopped", run_endings.LOST}:
        return Cause.RUN_LOST
    if "adopted" in events or end["may_have_run"]:
        return Cause.OWNER_CHANGED
    if events & _REFUSED:
        return Cause.START_REFUSED
    starts = [record.at_ms for record in runs if record.event == "start"]
    if starts and max(starts) > WAIT_SHARE * end["objective_ms"]:
        return Cause.WAITED_FOR_ROOM
    return Cause.SLOW_RUN


def _explain_unserved(end: dict[str, t.Any]) -> Cause:
    if end["detail"] == active_job.CRASHES:
        return Cause.CRASHES
    if end["verdict"] == "failed":
        return Cause.RUN_FAILED
    if end["detail"].startswith("its caller"):
        return Cause.CALLER_GONE
    if end["detail"] == active_job.OWNER_WAITS:
        return Cause.OWNER_WAITED
    if end["detail"] == active_job.NO_RUNNER:
        return Cause.NO_RUNNER
    if end["verdict"] == "not-run":
        return Cause.NO_ROOM
    return Cause.OWNER_CHANGED
