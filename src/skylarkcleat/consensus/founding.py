"""How empty replicas found a cluster.

The initial replica whose name sorts first offers the others a cluster, while
they announce that they are empty too and may take part. Once another replica
has joined, so does the one that made the offer. If the initial replicas were
agreed on at run time, a majority of them is enough after a while, so that the
loss of one doesn't keep the others from it.

Every initial replica votes in the new cluster, with an unknown disk if it was
not there. A replica is in one cluster at a time. It leaves one that has no
leader only if it has acknowledged no entry of it and has committed none itself.
A cluster commits its first entry with a majority of the same initial replicas,
who then stay, so no two clusters ever commit anything.
"""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import follower as follower_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import membership as membership_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import snapshot as snapshot_lib

RECENT_ANNOUNCEMENTS = 4
"""A replica is there if one of this many announcements of it arrived."""


class Founding:
    """One empty replica's part in the founding of a cluster.

    Args:
        context: The state of the replica.
        names: The names of the initial replicas.
        may_found: Whether it may take part.
    """

    def __init__(
        self,
        context: context_lib.Context,
        names: t.Iterable[str],
        may_found: bool,
    ) -> None:
        self._context = context
        self._names = frozenset(names)
        self._may_found = may_found
        self._awaits_all_until = float("inf")
        self._announced: dict[str, tuple[identity_lib.Identity, float]] = {}
        self._offer: snapshot_lib.Snapshot | None = None
        self._offered_at = float("-inf")
        self._joined_at = float("-inf")
        self._patience = 1.0

    @property
    def may_take_part(self) -> bool:
        """Whether this replica is empty and may found a cluster."""
        return self._may_found and self._context.snapshot is None

    def allow(self, names: t.Iterable[str]) -> None:
        """Allows this replica to found a cluster with others.

        Those that are lost before they have joined are waited for for
        `Limits.silent_s`.

        Args:
            names: The names of the initial replicas, on which a majority of
                those who decide has agreed.
        """
        context = self._context
        self._names = frozenset(names)
        self._may_found = True
        self._awaits_all_until = context.now + context.limits.silent_s

    def advance(self, follower: follower_lib.Follower) -> None:
        """Offers a cluster, or another one if nobody took the last.

        Leaves one that has elected no leader: others may have joined another.
        """
        if self._may_found and self._is_stuck():
            self._context.leave_cluster()
        if not self.may_take_part or not self._is_offer_due():
            return
        snapshot = self._create_snapshot()
        if len(snapshot.membership.voters) == 1:
            self._install(snapshot, follower)
            return
        self._offer = snapshot
        self._offered_at = self._context.now

    def handle_announcement(
        self,
        sender: identity_lib.Identity,
        announcement: message_lib.Announcement,
    ) -> None:
        """Records an empty replica, and offers it the cluster if there is one.

        For a replica that is empty itself.
        """
        if announcement.may_bootstrap:
            self._announced[sender.name] = (sender, self._context.now)
        if self._offer is not None:
            self.send_bootstrap(sender, self._offer)

    def send_bootstrap(
        self, receiver: identity_lib.Identity, snapshot: snapshot_lib.Snapshot
    ) -> None:
        """Sends the first snapshot of a cluster to one of its voters."""
        if receiver in snapshot.membership.voters:
            message = message_lib.Bootstrap(snapshot)
            self._context.send_after_sync(receiver, message)

    def join(
        self,
        sender: identity_lib.Identity,
        snapshot: snapshot_lib.Snapshot,
        follower: follower_lib.Follower,
    ) -> None:
        """Joins a cluster in which this empty replica is a voter.

        The sender is told, since it may only have offered the cluster.
        """
        context = self._context
        is_voter = context.identity in snapshot.membership.voters
        if context.snapshot is None and is_voter:
            self._install(snapshot, follower)
            self.send_bootstrap(sender, snapshot)

    def _install(
        self, snapshot: snapshot_lib.Snapshot, follower: follower_lib.Follower
    ) -> None:
        follower.install(snapshot)
        self._offer = None
        self._joined_at = self._context.now
        # Replicas that leave at the same time would meet again as before.
        self._patience = 1 + self._context.random.random()

    def _is_stuck(self) -> bool:
        """Whether the cluster that it joined has had no leader for a while."""
        context = self._context
        since = max(self._joined_at, context.leader_seen_at)
        patience_s = self._patience * context.limits.silent_s
        is_late = context.now - since >= patience_s
        return context.may_leave_cluster and is_late

    def _is_offer_due(self) -> bool:
        context = self._context
        if context.now - self._offered_at < context.limits.silent_s:
            return False
        present = {context.identity.name, *self._list_present()}
        present &= self._names
        is_complete = present == self._names
        if not is_complete and context.now < self._awaits_all_until:
            return False
        is_majority = 2 * len(present) > len(self._names)
        return is_majority and context.identity.name == min(present)

    def _list_present(self) -> list[str]:
        """Returns the names of the other replicas that announce themselves."""
        context = self._context
        interval_s = RECENT_ANNOUNCEMENTS * context.limits.announce_s
        since = context.now - interval_s
        return [
            name for name, (_, at) in self._announced.items() if at >= since
        ]

    def _create_snapshot(self) -> snapshot_lib.Snapshot:
        context = self._context
        present = self._list_present()
        voters = [context.identity]
        for name in sorted(self._names - {context.identity.name}):
            absent = identity_lib.Identity(name, "")
            is_present = name in present
            voters.append(self._announced[name][0] if is_present else absent)
        cluster = f"{context.identity.disk}-{context.random.getrandbits(64):x}"
        membership = membership_lib.Membership(tuple(voters))
        return snapshot_lib.Snapshot(cluster, 0, 0, membership)
