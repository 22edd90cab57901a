from __future__ import annotations

import json

import eliot
import pytest

from skylarkcleat import logs


@pytest.fixture
def open_log(tmp_path):
    # The first destination takes what earlier tests logged without one.
    eliot.add_destinations(print)
    eliot.remove_destination(print)

    def open_at(level="info", **bounds):
        path = str(tmp_path / "entry.log")
        return logs.create_log(level, path, "entry-a-1", **bounds)

    def read():
        lines = (tmp_path / "entry.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    open_at.read = read
    return open_at


def test_one_action_spans_both_processes(open_log):
    with open_log() as log:
        action = log.start_job("job-1", "votive", 3, now=0.0)
        remote = log.continue_job(logs.get_task_id(action), "job-1")
        with remote.context():
            log.write(logs.Level.WARNING, "runner:silent", task=2)
        remote.finish()
        action.finish()
    lines = open_log.read()
    assert len({line["task_uuid"] for line in lines}) == 1
    assert {line["process"] for line in lines} == {"entry-a-1"}
    assert [line.get("action_type") for line in lines] == [
        logs.JOB_ACTION,
        logs.REMOTE_ACTION,
        None,
        logs.REMOTE_ACTION,
        logs.JOB_ACTION,
    ]
    assert lines[2]["task"] == 2
    assert lines[2]["level"] == "warning"


def test_lines_below_the_level_are_not_written(open_log):
    with open_log("warning") as log:
        assert log.start_job("job-1", "votive", 3, now=0.0) is None
        log.write(logs.Level.INFO, "quiet")
        log.write(logs.Level.ERROR, "loud")
    assert [line["message_type"] for line in open_log.read()] == ["loud"]


def test_lines_that_other_modules_log_keep_to_the_level(open_log):
    with open_log("warning"):
        eliot.log_message(message_type="plain")
        eliot.log_message(message_type="bad", level="error")
    assert [line["message_type"] for line in open_log.read()] == ["bad"]


def test_jobs_above_the_rate_are_counted(open_log):
    with open_log(jobs_per_s=5.0) as log:
        actions = [
            log.start_job(f"job-{i}", "votive", 1, now=i / 100)
            for i in range(150)
        ]
    started = [action for action in actions if action]
    assert (len(started), log.skipped) == (12, 138)
    lines = open_log.read()
    notices = [
        line
        for line in lines
        if line.get("message_type") == logs.SKIPPED_MESSAGE
    ]
    assert len(lines) == len(started) + len(notices)
    assert 1 <= len(notices) <= 2
    assert sum(line["count"] for line in notices) <= log.skipped


@pytest.mark.parametrize("task_id", ["", "nothing", "a@b", "@"])
def test_bad_task_id_starts_nothing(open_log, task_id):
    with open_log() as log:
        assert log.continue_job(task_id, "job-1") is None


def test_job_that_is_not_logged_sends_no_task_id():
    assert logs.get_task_id(None) == ""


# The thread that writes the log ended at a text that can't be encoded.
def test_a_field_that_cannot_be_encoded_is_escaped(open_log):
    with open_log():
        eliot.log_message(message_type="odd", runner="i-\udcff")
        eliot.log_message(message_type="next", runner="i-1")
    odd, sound = open_log.read()
    assert "udcff" in odd["runner"]
    assert sound["runner"] == "i-1"


def test_lines_that_were_lost_are_counted_in_the_log(open_log, monkeypatch):
    monkeypatch.setattr(logs, "MAX_WAITING_LINES", 1)
    log = open_log()
    for number in range(4):
        log._take({"message_type": "early", "number": number})
    with log:
        pass
    found = [line for line in open_log.read() if "count" in line]
    assert [(line["message_type"], line["count"]) for line in found] == [
        (logs.LOST_MESSAGE, 3)
    ]
