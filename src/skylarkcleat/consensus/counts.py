"""Counts of the messages and writes of one control replica."""

from __future__ import annotations

import typing as t

from skylarkcleat.consensus import links as links_lib
from skylarkcleat.consensus import storage as storage_lib


class Counts(t.NamedTuple):
    """Counts since the replica started.

    Attributes:
        sent_messages: Messages sent to other replicas.
        sent_bytes: The encoded size of these messages.
        replaced_sockets: Sockets that were replaced because the peer did not
            echo pings over them.
        syncs: Groups of writes that were made durable by one sync.
        written_bytes: The size of these groups.
    """

    sent_messages: int
    sent_bytes: int
    replaced_sockets: int
    syncs: int
    written_bytes: int


def create_counts(
    links: links_lib.Links, storage: storage_lib.Storage
) -> Counts:
    """Collects the counts of a replica's links and storage."""
    return Counts(
        links.sent_messages,
        links.sent_bytes,
        links.replaced_sockets,
        storage.syncs,
        storage.written_bytes,
    )
