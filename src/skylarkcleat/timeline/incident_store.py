"""Keeps incidents in append files, bounded by age and size."""

from __future__ import annotations

import collections
import collections.abc
import os
import pathlib
import typing as t

from skylarkcleat.model import job_id
from skylarkcleat.timeline import incident as incident_lib
from skylarkcleat.timeline import record_codec
from skylarkcleat.timeline import retention
from skylarkcleat.timeline import stored_record

SEGMENT_BYTES = 8 << 20
SEGMENTS_PER_AGE = 8
REMEMBERED_IDS = 65_536
MAX_CALLER_SKEW_MS = 3_600_000
_PREFIX = "incidents-"
_SUFFIX = ".log"


class IncidentStore:
    """The incidents on one disk; every method blocks on it.

    What `append` took is on the disk when it returns. A file's torn end is
    cut off at the start; damage in the middle is skipped and counted.

    Attributes:
        segments: Every file, oldest first; the last one is being written.
        repeated: Incidents that came again and were not kept twice.
        cut_bytes: Bytes at the ends of files that were no whole record.
    """

    def __init__(self, folder: str, max_age_ms: int, max_bytes: int) -> None:
        """Opens the store, which makes the folder if there is none.

        Args:
            folder: Holds the files and nothing else.
            max_age_ms: The age at which an incident may go, in milliseconds.
            max_bytes: The size of the files together, in bytes.

        Raises:
            OSError: The folder cannot be made, read or written.
        """
        self.segments: list[retention.Segment] = []
        self.repeated = 0
        self.cut_bytes = 0
        self._folder = pathlib.Path(folder)
        self._max_age_ms = max_age_ms
        self._max_bytes = max_bytes
        self._segment_bytes = min(SEGMENT_BYTES, max(1, max_bytes // 4))
        self._ids: collections.OrderedDict[str, None]
        self._ids = collections.OrderedDict()
        self._file: t.BinaryIO | None = None

    def __enter__(self) -> IncidentStore:
        """Reads what is there and opens the newest file for appending."""
        self._folder.mkdir(parents=True, exist_ok=True)
        numbers = sorted(self._list_numbers())
        for number in numbers:
            self._load_segment(number)
        self._open_segment(numbers[-1] if numbers else 1)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Closes the newest file."""
        if self._file:
            self._file.close()
            self._file = None

    @property
    def damaged(self) -> int:
        """Records that could not be read, over all the files."""
        return sum(segment.damaged for segment in self.segments)

    @property
    def size(self) -> int:
        """The size of all the files, in bytes."""
        return sum(segment.size for segment in self.segments)

    def append(
        self,
        incidents: collections.abc.Iterable[incident_lib.Incident],
        now_ms: int,
    ) -> None:
        """Writes and syncs incidents, then drops what is too old or much.

        Args:
            incidents: Ones that came before are passed over.
            now_ms: The wall clock, in milliseconds since the epoch.

        Raises:
            OSError: The disk failed; the batch may be given again.
        """
        if self._is_full(now_ms):
            self._open_segment(self.segments[-1].number + 1)
        fresh = [each for each in incidents if self._is_fresh(each)]
        if fresh:
            self._write(fresh, now_ms)
            for incident in fresh:
                self._remember(incident.id)
        self._expire(now_ms)

    def find_job(self, job: str) -> list[incident_lib.Incident]:
        """Returns what is kept of a job, oldest first.

        Reads the files one by one, but for those that were full before the
        job was made; only files that hold the identifier are decoded.
        """
        needle = job.encode() + stored_record.SEPARATOR
        made_ms = _get_made_ms(job)
        return [
            incident
            for segment in list(self.segments)
            if segment.last_ms >= made_ms - MAX_CALLER_SKEW_MS
            for incident in self._read_segment(segment.number, needle)
            if incident.job == job
        ]

    def find_period(
        self, begin_ms: int, end_ms: int
    ) -> collections.abc.Iterator[incident_lib.Incident]:
        """Yields the incidents reported in a period, oldest file first.

        Args:
            begin_ms: The first moment, in milliseconds since the epoch.
            end_ms: The first moment after it, in milliseconds since the
                epoch.
        """
        for segment in list(self.segments):
            if segment.last_ms < begin_ms or segment.first_ms >= end_ms:
                continue
            for incident in self._read_segment(segment.number):
                if begin_ms <= incident.wall_ms < end_ms:
                    yield incident

    def _list_numbers(self) -> collections.abc.Iterator[int]:
        for path in self._folder.iterdir():
            middle = path.name.removeprefix(_PREFIX).removesuffix(_SUFFIX)
            if middle.isdigit() and path == self._get_path(int(middle)):
                yield int(middle)

    def _get_path(self, number: int) -> pathlib.Path:
        return self._folder / f"{_PREFIX}{number:08d}{_SUFFIX}"

    def _load_segment(self, number: int) -> None:
        path = self._get_path(number)
        scan = record_codec.scan_records(path.read_bytes())
        if scan.torn:
            self.cut_bytes += path.stat().st_size - scan.end
            os.truncate(path, scan.end)
        heads = [stored_record.read_head(record) for record in scan.records]
        whole = [head for head in heads if head is not None]
        for head in whole:
            self._remember(head.id)
        times = [head.wall_ms for head in whole]
        segment = retention.Segment(
            number,
            scan.end,
            min(times, default=0),
            max(times, default=0),
            scan.damaged + len(heads) - len(whole),
        )
        self.segments.append(segment)

    def _read_segment(
        self, number: int, needle: bytes = b""
    ) -> collections.abc.Iterator[incident_lib.Incident]:
        try:
            data = self._get_path(number).read_bytes()
        except FileNotFoundError:
            return
        if needle not in data:
            return
        for record in record_codec.scan_records(data).records:
            if needle not in record:
                continue
            incident = stored_record.decode(record)
            if incident is not None:
                yield incident

    def _is_full(self, now_ms: int) -> bool:
        last = self.segments[-1]
        span_ms = self._max_age_ms // SEGMENTS_PER_AGE
        old = last.size > 0 and now_ms - last.first_ms > span_ms
        return old or last.size >= self._segment_bytes

    def _is_fresh(self, incident: incident_lib.Incident) -> bool:
        if incident.id in self._ids:
            self.repeated += 1
            return False
        return True

    def _remember(self, id_: str) -> None:
        self._ids[id_] = None
        if len(self._ids) > REMEMBERED_IDS:
            self._ids.popitem(last=False)

    def _write(
        self, incidents: list[incident_lib.Incident], now_ms: int
    ) -> None:
        last = self.segments[-1]
        data = b"".join(
            record_codec.encode_record(stored_record.encode(each))
            for each in incidents
        )
        try:
            self._file.write(data)
            os.fdatasync(self._file.fileno())
        except OSError:
            os.ftruncate(self._file.fileno(), last.size)
            raise
        times = [each.wall_ms for each in incidents]
        first_ms = min(times) if not last.size else min(last.first_ms, *times)
        self.segments[-1] = last._replace(
            size=last.size + len(data),
            first_ms=first_ms,
            last_ms=max(last.last_ms, *times),
        )

    def _open_segment(self, number: int) -> None:
        if self._file:
            self._file.close()
        path = self._get_path(number)
        self._file = path.open("ab", buffering=0)
        if not self.segments or self.segments[-1].number != number:
            self.segments.append(retention.Segment(number, 0, 0, 0))
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _expire(self, now_ms: int) -> None:
        expired = retention.choose_expired(
            self.segments, now_ms, self._max_age_ms, self._max_bytes
        )
        for segment in expired:
            self._get_path(segment.number).unlink(missing_ok=True)
            self.segments.remove(segment)


def _get_made_ms(job: str) -> int:
    try:
        return job_id.parse_job_id(job).time_ms
    except job_id.InvalidJobIdError:
        return 0
