"""What a case writes down: sent, answered and run, in the order of time."""

from __future__ import annotations

import pathlib
import time
import typing as t


class Record:
    """The lines of `record.txt`; a context manager.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._begun_at = time.monotonic()
        self._file: t.TextIO | None = None

    def __enter__(self) -> t.Self:
        self._file = self._path.open("w", encoding="utf-8")
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()

    def find_time(self, at: float) -> float:
        """Returns a monotonic time as seconds since the record began."""
        return at - self._begun_at

    def write(self, text: str) -> None:
        """Writes a line, with the time."""
        at = self.find_time(time.monotonic())
        self._file.write(f"{at:9.3f} s  {text}\n")
        self._file.flush()
