"""Simulated runners and the faults that a run injects."""

from __future__ import annotations

import typing as t


class Slowdown(t.NamedTuple):
    """A period in which a runner is slower.

    Attributes:
        runner: The runner's position.
        start: When it begins, in seconds.
        end: When it ends, in seconds.
        factor: What its speed is multiplied by.
    """

    runner: int
    start: float
    end: float
    factor: float


class BlackHole(t.NamedTuple):
    """A period in which a runner immediately fails every task it starts."""

    runner: int
    start: float
    end: float


class Crash(t.NamedTuple):
    """The crash of a runner and its agent, which entries detect later.

    Attributes:
        runner: The runner's position.
        at: When they crash, in seconds.
        detected_at: When the entries detect the crash, in seconds.
    """

    runner: int
    at: float
    detected_at: float


class EntryLoss(t.NamedTuple):
    """The loss of an entry, whose callers use the other entries instead."""

    entry: int
    at: float


class MassCancellation(t.NamedTuple):
    """The cancellation of a fraction of the active jobs at once.

    Attributes:
        at: When it happens, in seconds.
        fraction: The fraction that is cancelled, from 0 to 1.
    """

    at: float
    fraction: float


class Faults(t.NamedTuple):
    """All faults of a run."""

    slowdowns: tuple[Slowdown, ...] = ()
    black_holes: tuple[BlackHole, ...] = ()
    crashes: tuple[Crash, ...] = ()
    entry_losses: tuple[EntryLoss, ...] = ()
    mass_cancellations: tuple[MassCancellation, ...] = ()


NO_FAULTS = Faults()


class Runner(t.NamedTuple):
    """A runner's position and its speed without faults."""

    position: int
    speed: float

    def find_speed(self, faults: Faults, now: float) -> float:
        """Returns the speed at a time."""
        speed = self.speed
        for fault in faults.slowdowns:
            if fault.runner == self.position and fault.start <= now < fault.end:
                speed *= fault.factor
        return speed

    def fails(self, faults: Faults, now: float) -> bool:
        """Returns whether a task that starts at a time fails at once."""
        return any(
            fault.runner == self.position and fault.start <= now < fault.end
            for fault in faults.black_holes
        )

    def has_crashed(self, faults: Faults, now: float) -> bool:
        """Returns whether the runner has crashed by a time."""
        return any(
            fault.runner == self.position and now >= fault.at
            for fault in faults.crashes
        )


def create_runners(
    count: int, slowest: float = 0.5, fastest: float = 2.0
) -> list[Runner]:
    """Returns runners whose speeds form a geometric progression."""
    span = max(1, count - 1)
    return [
        Runner(i, slowest * (fastest / slowest) ** (i / span))
        for i in range(count)
    ]
