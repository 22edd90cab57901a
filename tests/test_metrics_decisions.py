from __future__ import annotations

import pytest

from skylarkcleat import loop_lag
from skylarkcleat.metrics import decisions
from skylarkcleat.scheduling import active_job

WORKERS = {"open": 3, "closed": {"reporting": 8, "draining": 1}}
MARGIN = {"voters": 4, "silent": ("c",), "spare": 0}


def _end_job(queue="q", verdict="completed", age_ms=120):
    return {
        "message_type": active_job.JOB_ENDED,
        "queue": queue,
        "verdict": verdict,
        "detail": "" if verdict == "completed" else "no runner has room",
        "age_ms": age_ms,
        "objective_ms": 100,
        "runs": [
            active_job.RunRecord("0.0", 1, "side-1", 0, "start"),
            active_job.RunRecord("0.0", 1, "side-1", 120, "done"),
        ],
    }


@pytest.fixture
def metrics():
    return decisions.DecisionMetrics()


def _render(metrics, lost=0):
    return metrics.render(["text/plain"], lost)[0].decode()


def test_counts_jobs_by_queue_verdict_and_cause(metrics):
    for message in (_end_job(), _end_job(), _end_job(verdict="not-run")):
        metrics(message)
    text = _render(metrics)
    assert 'cause="no-runner-has-room"' in text
    counts = [
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith("skylarkcleat_jobs_total{")
    ]
    assert sorted(counts) == [1, 2]
    assert 'skylarkcleat_job_seconds_count{queue="q"} 2' in text


def test_labels_stay_bounded(metrics):
    for number in range(1000):
        metrics(_end_job(queue=f"q{number}"))
        metrics({"message_type": f"kind:{number}"})
    text = _render(metrics)
    assert 'queue="other"' in text
    assert text.count("skylarkcleat_log_lines_total{") <= 65


@pytest.mark.parametrize(
    ("kind", "fields", "line"),
    [
        ("owner:begun", {"term": 7}, "skylarkcleat_owner_term 7"),
        ("owner:ended", {"term": 7}, "skylarkcleat_owner_term 0"),
        (
            "owner:waiting",
            {"sides": 19},
            "skylarkcleat_owner_waiting_sides 19",
        ),
        ("owner:settled", {}, "skylarkcleat_owner_waiting_sides 0"),
        (
            "front:configuration",
            {"version": 3},
            "skylarkcleat_configuration_version 3",
        ),
        ("consensus:leader", {"leader": "a"}, "skylarkcleat_log_has_leader 1"),
        ("consensus:leader", {"leader": ""}, "skylarkcleat_log_has_leader 0"),
        ("consensus:leader", {"leader": "a"}, "skylarkcleat_log_voters 0"),
        ("owner:workers", WORKERS, "skylarkcleat_owner_open_sides 3"),
        ("owner:workers", WORKERS, "skylarkcleat_owner_closed_sides 9"),
        ("owner:ended", {"term": 7}, "skylarkcleat_owner_closed_sides 0"),
        ("consensus:margin", MARGIN, "skylarkcleat_log_voters 4"),
        ("consensus:margin", MARGIN, "skylarkcleat_log_silent_voters 1"),
        ("consensus:margin", MARGIN, "skylarkcleat_log_spare_voters 0"),
    ],
)
def test_shows_the_present_term_and_version(metrics, kind, fields, line):
    metrics({"message_type": kind, **fields})
    assert line in _render(metrics)


def test_shows_how_many_lines_were_lost(metrics):
    assert "skylarkcleat_log_lines_lost 4" in _render(metrics, 4)


# Nothing told that a process ran behind, so that late leases had no cause.
def test_the_lag_of_the_event_loop_is_logged_until_it_is_over(log_lines):
    meter = loop_lag.LagMeter(0.0)
    for tick in range(1, 61):
        late_s = 0.2 if tick == 15 else 0.001
        meter.record(late_s, tick * 0.1)
    assert [line["late_ms"] for line in log_lines] == [200, 0]


def test_the_error_of_a_forecast_is_counted_only_if_both_are_known(metrics):
    """A wait that is not known must not count as one of zero."""
    metrics(_end_job() | {"admission": "deferred", "waited_ms": 200})
    known = {"forecast_wait_ms": 50, "waited_ms": 200}
    metrics(_end_job() | known | {"admission": "deferred"})
    text = _render(metrics)
    name = "skylarkcleat_job_forecast_error_seconds"
    labels = 'admission="deferred",queue="q"'
    assert f"{name}_count{{{labels}}} 1" in text
    assert f"{name}_sum{{{labels}}} 0.15" in text
