"""Bodies of another writer: nested too deeply, with numbers out of range.

Each is refused with the decoder's own error, or decodes to values that can be
sent to other processes.
"""

from __future__ import annotations

import json

import msgspec
import pytest

from skylarkcleat.platform import configuration_body
from skylarkcleat.platform import job_body
from skylarkcleat.platform import runner_body
from tests import fake_runner
from tests import platform_fleet

JOB_ID = "5c0e7a21d94b36f8"
DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = b"9" * 5_000

HELD = {
    "clock-ms": 482113,
    "born": 1_700_000_000_000,
    "running": [["5c0e7a21d94b36f8.0.0.1", 2, "", 40, 0]],
    "ended": [[3, "5c0e7a21d94b36f8.0.0.0", 1, "done", ""]],
}
ANSWER = {"clock-ms": 482113, "reason": "late"}
STEP = {"task-count": 2, "cpu": 500, "mem-mb": 64, "estimated-ms": 90}
JOB = {"spec": "s", "steps": [STEP], "best-effort": True}
CONFIGURATION = platform_fleet.create_configuration(7)


def decode_heartbeat(body):
    return runner_body.decode_heartbeat("i-1", body)


def decode_answer(body):
    return runner_body.decode_answer(200, body)


def decode_job(body):
    return job_body.decode_job(JOB_ID, body)


DECODERS = [
    (decode_heartbeat, fake_runner.HEARTBEAT, runner_body.RunnerError),
    (runner_body.decode_hold_answer, HELD, runner_body.RunnerError),
    (decode_answer, ANSWER, runner_body.RunnerError),
    (decode_job, JOB, job_body.JobError),
    (
        configuration_body.decode_configuration,
        CONFIGURATION,
        configuration_body.ConfigurationError,
    ),
]
IDS = ["heartbeat", "hold", "answer", "job", "configuration"]
with_decoders = pytest.mark.parametrize(
    ("decode", "template", "error"), DECODERS, ids=IDS
)

ODD_VALUES = {
    "deep": DEEP,
    "huge": HUGE,
    "negative-huge": b"-" + HUGE,
    "infinite": b"1e400",
    "large-float": b"1e300",
    "beyond-64-bits": b"99999999999999999999999999",
    "large": b"9000000000000000",
    "negative": b"-1",
    "fraction": b"0.5",
    "null": b"null",
    "text": b'"x"',
    "object": b"{}",
    "rows": b"[[]]",
    "short-rows": b'[["a"]]',
    "odd-rows": b'[[{}, "x", [], null]]',
    "surrogate": b'"\\ud800"',
    "not-utf8": b'"\xff\xfe"',
}


def list_places(value, path=()):
    """Yields the path of every value in a body, the body itself included."""
    yield path
    if isinstance(value, dict):
        for key, each in value.items():
            yield from list_places(each, (*path, key))
    elif isinstance(value, list):
        for number, each in enumerate(value):
            yield from list_places(each, (*path, number))


def replace(template, path, odd):
    """Returns a body in which the value at a path is replaced."""
    if not path:
        return odd
    body = json.loads(json.dumps(template))
    place = body
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = "<odd>"
    return json.dumps(body).encode().replace(b'"<odd>"', odd)


def check(decode, body, error):
    try:
        decoded = decode(body)
    except error:
        return
    msgspec.msgpack.encode(decoded)


@with_decoders
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES.keys())
def test_an_odd_value_anywhere_is_refused_or_can_be_sent(
    decode, template, error, odd
):
    for path in list_places(template):
        check(decode, replace(template, path, odd), error)


@with_decoders
def test_an_unknown_field_may_hold_anything_but_deep_nesting(
    decode, template, error
):
    decode(json.dumps(template | {"new": {"a": [1, None]}}).encode())
    body = replace(template | {"new": 0}, ("new",), DEEP)
    check(decode, body, error)


# CONFIG (review/5): a configuration that nobody could read was acknowledged and
# in force, as its bytes that are no UTF-8 stood in a field that is not used.
@with_decoders
@pytest.mark.parametrize("field", [b'"new": "\xff\xfe"', b'"\xff": 1'])
def test_bytes_that_are_no_utf8_are_refused_in_unknown_fields_too(
    decode, template, error, field
):
    body = json.dumps(template).encode().replace(b"{", b"{" + field + b",", 1)
    if decode is decode_answer:
        assert decode(body).reason == "unreadable answer"
        return
    with pytest.raises(error):
        decode(body)


# LIMIT (review/9): a report of another writer was taken for the runner's, with
# four times its capacity, as its odd fields were not looked at.
@pytest.mark.parametrize("field", [*fake_runner.HEARTBEAT, "cpu", "gpu"])
def test_a_report_that_lacks_a_field_is_of_another_writer(field):
    body = json.loads(json.dumps(fake_runner.HEARTBEAT))
    place = body if field in body else body["capacity"]
    del place[field]
    if field == "born":
        # The platform's example has none either.
        assert not decode_heartbeat(json.dumps(body).encode()).runner.born_ms
        return
    with pytest.raises(runner_body.RunnerError):
        decode_heartbeat(json.dumps(body).encode())


@pytest.mark.parametrize("field", fake_runner.HEARTBEAT)
def test_a_report_with_a_field_of_another_type_is_of_another_writer(field):
    is_text = isinstance(fake_runner.HEARTBEAT[field], str)
    for odd in (None, {}, True, 7 if is_text else "eight"):
        body = fake_runner.HEARTBEAT | {field: odd}
        with pytest.raises(runner_body.RunnerError):
            decode_heartbeat(json.dumps(body).encode())


def test_an_unreadable_answer_keeps_its_status():
    for odd in ODD_VALUES.values():
        assert decode_answer(odd).status == 200


# A word that a later version of the platform may bring.
def test_a_run_that_ended_in_an_unknown_way_is_over_and_not_done():
    row = [4, "5c0e7a21d94b36f8.0.0.1", 1, "evicted", "", "more"]
    body = json.dumps(HELD | {"ended": [*HELD["ended"], row]}).encode()
    ends = runner_body.decode_hold_answer(body).ends
    assert [end.number for end in ends] == [3, 4]
    assert ends[1].ending not in ("done", "failed")
