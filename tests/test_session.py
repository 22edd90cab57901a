from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from skylarkcleat.wire import session as session_lib


def _create_pair(now: float = 0.0):
    left = session_lib.Endpoint("left", 1)
    right = session_lib.Endpoint("right", 2)
    return (
        session_lib.Session(left, right, 7, now),
        session_lib.Session(right, left, 7, now),
    )


def _read(session, frames, now):
    return [body for frame in frames for _, body in session.receive(frame, now)]


def test_messages_queued_together_share_a_frame():
    left, right = _create_pair()
    for number in range(5):
        left.enqueue("Number", bytes([number]))
    frames = left.collect(0.0, 0)
    assert len(frames) == 1
    assert [bytes(b) for b in _read(right, frames, 0.0)] == [
        bytes([number]) for number in range(5)
    ]


def test_a_repeated_frame_is_delivered_once():
    left, right = _create_pair()
    left.enqueue("Number", b"1")
    frames = left.collect(0.0, 0)
    assert len(_read(right, frames * 2, 0.0)) == 1


def test_a_lost_frame_is_sent_again_until_it_is_acknowledged():
    left, right = _create_pair()
    left.enqueue("Number", b"1")
    left.collect(0.0, 0)
    again = left.maintain(session_lib.RESEND_TIMEOUT_S * 2, 0)
    assert len(_read(right, again, 1.0)) == 1
    _read(left, right.maintain(1.0, 0), 1.0)
    assert left.backlog == 0


def test_a_full_queue_refuses_a_message_and_names_the_limit(monkeypatch):
    monkeypatch.setattr(session_lib, "MAX_QUEUED_MESSAGES", 2)
    left, _ = _create_pair()
    assert left.enqueue("Number", b"1") is None
    assert left.enqueue("Number", b"2") is None
    assert "which is the limit" in left.enqueue("Number", b"3").detail


def test_an_oversize_message_is_refused_and_not_queued():
    left, _ = _create_pair()
    body = bytes(session_lib.MAX_MESSAGE_BYTES + 1)
    assert "over the limit" in left.enqueue("Number", body).detail
    assert left.backlog == 0


@pytest.mark.parametrize("idle_s", [0.1, 1.0])
def test_an_idle_session_sends_heartbeats(idle_s):
    left, _ = _create_pair()
    left.maintain(0.0, 0)
    due = idle_s > session_lib.HEARTBEAT_INTERVAL_S
    assert bool(left.maintain(idle_s, 0)) is due


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 1 << 32), loss=st.floats(0.0, 0.6))
def test_everything_arrives_once_and_in_order(seed, loss):
    rng = random.Random(seed)
    left, right = _create_pair()
    now, sent, received, in_transit = 0.0, 0, [], []
    while len(received) < 40:
        now += 0.05
        if sent < 40 and rng.random() < 0.7:
            left.enqueue("Number", bytes([sent]))
            sent += 1
        in_transit += [(right, frame) for frame in left.maintain(now, 0)]
        in_transit += [(left, frame) for frame in right.maintain(now, 0)]
        rng.shuffle(in_transit)
        for side, frame in in_transit[: rng.randint(0, len(in_transit))]:
            copies = rng.choice([1, 1, 2]) if rng.random() >= loss else 0
            for _ in range(copies):
                bodies = _read(side, [frame], now)
                received += [b[0] for b in map(bytes, bodies)]
            in_transit.remove((side, frame))
        assert now < 200
    assert received == list(range(40))


def test_an_idle_session_with_rarer_heartbeats_has_longer_timeouts():
    left, right = _create_pair()
    right.heartbeat_s = 10.0
    _read(left, right.maintain(0.0, 0), 0.0)
    assert not left.is_unresponsive(session_lib.UNRESPONSIVE_TIMEOUT_S * 2)
    assert not left.is_lost(session_lib.LOST_TIMEOUT_S * 2)
    assert left.is_unresponsive(10.0 * session_lib.UNRESPONSIVE_HEARTBEATS + 1)
    assert left.is_lost(10.0 * session_lib.LOST_HEARTBEATS + 1)
    assert right.due_at > session_lib.UNRESPONSIVE_TIMEOUT_S


def test_an_unacknowledged_batch_uses_the_short_timeouts():
    left, right = _create_pair()
    right.heartbeat_s = 10.0
    _read(left, right.maintain(0.0, 0), 0.0)
    left.enqueue("Number", b"1")
    left.collect(20.0, 0)
    assert not left.is_unresponsive(20.0 + session_lib.UNRESPONSIVE_TIMEOUT_S)
    assert left.is_unresponsive(20.1 + session_lib.UNRESPONSIVE_TIMEOUT_S)
    assert left.is_lost(20.1 + session_lib.LOST_TIMEOUT_S)


def test_acknowledgements_ride_on_frames_that_go_anyway():
    """A renewal every 0.15 s and its reply take one frame each."""
    left, right = _create_pair()
    frames = 0
    for tick in range(1, 61):
        now = tick * 0.05
        if tick % 3 == 0:
            left.enqueue("Number", b"1")
            sent = left.collect(now, 0)
            _read(right, sent, now)
            right.enqueue("Number", b"2")
            answered = right.collect(now, 0)
            _read(left, answered, now)
            frames += len(sent) + len(answered)
        frames += len(left.maintain(now, 0)) + len(right.maintain(now, 0))
    opening = 2
    assert frames == opening + 2 * 20


def test_a_stream_without_answers_is_acknowledged_before_it_stops():
    left, right = _create_pair()
    for _ in range(session_lib.MAX_UNACKNOWLEDGED):
        left.enqueue("Number", b"1")
        _read(right, left.collect(0.0, 0), 0.0)
    _read(left, right.maintain(0.01, 0), 0.01)
    assert left.backlog == 0
