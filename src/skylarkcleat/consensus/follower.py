"""The follower's part: appends a leader's entries and installs snapshots."""

from __future__ import annotations

import crc32c

from skylarkcleat.consensus import context as context_lib
from skylarkcleat.consensus import entry_log as entry_log_lib
from skylarkcleat.consensus import identity as identity_lib
from skylarkcleat.consensus import message as message_lib
from skylarkcleat.consensus import snapshot as snapshot_lib


class Follower:
    """Handles the entries and snapshots from the leader of the term."""

    def __init__(self, context: context_lib.Context) -> None:
        self._context = context
        self._header: snapshot_lib.Snapshot | None = None
        self._data = bytearray()

    def handle_entries(
        self,
        sender: identity_lib.Identity,
        request: message_lib.AppendRequest,
    ) -> None:
        """Appends entries if the previous position matches.

        Otherwise replies with the position after which to try again.
        """
        if not request.entries:
            self._answer_heartbeat(sender, request)
        mismatch = self._find_mismatch(request)
        if mismatch is not None:
            self._reply(sender, request, mismatch, matched=False)
            return
        context = self._context
        base = context.log.base_index
        held = tuple(e for e in request.entries if e.index > base)
        new_entries = context.log.find_new_entries(held)
        if new_entries:
            context.has_acknowledged = True
            context.save_entries(new_entries)
        last = request.previous_index + len(request.entries)
        context.commit = max(context.commit, min(request.commit, last))
        self._reply(sender, request, last, matched=True)

    def handle_chunk(
        self,
        sender: identity_lib.Identity,
        chunk: message_lib.SnapshotChunk,
    ) -> None:
        """Adds a chunk, and installs the snapshot once it is complete."""
        context = self._context
        header = chunk.header
        if context.snapshot is not None and header.index <= context.commit:
            self._reply(sender, chunk, header.index, matched=True)
            return
        if header != self._header:
            self._header = header
            self._data.clear()
        if chunk.offset == len(self._data):
            self._data += chunk.data
        if len(self._data) < chunk.size:
            self._request_chunk(sender, chunk)
            return
        data = bytes(self._data)
        self._header = None
        self._data.clear()
        if crc32c.crc32c(data) != chunk.checksum:
            self._request_chunk(sender, chunk)
            return
        self.install(header._replace(data=data))
        self._reply(sender, chunk, header.index, matched=True)

    def install(self, snapshot: snapshot_lib.Snapshot) -> None:
        """Replaces the state, and the log up to the snapshot, by a snapshot."""
        context = self._context
        log = context.log
        if log.term_at(snapshot.index) == snapshot.term:
            log.compact(snapshot.index)
        else:
            context.log = entry_log_lib.EntryLog(snapshot.index, snapshot.term)
        context.save_snapshot(snapshot)
        context.restored = snapshot
        context.commit = snapshot.index
        context.applied = snapshot.index

    def _find_mismatch(self, request: message_lib.AppendRequest) -> int | None:
        context = self._context
        log = context.log
        previous = request.previous_index
        if context.snapshot is None:
            return -1
        if previous < log.base_index:
            return None
        if previous > log.last_index:
            return log.last_index
        if log.term_at(previous) == request.previous_term:
            return None
        return max(log.first_of_term(previous) - 1, context.commit)

    def _answer_heartbeat(
        self,
        sender: identity_lib.Identity,
        request: message_lib.AppendRequest,
    ) -> None:
        context = self._context
        reply = message_lib.HeartbeatReply(
            context.term, request.read_round, request.sent_at
        )
        context.send_now(sender, reply)

    def _request_chunk(
        self,
        sender: identity_lib.Identity,
        chunk: message_lib.SnapshotChunk,
    ) -> None:
        context = self._context
        reply = message_lib.SnapshotReply(
            context.term,
            chunk.header.index,
            len(self._data),
            chunk.read_round,
            chunk.sent_at,
        )
        context.send_after_sync(sender, reply)

    def _reply(
        self,
        sender: identity_lib.Identity,
        request: message_lib.AppendRequest | message_lib.SnapshotChunk,
        index: int,
        *,
        matched: bool,
    ) -> None:
        context = self._context
        reply = message_lib.AppendReply(
            context.term, matched, index, request.read_round, request.sent_at
        )
        context.send_after_sync(sender, reply)
