from __future__ import annotations

import pytest

from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import clock as clock_lib
from skylarkcleat.timeline import collection as collection_lib
from skylarkcleat.timeline import kind as kind_lib
from skylarkcleat.timeline import queries
from skylarkcleat.timeline import recorder as recorder_lib

Kind = kind_lib.Kind
START_MS = 1_780_000_000_000


@pytest.fixture
def create():
    def create_recorder(**bounds) -> recorder_lib.Recorder:
        clock = clock_lib.HybridClock()
        return recorder_lib.Recorder("agent-a-1", "valdosta", clock, **bounds)

    return create_recorder


def test_job_is_found_in_order(create):
    recorder = create()
    for kind in (Kind.QUEUED, Kind.STARTED, Kind.ANSWERED):
        recorder.record(kind, START_MS, "job-1", task=3)
        recorder.record(kind, START_MS, "job-2", task=4)
    rows = recorder.find_job("job-1")
    assert [row.kind for row in rows] == ["queued", "started", "answered"]
    assert {(row.process, row.zone, row.task) for row in rows} == {
        ("agent-a-1", "valdosta", 3)
    }
    assert recorder.find_job("job-3") == ()


def test_oldest_jobs_give_way_whole(create):
    recorder = create(max_events=10)
    for number in range(6):
        for kind in (Kind.QUEUED, Kind.STARTED, Kind.ANSWERED):
            recorder.record(kind, START_MS + number, f"job-{number}")
    counts = [len(recorder.find_job(f"job-{i}")) for i in range(6)]
    assert counts == [0, 0, 0, 3, 3, 3]
    assert recorder.evicted == 9
    assert recorder.dropped == 0


def test_memory_is_bounded_whatever_comes(create):
    recorder = create(max_events=1_000, max_rate=1e9)
    for number in range(20_000):
        recorder.record(Kind.STARTED, START_MS, f"job-{number // 7}")
        recorder.record(Kind.EJECTED, START_MS, peer="agent-b-1")
    kept = sum(len(recorder.find_job(f"job-{i}")) for i in range(3_000))
    assert kept <= 1_000
    assert (
        len(recorder.find_process_events()) == recorder_lib.MAX_PROCESS_EVENTS
    )


def test_one_huge_job_is_bounded_and_said_to_be_short(create):
    recorder = create(max_rate=1e9)
    for _ in range(recorder_lib.MAX_JOB_EVENTS + 5):
        recorder.record(Kind.STARTED, START_MS, "job-1")
    assert len(recorder.find_job("job-1")) == recorder_lib.MAX_JOB_EVENTS
    assert recorder.count_short("job-1") == 5


def test_flood_drops_routine_events_first_and_says_so(create):
    recorder = create(max_rate=100)
    for number in range(200):
        recorder.record(Kind.STARTED, START_MS, f"job-{number}")
    recorder.record(Kind.BROKEN, START_MS, "job-0")
    assert recorder.dropped == 125
    assert [row.kind for row in recorder.find_job("job-0")] == [
        "started",
        "broken",
    ]
    assert recorder.count_short("job-199") == 1
    recorder.record(Kind.JOINED, START_MS + 1_000)
    kinds = [row.kind for row in recorder.find_process_events()]
    assert kinds == [Kind.EVENTS_DROPPED, Kind.JOINED]
    assert recorder.find_process_events()[0].count == 125


def test_drops_are_said_at_most_once_a_second(create):
    recorder = create(max_rate=10)
    for number in range(3_000):
        recorder.record(Kind.BROKEN, START_MS + number, f"job-{number}")
    notices = [
        row
        for row in recorder.find_process_events()
        if row.kind is Kind.EVENTS_DROPPED
    ]
    assert 2 <= len(notices) <= 3
    assert sum(row.count for row in notices) <= recorder.dropped


def test_clock_set_back_does_not_open_the_bound(create):
    recorder = create(max_rate=10)
    for number in range(100):
        recorder.record(Kind.BROKEN, START_MS - number, "job-1")
    assert len(recorder.find_job("job-1")) == 10


def test_follower_learns_what_it_missed(create):
    recorder = create(max_rate=1e9)
    recorder.record(Kind.JOINED, START_MS)
    first = recorder.read_after(0, 10)
    assert (len(first.events), first.missed) == (1, 0)
    for _ in range(recorder_lib.MAX_RECENT + 3):
        recorder.record(Kind.STARTED, START_MS, "job-1")
    piece = recorder.read_after(first.after, 10)
    assert (len(piece.events), piece.missed) == (10, 3)
    end = recorder.read_after(10**9, 10)
    assert end.events == ()
    assert recorder.read_after(end.after, 10) == end


def test_inquiry_is_answered_in_bounded_pieces(create):
    recorder = create(max_rate=1e9)
    for task in range(1_200):
        recorder.record(Kind.STARTED, START_MS, "job-1", task)
    collection = collection_lib.Collection("job-1", ["agent-a-1", "gone"])
    pieces = 0
    while question := collection.create_question("agent-a-1", 7):
        question = question._replace(limit=10**6)
        piece = queries.answer_query(recorder, "agent-a-1", question)
        assert len(piece.events) <= diagnostics.MAX_EVENTS_PER_PAGE
        collection.take(piece)
        pieces += 1
    assert pieces == 3
    assert not collection.done
    collection.give_up("gone", "does not answer")
    collection.give_up("agent-a-1", "does not answer")
    assert collection.done
    assert tuple(collection.events) == recorder.find_job("job-1")
    assert [each.process for each in collection.missing] == ["gone"]


def test_collection_says_what_a_process_did_not_record(create):
    recorder = create(max_rate=4)
    for task in range(10):
        recorder.record(Kind.BROKEN, START_MS, "job-1", task)
    collection = collection_lib.Collection("job-1", ["agent-a-1"])
    question = collection.create_question("agent-a-1", 1)
    piece = queries.answer_query(recorder, "agent-a-1", question)
    collection.take(piece)
    collection.take(piece)
    (missing,) = collection.missing
    assert missing.reason == "did not record 6 events of the job"
    assert len(collection.events) == 4


def test_process_that_answers_the_same_for_ever_is_left():
    collection = collection_lib.Collection("job-1", ["agent-a-1"])
    stuck = diagnostics.EventPage(1, "agent-a-1", (), 0, 0, False)
    collection.take(stuck)
    assert collection.done


@pytest.mark.parametrize(("after", "limit"), [(-5, -1), (10**12, 0)])
def test_inquiry_out_of_bounds_is_cut(create, after, limit):
    recorder = create()
    recorder.record(Kind.STARTED, START_MS, "job-1")
    for job in ("", "job-1"):
        question = diagnostics.EventQuery(1, job, after, limit)
        piece = queries.answer_query(recorder, "agent-a-1", question)
        assert len(piece.events) == (1 if after < 0 else 0)
        assert piece.after == 1
