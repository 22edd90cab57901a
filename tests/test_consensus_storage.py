"""Data folders after crashes, damage and lost files."""

import os

import pytest

from skylarkcleat.consensus import entry as entry_lib
from skylarkcleat.consensus import errors
from skylarkcleat.consensus import files as files_lib
from skylarkcleat.consensus import membership as membership_lib
from skylarkcleat.consensus import snapshot as snapshot_lib
from skylarkcleat.consensus import storage
from skylarkcleat.consensus import write as write_lib


def make_entries(first, last, term=1):
    kind = entry_lib.EntryKind.COMMAND
    return tuple(
        entry_lib.Entry(index, term, kind, b"data %d" % index)
        for index in range(first, last + 1)
    )


@pytest.fixture
def folder(tmp_path):
    """A folder with a first snapshot and three groups of entries."""
    with storage.create_storage(tmp_path, "a") as opened:
        membership = membership_lib.Membership((opened.stored.identity,))
        bootstrap = snapshot_lib.Snapshot("cluster", 0, 0, membership)
        vote = write_lib.SaveVote(1, opened.stored.identity)
        opened.save([write_lib.SaveSnapshot(bootstrap, 0, 0, (), vote)])
        for first in (1, 4, 7):
            entries = make_entries(first, first + 2)
            opened.save([write_lib.SaveEntries(entries)])
    return tmp_path


def read(folder):
    with storage.create_storage(folder, "a") as opened:
        return opened.stored


def find_segment(folder):
    (segment,) = folder.glob("segment-*")
    return segment


def test_a_folder_returns_what_was_saved(folder):
    stored = read(folder)
    assert stored.entries == make_entries(1, 9)
    assert stored.vote == write_lib.SaveVote(1, stored.identity)
    assert stored.snapshot.cluster == "cluster"
    assert read(folder) == stored


def test_later_entries_replace_conflicting_ones(folder):
    with storage.create_storage(folder, "a") as opened:
        entries = make_entries(5, 6, term=2)
        opened.save([write_lib.SaveEntries(entries)])
    assert read(folder).entries == make_entries(1, 4) + entries


def test_a_torn_tail_is_truncated_wherever_it_ends(folder):
    segment = find_segment(folder)
    whole = segment.read_bytes()
    start = whole.rindex(b"\xf5SCL")
    for end in range(start, len(whole)):
        segment.write_bytes(whole[:end])
        assert read(folder).entries == make_entries(1, 6)
        assert segment.stat().st_size == start


def test_a_truncated_tail_can_be_overwritten(folder):
    segment = find_segment(folder)
    segment.write_bytes(segment.read_bytes()[:-1])
    with storage.create_storage(folder, "a") as opened:
        opened.save([write_lib.SaveEntries(make_entries(7, 8, term=3))])
    assert read(folder).entries[6:] == make_entries(7, 8, term=3)


def test_a_flipped_byte_in_the_middle_is_refused(folder):
    segment = find_segment(folder)
    whole = segment.read_bytes()
    for place in range(whole.rindex(b"\xf5SCL")):
        data = bytearray(whole)
        data[place] ^= 0x40
        segment.write_bytes(data)
        with pytest.raises(errors.DamagedError, match="segment"):
            storage.create_storage(folder, "a")


@pytest.mark.parametrize("pattern", ["snapshot-*", "identity"])
def test_a_flipped_byte_in_another_file_is_refused(folder, pattern):
    (path,) = folder.glob(pattern)
    whole = path.read_bytes()
    for place in range(len(whole)):
        data = bytearray(whole)
        data[place] ^= 0x40
        path.write_bytes(data)
        with pytest.raises(errors.DamagedError, match=path.name):
            storage.create_storage(folder, "a")


@pytest.mark.parametrize("pattern", ["segment-*", "snapshot-*", "identity"])
def test_a_missing_file_is_refused(folder, pattern):
    (path,) = folder.glob(pattern)
    path.unlink()
    with pytest.raises(errors.DamagedError):
        storage.create_storage(folder, "a")


# Crashes before the new snapshot is durable, before the new segment is, or not
# at all. The folder has to open each time: with the old state after the first
# crash, and with the new snapshot and the old vote after the second.
@pytest.mark.parametrize("step", range(1, 4))
@pytest.mark.parametrize("installed", [False, True])
def test_a_crash_at_each_step_of_a_snapshot_loses_nothing(
    folder, monkeypatch, step, installed
):
    calls = []

    def crash(*arguments):
        calls.append(arguments)
        if len(calls) == step:
            raise KeyboardInterrupt
        return files_replace(*arguments)

    files_replace = files_lib.replace
    before = read(folder)
    index, term = (20, 3) if installed else (6, 1)
    snapshot = before.snapshot._replace(index=index, term=term, data=b"state")
    kept = () if installed else make_entries(5, 9)
    base = (20, 3) if installed else (4, 1)
    vote = write_lib.SaveVote(4)
    write = write_lib.SaveSnapshot(snapshot, *base, kept, vote)
    with storage.create_storage(folder, "a") as opened:
        monkeypatch.setattr(files_lib, "replace", crash)
        if step < 3:
            with pytest.raises(KeyboardInterrupt):
                opened.save([write])
        else:
            opened.save([write])
        monkeypatch.undo()
    after = read(folder)
    if step == 1:
        assert after == before
        return
    assert after.snapshot == snapshot
    last = 20 if installed else 9
    assert after.base_index + len(after.entries) == last
    assert after.vote == (before.vote if step == 2 else vote)


def test_a_folder_of_another_replica_is_refused(folder):
    with pytest.raises(errors.WrongReplicaError, match="'a', not 'b'"):
        storage.create_storage(folder, "b")


def test_a_folder_in_use_is_refused(folder):
    with (
        storage.create_storage(folder, "a"),
        pytest.raises(errors.FolderInUseError, match="another process"),
    ):
        storage.create_storage(folder, "a")


# A new cluster of replicas that lost their log would discard the entries that
# the other replicas still hold.
def test_a_damaged_folder_becomes_a_new_replica_that_may_not_bootstrap(folder):
    old = read(folder).identity
    kept = storage.set_aside(folder, "a")
    with storage.create_storage(folder, "a") as opened:
        assert opened.stored.identity != old
        assert opened.stored.snapshot is None
        assert not opened.may_bootstrap
    assert list(kept.glob("segment-*"))


@pytest.fixture
def synced(monkeypatch):
    """The files and folders that were synced, by their inode."""
    inodes = []
    fsync = os.fsync

    def record(descriptor):
        inodes.append(os.fstat(descriptor).st_ino)
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", record)
    return inodes


# LOST: what a process had written as it was killed, and had not synced, counted
# as durable after its restart. It was acknowledged, and lost with the power.
def test_what_a_folder_returns_is_durable(folder, synced):
    with storage.create_storage(folder, "a") as opened:
        assert opened.stored.entries == make_entries(1, 9)
        assert find_segment(folder).stat().st_ino in synced
        assert folder.stat().st_ino in synced
