"""Errors of a data folder."""

from __future__ import annotations

import pathlib


class StorageError(Exception):
    """A data folder that cannot be used."""


class DamagedError(StorageError):
    """A file that lost data that had been synced to it.

    Attributes:
        path: The file.
        offset: The position at which the damage begins, in bytes.
    """

    def __init__(self, path: pathlib.Path, offset: int, detail: str) -> None:
        super().__init__(f"{path} is damaged at byte {offset}: {detail}")
        self.path = path
        self.offset = offset


class WrongReplicaError(StorageError):
    """A data folder that belongs to another replica."""

    def __init__(self, folder: pathlib.Path, owner: str, name: str) -> None:
        super().__init__(
            f"data folder {folder} belongs to replica {owner!r}, not {name!r}"
        )


class FolderInUseError(StorageError):
    """A data folder that another process has open."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(f"data folder {folder} is in use by another process")
