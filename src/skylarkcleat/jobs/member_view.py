"""The incarnations that an entry considers up or departed."""

from __future__ import annotations

from skylarkcleat.protocol import claiming

_MAX_DEPARTED = 20_000


class MemberView:
    """Incarnations that are up, and the last `_MAX_DEPARTED` that departed."""

    def __init__(self):
        self._up: dict[str, int] = {}
        self._departed: dict[claiming.MemberRef, None] = {}

    def add(self, member: claiming.MemberRef) -> None:
        """Records that an incarnation is up."""
        self._up[member.name] = member.incarnation
        self._departed.pop(member, None)

    def remove(self, member: claiming.MemberRef) -> None:
        """Records that an incarnation has departed permanently."""
        if self._up.get(member.name) == member.incarnation:
            del self._up[member.name]
        self._departed[member] = None
        if len(self._departed) > _MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def is_up(self, member: claiming.MemberRef) -> bool:
        """Returns whether an incarnation is known to be up."""
        return self._up.get(member.name) == member.incarnation

    def is_departed(self, member: claiming.MemberRef) -> bool:
        """Returns whether an incarnation has departed or has been replaced.

        One that is newer than the one that is up has not: it has started, and
        this entry has not learned of it yet.
        """
        if member in self._departed:
            return True
        return self._up.get(member.name, member.incarnation) > (
            member.incarnation
        )
