"""What is wrong with a settings file."""

from __future__ import annotations

import collections.abc
import typing as t


class Problem(t.NamedTuple):
    """One fault of a settings file.

    Attributes:
        file: The path as it was given.
        key: The dotted key, such as `runner.slots` or
            `replica.peers[1].address`; empty for the file as a whole.
        detail: What is wrong, with the value that was found.
    """

    file: str
    key: str
    detail: str

    def __str__(self) -> str:
        """Returns `file: key: detail`, one line."""
        return ": ".join(part for part in self if part)


class SettingsError(Exception):
    """A settings file that cannot be used.

    Attributes:
        problems: Every fault that was found, at least one.
    """

    def __init__(self, problems: collections.abc.Iterable[Problem]) -> None:
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))
