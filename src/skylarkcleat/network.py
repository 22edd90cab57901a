"""Sends messages to members of the directory, connecting as needed."""

from __future__ import annotations

import asyncio
import typing as t

from skylarkcleat import clock as clock_lib
from skylarkcleat.model import member as member_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib

DELIVERY_TIMEOUT_S = 2.0
_POLL_S = 0.02


class Network:
    """The members of the directory and the sessions with them."""

    def __init__(self, hub: hub_lib.Hub) -> None:
        """Initializes the network on an open hub."""
        self._hub = hub
        self._members: dict[str, member_lib.Member] = {}

    def find_member(self, name: str) -> member_lib.Member | None:
        """Returns a member by its name, or None if it is not up."""
        return self._members.get(name)

    def list_members(self) -> list[member_lib.Member]:
        """Returns every member that is up."""
        return list(self._members.values())

    def count_slots(self, agents: t.Iterable[claiming.MemberRef]) -> int:
        """Returns the total number of slots of those agents that are up."""
        members = (self._members.get(agent.name) for agent in agents)
        return sum(member.slots for member in members if member is not None)

    def list_controls(self) -> list[claiming.MemberRef]:
        """Returns the control replicas that are up."""
        return [
            claiming.MemberRef(member.name, member.incarnation)
            for member in self._members.values()
            if member.role is member_lib.Role.CONTROL
        ]

    def update_member(
        self, name: str, member: member_lib.Member | None
    ) -> member_lib.Member | None:
        """Records a change of a member, and disconnects one that left.

        Args:
            name: The member's name.
            member: The member; None if it left the directory.

        Returns:
            The incarnation that this change removed, if any.
        """
        previous = self._members.pop(name, None)
        if member is not None:
            self._members[name] = member
        if previous is None:
            return None
        if member is not None and member.incarnation == previous.incarnation:
            return None
        self._hub.disconnect(name)
        return previous

    def connect(self, member: member_lib.Member) -> None:
        """Opens a session with a member if there is none."""
        peer = session_lib.Endpoint(member.name, member.incarnation)
        if not self._hub.has_session(peer):
            self._hub.connect(peer, member.address)

    def send(self, peer: claiming.MemberRef, message: t.NamedTuple) -> bool:
        """Queues a message for one incarnation of a member.

        Returns:
            Whether it was queued: the incarnation is up and its queue has
            room. A message that was queued may still be lost.
        """
        endpoint = session_lib.Endpoint(*peer)
        if not self._hub.has_session(endpoint):
            member = self._members.get(peer.name)
            if member is None or member.incarnation != peer.incarnation:
                return False
            self._hub.connect(endpoint, member.address)
        return self._hub.send(endpoint, message) is None

    def drain_sent_counts(self) -> list[tuple[str, int]]:
        """Returns and resets the number of messages sent, by kind.

        The kind `frame` counts the frames that carried them.
        """
        counts = list(self._hub.messages_sent.items())
        counts.append(("frame", self._hub.frames_sent))
        self._hub.messages_sent.clear()
        self._hub.frames_sent = 0
        return counts

    async def wait_delivered(self) -> None:
        """Waits until peers acknowledged all messages, or a timeout.

        The timeout is `DELIVERY_TIMEOUT_S`.
        """
        end = clock_lib.read_monotonic() + DELIVERY_TIMEOUT_S
        while self._hub.count_backlog() and clock_lib.read_monotonic() < end:
            await asyncio.sleep(_POLL_S)
