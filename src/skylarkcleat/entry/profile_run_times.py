"""Whose work the runners did, as far as one entry was told."""

from __future__ import annotations

from skylarkcleat.entry import open_job

MIN_RUN_TIME_MS = 1.0


class ProfileRunTimes:
    """Sums up run time by profile."""

    def __init__(self) -> None:
        """Initializes sums of nothing."""
        self._total_ms: dict[str, float] = {}

    def add(self, profile: str, run_ms: float) -> None:
        """Adds a run.

        Args:
            profile: The profile's name.
            run_ms: The time on the runner, in milliseconds.
        """
        self._total_ms[profile] = self._total_ms.get(profile, 0.0) + run_ms

    def copy_totals(self) -> dict[str, float]:
        """Returns the milliseconds of each profile, by its name."""
        return dict(self._total_ms)

    def find_busiest(self, job: open_job.OpenJob) -> str:
        """Returns the profile served most since a job's tasks wait.

        The job's own runs are left out. Empty if there were no others.
        """
        if job.ready_at is None:
            return ""
        served = {
            name: total_ms - job.served_before.get(name, 0.0)
            for name, total_ms in self._total_ms.items()
        }
        if job.profile in served:
            served[job.profile] -= job.total_ms
        most = max(served, key=lambda name: served[name], default="")
        return most if most and served[most] >= MIN_RUN_TIME_MS else ""
