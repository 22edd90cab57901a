"""The membership of a cluster: which replicas vote and which only follow."""

from __future__ import annotations

import typing as t

import msgspec

from skylarkcleat.consensus import identity as identity_lib


class Membership(t.NamedTuple):
    """The replicas of one cluster.

    Attributes:
        voters: Replicas that count towards a majority, oldest first.
        learners: Replicas that receive the log but do not count.
        replacing: The names whose voter was removed in favour of a learner
            of the same name, which becomes a voter next.
    """

    voters: tuple[identity_lib.Identity, ...]
    learners: tuple[identity_lib.Identity, ...] = ()
    replacing: tuple[str, ...] = ()

    @property
    def replicas(self) -> tuple[identity_lib.Identity, ...]:
        """All replicas, voters first."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """The number of voters that are a majority."""
        return len(self.voters) // 2 + 1

    def find_voter(self, name: str) -> identity_lib.Identity | None:
        """Returns the oldest voter with a name, or None."""
        return next((v for v in self.voters if v.name == name), None)

    def find_learner(self, name: str) -> identity_lib.Identity | None:
        """Returns the learner with a name, or None."""
        return next((v for v in self.learners if v.name == name), None)

    def add_learner(self, learner: identity_lib.Identity) -> Membership:
        """Adds a learner, replacing any other learner with its name."""
        others = tuple(v for v in self.learners if v.name != learner.name)
        return self._replace(learners=(*others, learner))

    def promote(self, learner: identity_lib.Identity) -> Membership:
        """Makes a learner a voter."""
        return Membership(
            voters=(*self.voters, learner),
            learners=tuple(v for v in self.learners if v != learner),
            replacing=tuple(n for n in self.replacing if n != learner.name),
        )

    def begin_replacement(self, voter: identity_lib.Identity) -> Membership:
        """Removes a voter in favour of the learner with its name."""
        return self._replace(
            voters=tuple(v for v in self.voters if v != voter),
            replacing=(*self.replacing, voter.name),
        )

    def remove(self, replica: identity_lib.Identity) -> Membership:
        """Removes a replica."""
        return Membership(
            voters=tuple(v for v in self.voters if v != replica),
            learners=tuple(v for v in self.learners if v != replica),
            replacing=tuple(n for n in self.replacing if n != replica.name),
        )


def encode(membership: Membership) -> bytes:
    """Encodes a membership for a log entry."""
    return msgspec.msgpack.encode(membership)


def decode(data: bytes) -> Membership:
    """Decodes a membership that `encode` returned."""
    return msgspec.msgpack.decode(data, type=Membership)
