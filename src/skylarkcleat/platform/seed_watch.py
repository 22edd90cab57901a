"""Follows the seeds in the settings file while a process runs."""

from __future__ import annotations

import abc
import asyncio
import os

import eliot

from skylarkcleat import problem as problem_lib
from skylarkcleat.platform import settings as settings_lib

POLL_INTERVAL_S = 1.0


class SeedListener(abc.ABC):
    """Uses the seeds to find other processes."""

    @abc.abstractmethod
    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the IP numbers of the seeds."""


class SeedWatch:
    """Reads the settings file again whenever it has changed.

    The file may change without a signal.

    Args:
        path: The settings file.
        listener: Is told of the seeds.
    """

    def __init__(self, path: str, listener: SeedListener) -> None:
        self._path = path
        self._listener = listener
        self._stamp: tuple[int, int, int] | None = None

    async def run(self) -> None:
        """Looks at the file again and again."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Passes the seeds on if the file has changed since the last call.

        A file that can't be read, or names no seed, changes nothing.
        """
        stamp = _find_stamp(self._path)
        if stamp == self._stamp:
            return
        self._stamp = stamp
        try:
            settings = settings_lib.load_settings(self._path)
        except problem_lib.SettingsError as error:
            eliot.log_message("process:settings-ignored", reason=str(error))
            return
        seeds = settings_lib.list_seed_ips(settings)
        if seeds:
            self._listener.update_seeds(seeds)


def create_seed_watch(listener: SeedListener) -> SeedWatch:
    """Creates a watch of this process's own settings file."""
    path = os.environ.get(settings_lib.PATH_VARIABLE, "")
    return SeedWatch(path, listener)


def _find_stamp(path: str) -> tuple[int, int, int] | None:
    """Returns what changes with a file; None without one."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
