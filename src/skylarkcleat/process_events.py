"""What a process records of itself and of its peers, beside its jobs."""

from __future__ import annotations

import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat import network as network_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import subscribing
from skylarkcleat.timeline import account as account_lib
from skylarkcleat.timeline import kind as kind_lib

_Kind = kind_lib.Kind
_MEMBER_KINDS = (
    subscribing.ChangeKind.MEMBER,
    subscribing.ChangeKind.MEMBER_GONE,
)


class ProcessEvents:
    """Records drains, the age of the configuration, and members that change.

    The members that the first configuration lists are not recorded.
    """

    def __init__(self, account: account_lib.Account) -> None:
        """Initializes the events of a process without a configuration.

        Args:
            account: The process's events and incidents.
        """
        self._account = account
        self._is_in_force = False
        self._has_started = False

    def begin_drain(self) -> None:
        """Records that the process takes no new work."""
        self._record(_Kind.DRAINING)

    def end_drain(self) -> None:
        """Records that nothing rests on the process any more."""
        self._record(_Kind.DRAINED)

    def take_state(self, is_in_force: bool, revision: int) -> None:
        """Records when the configuration comes into force or goes stale.

        Args:
            is_in_force: Whether the process may act on its configuration.
            revision: The revision of it.
        """
        if is_in_force == self._is_in_force:
            return
        self._is_in_force = is_in_force
        self._has_started = True
        stale, current = _Kind.CONFIGURATION_STALE, _Kind.CONFIGURATION_IN_FORCE
        self._record(current if is_in_force else stale, count=revision)

    def take_changes(
        self,
        changes: t.Iterable[subscribing.Change],
        network: network_lib.Network,
    ) -> None:
        """Records which incarnations are gone and which have joined.

        Args:
            changes: What changed in the directory.
            network: The members before the changes.
        """
        if not self._has_started:
            return
        for change in changes:
            if change.kind in _MEMBER_KINDS:
                former = network.find_member(change.name)
                self._take_member(change.name, former, change.member)

    def _take_member(
        self,
        name: str,
        former: member_lib.Member | None,
        member: member_lib.Member | None,
    ) -> None:
        if former and member and former.incarnation == member.incarnation:
            return
        if former is not None:
            self._record(_Kind.LOST, peer=name)
        if member is not None:
            self._record(_Kind.JOINED, peer=name)

    def _record(self, kind: kind_lib.Kind, **details: t.Any) -> None:
        wall_ms = clock_lib.read_wall_ms()
        self._account.recorder.record(kind, wall_ms, **details)
