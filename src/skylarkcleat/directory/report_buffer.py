"""Buffers what members sent to a replica until it is reported to the leader.

On the leader itself, it also merges the reports of the other replicas.
"""

from __future__ import annotations

import itertools

from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing

# Further messages are dropped until the next report; members resend them.
MAX_BUFFERED = 20_000
# Members per report; the others wait for the next one, so that a report fits
# into a message, and the resulting command into a log entry.
MAX_ANNOUNCED = 2_000


class ReportBuffer:
    """Collects members' messages; members resend those that get lost."""

    def __init__(self):
        self._seen: set[subscribing.MemberRef] = set()
        self._announced: dict[str, member_lib.Member] = {}
        self._leaving: set[subscribing.MemberRef] = set()
        self._ready: set[subscribing.ShardReady] = set()
        self._lost: set[subscribing.ShardLost] = set()

    @property
    def is_urgent(self) -> bool:
        """Whether there are messages other than polls."""
        return bool(
            self._announced or self._leaving or self._ready or self._lost
        )

    def add(self, message: subscribing.Message) -> None:
        """Adds a member's message or another replica's report."""
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
        """Returns and removes the next report.

        Announcements beyond `MAX_ANNOUNCED` stay for the next one.
        """
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
