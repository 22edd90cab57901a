"""Total run time of each profile, from the answers one entry received."""

from __future__ import annotations

from skylarkcleat.entry import open_job

# A profile with less run time than this isn't named as the busiest.
MIN_RUN_TIME_MS = 1.0


class ProfileRunTimes:
    """Sums the run time on runners by profile."""

    def __init__(self) -> None:
        """Initializes the sums without runs."""
        self._total_ms: dict[str, float] = {}

    def add(self, profile: str, run_ms: float) -> None:
        """Adds a run to the total of its profile.

        Args:
            profile: The profile's name.
            run_ms: The run time on the runner, in milliseconds.
        """
        self._total_ms[profile] = self._total_ms.get(profile, 0.0) + run_ms

    def copy_totals(self) -> dict[str, float]:
        """Returns a copy of the totals, in milliseconds, by profile name."""
        return dict(self._total_ms)

    def find_busiest(self, job: open_job.OpenJob) -> str:
        """Returns the profile with the most run time since a job was ready.

        The job's own runs are excluded. Returns an empty string if the most
        is below `MIN_RUN_TIME_MS` or the job was never ready.
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
