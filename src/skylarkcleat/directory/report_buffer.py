"""The intake: what members told a replica, on its way to the leader."""

from __future__ import annotations

import itertools

from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing

MAX_BUFFERED = 20_000
# Keeps a report within a message, and a command within a log entry.
MAX_ANNOUNCED = 2_000


class ReportBuffer:
    """Collects what members tell; each is told again if it gets lost."""

    def __init__(self):
        self._seen: set[subscribing.MemberRef] = set()
        self._announced: dict[str, member_lib.Member] = {}
        self._leaving: set[subscribing.MemberRef] = set()
        self._ready: set[subscribing.ShardReady] = set()
        self._lost: set[subscribing.ShardLost] = set()

    @property
    def is_urgent(self) -> bool:
        """Whether there is more than heartbeats."""
        return bool(
            self._announced or self._leaving or self._ready or self._lost
        )

    def add(self, message: subscribing.Message) -> None:
        """Takes a message of a member, or another replica's report."""
        if max(len(self._seen), len(self._announced)) >= MAX_BUFFERED:
            return
        match message:
            case subscribing.Poll():
                self._record_seen(message.name, message.incarnation)
            case subscribing.Announce(member):
                self._record_seen(member.name, member.incarnation)
                self._announced[member.name] = member
            case subscribing.Leave(name, incarnation):
                self._record_seen(name, incarnation)
                self._leaving.add(subscribing.MemberRef(name, incarnation))
            case subscribing.ShardReady():
                self._ready.add(message)
            case subscribing.ShardLost():
                self._lost.add(message)
            case subscribing.Report():
                self._add_report(message)

    def pop_report(self) -> subscribing.Report:
        """Returns what came in, and leaves what is too much for a report."""
        names = list(itertools.islice(self._announced, MAX_ANNOUNCED))
        report = subscribing.Report(
            tuple(sorted(self._seen)),
            tuple(self._announced.pop(name) for name in names),
            tuple(sorted(self._leaving)),
            tuple(sorted(self._ready)),
            tuple(sorted(self._lost)),
        )
        self._seen.clear()
        self._leaving.clear()
        self._ready.clear()
        self._lost.clear()
        return report

    def _record_seen(self, name: str, incarnation: int) -> None:
        self._seen.add(subscribing.MemberRef(name, incarnation))

    def _add_report(self, report: subscribing.Report) -> None:
        self._seen.update(report.polled)
        for member in report.announced:
            self._announced[member.name] = member
        self._leaving.update(report.leaving)
        self._ready.update(report.ready)
        self._lost.update(report.lost)
