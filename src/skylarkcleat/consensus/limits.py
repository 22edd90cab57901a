"""Bounds on a replica's time, messages and memory."""

from __future__ import annotations

import typing as t


class Limits(t.NamedTuple):
    """Bounds that all replicas of a cluster share.

    Attributes:
        heartbeat_s: The interval of a leader's heartbeats to a follower.
        election_s: How long a follower refuses to vote after a message from
            a leader, and the shortest election timeout. The timeout is
            drawn at random between this and twice this, so that replicas
            rarely campaign at the same time.
        clock_drift: How much faster one replica's monotonic clock may run
            than another's, as a fraction. A leader without a majority steps
            down after `election_s` less this fraction, and so before its
            followers may vote for another.
        silent_s: How long a replica may leave its leader without an answer
            before it counts as lost.
        resend_s: How long a leader waits for a reply before it sends entries
            again.
        announce_s: The interval of an empty replica's announcements.
        message_entries: The largest number of entries in one message.
        message_bytes: The largest payload of one message, in bytes; a single
            entry may exceed it.
        window_messages: The largest number of messages to one follower that
            wait for a reply.
        command_bytes: The largest size of one command; larger ones are
            rejected.
        pending_entries: The largest number of entries that wait for their
            commit; the leader rejects commands beyond it.
        snapshot_entries: The number of applied entries after which a replica
            takes a snapshot.
        snapshot_bytes: The size of the log in memory at which a replica takes
            a snapshot and keeps no entries that it covers. At four times this
            size a leader rejects commands.
        trailing_entries: The number of entries kept that a snapshot covers,
            for followers that lag a little and so need no snapshot.
        learner_lag_entries: How many entries a learner may lack and still
            be made a voter.
        voters: How many replicas should vote; the others follow as learners.
            The leader then exchanges voters that are lost. With 0 operators
            decide who votes.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.6
    clock_drift: float = 0.1
    silent_s: float = 2.0
    resend_s: float = 0.3
    announce_s: float = 0.2
    message_entries: int = 512
    message_bytes: int = 256 * 1024
    window_messages: int = 8
    command_bytes: int = 1024 * 1024
    pending_entries: int = 16_384
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 8 * 1024 * 1024
    trailing_entries: int = 1_000
    learner_lag_entries: int = 100
    voters: int = 0
