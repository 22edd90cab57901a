"""File operations whose result is durable when the call returns."""

from __future__ import annotations

import os
import pathlib


def sync_folder(folder: pathlib.Path) -> None:
    """Makes the file names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace(path: pathlib.Path, data: bytes) -> None:
    """Creates or replaces a file atomically, by way of a temporary file."""
    draft = path.with_name(path.name + ".tmp")
    with draft.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    draft.replace(path)
    sync_folder(path.parent)


def truncate(path: pathlib.Path, size: int) -> None:
    """Truncates a file to a size in bytes."""
    with path.open("r+b") as file:
        file.truncate(size)
        os.fsync(file.fileno())
