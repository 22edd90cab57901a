"""The data folder of one replica.

The folder holds the replica's identity, the latest snapshot and one log
segment. A segment begins with the log's base, the vote and the kept entries;
each later record is one group of writes that one sync made durable. A new
snapshot is durable before the segment that relies on it, and the segment
before the old files are deleted, so a crash between any two steps leaves a
folder that opens.
"""

from __future__ import annotations

import fcntl
import os
import pathlib
import typing as t
import uuid

import msgspec

from skylarkcleat.consensus import errors
from skylarkcleat.consensus import files
from skylarkcleat.consensus import frame
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import replay
from skylarkcleat.consensus import snapshot as snapshot_lib
from skylarkcleat.consensus import write as write_lib

_IDENTITY = "identity"
_SNAPSHOT = "snapshot-"
_SEGMENT = "segment-"


class _IdentityRecord(t.NamedTuple):
    """The content of the identity file.

    Attributes:
        identity: The replica that the folder belongs to.
        may_bootstrap: Whether the replica may bootstrap a cluster; False if
            the folder replaces a damaged one.
    """

    identity: identity_lib.Identity
    may_bootstrap: bool


class Storage:
    """An open data folder, locked against other processes.

    Args:
        folder: The data folder; it is created if it does not exist.
        name: The replica's name in the settings.

    Attributes:
        stored: The content of the folder when it was opened.
        may_bootstrap: Whether the replica may bootstrap a cluster.
        syncs: The number of groups of writes, each made durable by one sync.
        written_bytes: The total size of these groups.

    Raises:
        DamagedError: A file lost data that had been synced to it.
        WrongReplicaError: The folder belongs to another replica.
        FolderInUseError: Another process has the folder open.
    """

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = _lock(folder)
        self._file: t.BinaryIO | None = None
        self.syncs = 0
        self.written_bytes = 0
        try:
            self.stored, self.may_bootstrap = self._open(name)
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> Storage:
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def save(self, writes: t.Sequence[write_lib.Write]) -> None:
        """Makes writes durable; those between two snapshots share one sync."""
        group: list[write_lib.SaveVote | write_lib.SaveEntries] = []
        for write in writes:
            if isinstance(write, write_lib.SaveSnapshot):
                self._append(group)
                group = []
                self._save_snapshot(write)
            else:
                group.append(write)
        self._append(group)

    def close(self) -> None:
        """Closes the files and releases the lock on the folder."""
        if self._file is not None:
            self._file.close()
            self._file = None
        os.close(self._lock)

    def _append(
        self, group: list[write_lib.SaveVote | write_lib.SaveEntries]
    ) -> None:
        if not group:
            return
        data = frame.encode(replay.encode_group(group))
        self._file.write(data)
        self._file.flush()
        os.fsync(self._file.fileno())
        self.syncs += 1
        self.written_bytes += len(data)

    def _save_snapshot(self, write: write_lib.SaveSnapshot) -> None:
        index = write.snapshot.index
        path = self._folder / f"{_SNAPSHOT}{index:016d}"
        files.replace(
            path, frame.encode(msgspec.msgpack.encode(write.snapshot))
        )
        header = replay.SegmentHeader(
            index,
            write.base_index,
            write.base_term,
            write.vote,
            write.entries,
        )
        self._start_segment(header)
        for old in _list_files(self._folder, _SNAPSHOT):
            if old != path:
                old.unlink()
        files.sync_folder(self._folder)

    def _start_segment(self, header: replay.SegmentHeader) -> None:
        old = _list_files(self._folder, _SEGMENT)
        number = _segment_number(old[-1]) + 1 if old else 1
        path = self._folder / f"{_SEGMENT}{number:016d}"
        files.replace(path, frame.encode(msgspec.msgpack.encode(header)))
        if self._file is not None:
            self._file.close()
        self._file = path.open("ab")
        for segment in old:
            segment.unlink()

    def _open(self, name: str) -> tuple[write_lib.Stored, bool]:
        record = self._read_identity()
        if record is None:
            record = self._create(name)
        if record.identity.name != name:
            raise errors.WrongReplicaError(
                self._folder, record.identity.name, name
            )
        snapshot = self._read_snapshot()
        stored = self._read_segment(record.identity, snapshot)
        # A process that was killed may have written this and not synced it.
        os.fsync(self._file.fileno())
        files.sync_folder(self._folder)
        return stored, record.may_bootstrap

    def _create(self, name: str) -> _IdentityRecord:
        record = _IdentityRecord(_create_identity(name), True)
        self._start_segment(replay.EMPTY_SEGMENT)
        _write_identity(self._folder, record)
        return record

    def _read_identity(self) -> _IdentityRecord | None:
        path = self._folder / _IDENTITY
        if path.exists():
            return msgspec.msgpack.decode(
                _read_single(path), type=_IdentityRecord
            )
        if _list_files(self._folder, _SNAPSHOT):
            raise errors.DamagedError(path, 0, "the file is missing")
        return None

    def _read_snapshot(self) -> snapshot_lib.Snapshot | None:
        paths = _list_files(self._folder, _SNAPSHOT)
        if not paths:
            return None
        return msgspec.msgpack.decode(
            _read_single(paths[-1]), type=snapshot_lib.Snapshot
        )

    def _read_segment(
        self,
        identity: identity_lib.Identity,
        snapshot: snapshot_lib.Snapshot | None,
    ) -> write_lib.Stored:
        paths = _list_files(self._folder, _SEGMENT)
        if not paths:
            path = self._folder / _SEGMENT
            raise errors.DamagedError(path, 0, "there is no log segment")
        path = paths[-1]
        data = path.read_bytes()
        found = frame.scan(path, data)
        if not found.payloads:
            raise errors.DamagedError(path, 0, "the first record is broken")
        header = replay.decode_header(found.payloads[0])
        if header.snapshot_index > (snapshot.index if snapshot else -1):
            missing = self._folder / f"{_SNAPSHOT}{header.snapshot_index:016d}"
            raise errors.DamagedError(missing, 0, "the snapshot is missing")
        if found.end < len(data):
            files.truncate(path, found.end)
        if self._file is None:
            self._file = path.open("ab")
        groups = map(replay.decode_group, found.payloads[1:])
        return replay.rebuild(identity, snapshot, header, groups)


def create_storage(folder: pathlib.Path, name: str) -> Storage:
    """Opens a data folder; an empty one becomes that of a new replica."""
    return Storage(folder, name)


def set_aside(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Moves a damaged folder's files away and sets it up for a new replica.

    The new replica never bootstraps a cluster, since that could discard
    entries that the other replicas hold.

    Returns:
        The folder to which the files were moved.
    """
    lock = _lock(folder)
    try:
        return _set_aside(folder, name)
    finally:
        os.close(lock)


def _set_aside(folder: pathlib.Path, name: str) -> pathlib.Path:
    moved_to = folder / f"damaged-{uuid.uuid4().hex}"
    moved_to.mkdir()
    # The segments are moved first and a new one is written last: a folder
    # without a segment counts as damaged, so after a crash in between this
    # function runs again.
    _move(_list_files(folder, _SEGMENT), moved_to)
    _write_identity(folder, _IdentityRecord(_create_identity(name), False))
    _move(_list_files(folder, _SNAPSHOT), moved_to)
    files.sync_folder(moved_to)
    files.sync_folder(folder)
    path = folder / f"{_SEGMENT}{1:016d}"
    files.replace(
        path, frame.encode(msgspec.msgpack.encode(replay.EMPTY_SEGMENT))
    )
    return moved_to


def _move(paths: list[pathlib.Path], folder: pathlib.Path) -> None:
    for path in paths:
        path.rename(folder / path.name)


def _create_identity(name: str) -> identity_lib.Identity:
    return identity_lib.Identity(name, uuid.uuid4().hex)


def _write_identity(folder: pathlib.Path, record: _IdentityRecord) -> None:
    data = frame.encode(msgspec.msgpack.encode(record))
    files.replace(folder / _IDENTITY, data)


def _read_single(path: pathlib.Path) -> bytes:
    found = frame.scan(path, path.read_bytes())
    if len(found.payloads) != 1:
        raise errors.DamagedError(path, found.end, "the record is broken")
    return found.payloads[0]


def _list_files(folder: pathlib.Path, prefix: str) -> list[pathlib.Path]:
    return sorted(p for p in folder.glob(prefix + "*") if not p.suffix)


def _segment_number(path: pathlib.Path) -> int:
    return int(path.name.removeprefix(_SEGMENT))


def _lock(folder: pathlib.Path) -> int:
    descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise errors.FolderInUseError(folder) from error
    return descriptor
