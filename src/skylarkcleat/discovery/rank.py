"""How well a front suits as the owner of the jobs; smaller ranks are better."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import locating

UNSUITABLE_RANK = 10_000
"""The rank of a front that is about to stop; it never becomes the owner."""

OUTDATED_OFFSET = 1_000
"""Is added to the rank of a front whose list of the lost owner's side processes
is out of date, while others may have a complete one. It then comes after those
that followed the same owner and are as strong."""

STRONG_CORES = 0.9
STRONG_LINK_MBPS = 30.0
"""The cores and the bandwidth that an owner needs for 400 jobs and 1,500 starts
a second: 0.7 cores and 10 Mbit/s."""

_DISK_RANK = 100
_WEAK_RANK = 200


class Candidate(t.NamedTuple):
    """A front that may claim the jobs.

    Attributes:
        rank: Its suitability; smaller is better.
        name: Its name.
        followed_term: The term of the owner that it followed last; 0 if it
            has followed none since its start.
    """

    rank: int
    name: str
    followed_term: int

    def may_claim(
        self, views: t.Iterable[locating.View], is_late: bool
    ) -> bool:
        """Returns whether none of the fronts that sent views should claim.

        One that followed the last owner knows its side processes, and need not
        wait for their leases. That counts more than the rank, but a weak front
        doesn't precede a strong one.

        Args:
            views: The views that other fronts sent.
            is_late: Whether nobody's list of side processes is new enough any
                more. Then a better rank suffices, so that no two fronts wait
                for each other.
        """
        others = [
            Candidate(view.sender.rank, view.sender.name, view.owner.term)
            for view in views
        ]
        return all(self._precedes(other, is_late) for other in others)

    def _precedes(self, other: Candidate, is_late: bool) -> bool:
        if self._find_key(is_late) < other._find_key(is_late):
            return True
        mine = (self._plain_rank, self.name)
        return is_late and mine < (other._plain_rank, other.name)

    @property
    def _is_outdated(self) -> bool:
        return _WEAK_RANK < self.rank < UNSUITABLE_RANK

    @property
    def _plain_rank(self) -> int:
        return self.rank - OUTDATED_OFFSET * self._is_outdated

    def _find_key(self, is_late: bool) -> tuple[int, int, bool, int, str]:
        """Returns what candidates are ordered by.

        Late in a search all lists are out of date, whatever views still say.
        """
        rank = self._plain_rank
        level = sum(rank > limit for limit in (_DISK_RANK, _WEAK_RANK))
        is_outdated = self._is_outdated and not is_late
        return level, -self.followed_term, is_outdated, rank, self.name


def is_weak(rank: int) -> bool:
    """Returns whether a front without a disk is too weak for a full load.

    Args:
        rank: Its own rank, whatever its list of side processes.
    """
    return _DISK_RANK < rank < UNSUITABLE_RANK


def is_strong(rank: int) -> bool:
    """Returns whether a front can own the jobs under a full load.

    Args:
        rank: The rank that it shows others.
    """
    is_outdated = _WEAK_RANK < rank < UNSUITABLE_RANK
    return rank - OUTDATED_OFFSET * is_outdated <= _DISK_RANK


def find_overloaded_rank(rank: int) -> int:
    """Returns the rank of an owner that needs more than it has.

    A front without a disk loses its advantage: one with a disk and with more
    cores comes before it. Others keep their rank, as a weak front would be no
    better owner.
    """
    return rank + _DISK_RANK if rank <= 0 else rank


def find_rank(has_disk: bool, cores: float, link_mbps: float) -> int:
    """Returns a front's rank as an owner; smaller is better.

    A front without a disk comes first if it has enough cores and bandwidth:
    the replicas of the log most often stop, stall or become partitioned.

    Args:
        has_disk: Whether the front can be a replica of the log.
        cores: Its share of processors.
        link_mbps: The bandwidth of its link, in Mbit/s.
    """
    is_strong = cores >= STRONG_CORES and link_mbps >= STRONG_LINK_MBPS
    base = _DISK_RANK if has_disk else 0 if is_strong else _WEAK_RANK
    return base - min(round(10 * cores), _DISK_RANK - 1)
