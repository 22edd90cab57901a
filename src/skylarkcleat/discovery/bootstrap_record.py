"""What a front keeps of the very first start, for as long as its disk lasts.

A front that starts again is not told that the system starts for the first
time. Its disk tells whether it was there: only then may the front be an initial
replica of the log, and only then may it promise to accept a set of them.
"""

from __future__ import annotations

import pathlib
import typing as t

import eliot
import msgspec

from skylarkcleat.consensus import errors
from skylarkcleat.consensus import files
from skylarkcleat.consensus import frame

_FILE = "bootstrap"


class BootstrapRecord(t.NamedTuple):
    """A front's part in the choice of the initial replicas.

    Attributes:
        seeds: The fronts that decide: the seeds of the first start.
        promised: The initial replicas that this front promised to accept;
            empty if it made no promise.
    """

    seeds: tuple[str, ...]
    promised: tuple[str, ...] = ()


class RecordKeeper:
    """Keeps the record of one front, on its disk if it has one.

    Args:
        record: The record; None if the front has no part in the choice.
        path: The file that holds it; None without a disk.

    Attributes:
        record: The record that was saved last.
    """

    def __init__(
        self, record: BootstrapRecord | None, path: pathlib.Path | None
    ) -> None:
        self.record = record
        self._path = path

    @property
    def has_disk(self) -> bool:
        """Whether `save` writes to a disk, which may take seconds."""
        return self._path is not None

    def save(self, record: BootstrapRecord) -> None:
        """Replaces the record; on a disk it is durable when this returns.

        Raises:
            OSError: The disk refuses it.
        """
        if self._path is not None:
            data = frame.encode(msgspec.msgpack.encode(record))
            files.replace(self._path, data)
        self.record = record


def open_record(
    folder: pathlib.Path | None, is_first_start: bool, seeds: tuple[str, ...]
) -> RecordKeeper:
    """Reads a front's record, and creates it at the very first start.

    To be called before anything else is written to an empty disk.

    Args:
        folder: The front's data folder, which is created if it does not
            exist; None without a disk.
        is_first_start: Whether the system starts for the first time.
        seeds: The seeds in the front's settings.

    Raises:
        OSError: The disk refuses it.
    """
    path = None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / _FILE
    keeper = RecordKeeper(_read(path), path)
    if keeper.record is None and is_first_start:
        keeper.save(BootstrapRecord(seeds))
    return keeper


def _read(path: pathlib.Path | None) -> BootstrapRecord | None:
    """Returns the record in a file; None if there is none or it is damaged."""
    if path is None or not path.exists():
        return None
    try:
        found = frame.scan(path, path.read_bytes())
        (data,) = found.payloads
        return msgspec.msgpack.decode(data, type=BootstrapRecord)
    except (errors.StorageError, ValueError) as error:
        eliot.log_message("front:bootstrap-ignored", reason=str(error))
        return None
