from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import reach
from skylarkcleat.configuration_check import refusal
from skylarkcleat.configuration_check import report as report_lib
from skylarkcleat.http_limits import limits
from skylarkcleat.platform import configuration_body
from skylarkcleat.platform import configuration_words
from tests import configuration_documents as documents
from tests import test_platform_odd_bodies as odd_bodies

Status = report_lib.Status
DESKS = [{"name": "desk"}, {"name": "desk", "x": 2}]


def check(body, attempt_ms=0):
    return report_lib.check_document(body, report_lib.create_checks(attempt_ms))


@st.composite
def create_routes(draw, number):
    prefix = draw(st.sampled_from(["/", "/a/", "/a/b", "a", ""]))
    return {
        "name": draw(st.sampled_from(["orders", "reports", ""])),
        "host": draw(st.sampled_from(["h", "h", "H", "h:80", "", "é"])),
        "path-prefix": f"{prefix}{number}",
        "timeout-ms": draw(st.sampled_from([0.4, 50, 60, 1500, 2**53])),
        "target-latency-ms": draw(st.sampled_from([0, 60, 2e4, 2**53])),
        "priority": draw(st.integers(0, 40) | st.just(2**53)),
        "max-attempts": draw(st.integers(0, 3)),
        "stretch": draw(st.sampled_from([0, 0.5, 1, 1.6, 2**53])),
        "service": draw(st.sampled_from(["desk", "away"])),
    }


RULES = [
    ("version", 0),
    ("services", [{"name": "desk"}, {"name": "desk"}]),
    ("timeout-ms", 0),
    ("service", "unknown"),
    ("path-prefix", "/same"),
    ("advice", None),
    ("advice", {}),
]


@st.composite
def create_bodies(draw):
    """Returns documents, of which most are mutated in one place."""
    count = draw(st.integers(0, 4))
    routes = [draw(create_routes(number)) for number in range(count)]
    services = [{"name": name} for name in ("desk", "away")]
    document = {"version": 7, "routes": routes, "services": services}
    kind = draw(st.sampled_from(["whole", "rule", "odd", "cut", "byte"]))
    if kind == "rule":
        field, value = draw(st.sampled_from(RULES))
        for each in [document] if field in document else routes[:2]:
            each[field] = value
    if kind == "odd":
        place = draw(st.sampled_from(list(odd_bodies.list_places(document))))
        odd = draw(st.sampled_from(list(odd_bodies.ODD_VALUES.values())))
        return odd_bodies.replace(document, place, odd)
    body = json.dumps(document, indent=draw(st.sampled_from([None, 1])))
    data = bytearray(body.encode())
    at = draw(st.integers(0, len(data) - 1))
    if kind == "cut":
        return bytes(data[:at])
    if kind == "byte":
        data[at] = draw(st.integers(0, 255))
    return bytes(data)


# Failure: the check accepts what a front refuses, or the other way round.
@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(create_bodies())
def test_the_check_refuses_just_what_a_front_refuses(body):
    status = documents.put_on_front(body)
    assert status in (200, 400)
    assert (check(body).status is Status.REFUSED) == (status == 400)


def _pad_to_limit(excess):
    """Returns a document with a number of bytes over the encoded limit."""
    size = 900_000
    while True:
        body = documents.create_document(padding="x" * size)
        decoded = configuration_body.decode_configuration(body)
        try:
            missing = content.MAX_BYTES - len(content.encode(decoded)) + excess
        except content.ContentError as error:
            found = int(str(error).split()[3])
            missing = content.MAX_BYTES - found + excess
        if not missing:
            return body
        size += missing


@pytest.mark.parametrize(("excess", "status"), [(0, 200), (1, 400)])
def test_the_largest_configuration_is_accepted_by_both(excess, status):
    body = _pad_to_limit(excess)
    assert documents.put_on_front(body) == status
    assert (check(body).status is Status.REFUSED) == (status == 400)


# A front answers 413 before it decodes anything.
def test_a_document_over_the_limit_of_a_request_is_refused():
    body = documents.create_document()
    body += b" " * (limits.CONTROL_BODY_BYTES + 1 - len(body))
    with pytest.raises(refusal.RefusedError, match="reads no more"):
        refusal.decode_document(body)


@pytest.mark.parametrize(
    ("body", "marker"),
    [
        (documents.create_document({}, {"host": 4}), b'"host": 4'),
        (documents.create_document({}, {"timeout-ms": 0}), b'"timeout-ms": 0'),
        (documents.create_document({"service": "x"}), b'"service": "x"'),
        (documents.create_document(version=0), b'"version": 0'),
        (documents.create_document({}, {"name": "b"}), b'{\n   "name": "b"'),
        (
            documents.create_document(services=DESKS),
            b'{\n   "name": "desk",\n   "x": 2',
        ),
        (documents.create_document() + b"\n\n!", b"!"),
        (documents.create_document(note="\xe9") + b"\n\xff", b"\xff"),
    ],
)
def test_a_refusal_has_the_line_of_the_offending_value(body, marker):
    (finding,) = check(body).findings
    offset = body.index(marker)
    assert finding.line == body.count(b"\n", 0, offset) + 1


def test_of_a_repeated_key_the_last_value_has_the_line():
    body = b'{"version": 1,\n"version": 0,\n"routes": [], "services": []}'
    assert check(body).findings[0].line == 2


def test_a_document_without_contradictions_is_sound():
    body = documents.create_document({}, {"name": "b", "path-prefix": "/b/"})
    assert check(body) == report_lib.Report(7)


@pytest.mark.parametrize(
    ("route", "field", "text"),
    [
        ({"host": "h:80"}, "", "can never match"),
        ({"host": " h"}, "", "can never match"),
        ({"path-prefix": "orders/"}, "", "can never match"),
        ({"path-prefix": ""}, "", "can never match"),
        ({"path-prefix": "/" * 16_384}, "", "can never match"),
        ({"name": "first"}, "name", "an earlier one has its name"),
        ({"timeout-ms": 50}, "timeout_ms", "no time for an attempt"),
        ({"timeout-ms": 0.4}, "timeout_ms", "no time for an attempt"),
        ({"timeout-ms": 99}, "timeout_ms", "below one attempt, 100 ms"),
        ({"timeout-ms": 219}, "timeout_ms", "the objective of 220 ms"),
        ({"stretch": 0.5}, "stretch", "below the work of jobs over 120 ms"),
        (
            {"stretch": 1, "target-latency-ms": 0},
            "stretch",
            "no job any time beyond its work",
        ),
        ({"priority": 10}, "priority", "0.091 times the share of 'first'"),
    ],
)
def test_a_doubtful_queue_is_reported_with_its_line(route, field, text):
    first = {"name": "first", "path-prefix": "/first/"}
    body = documents.create_document(first, route)
    report = check(body, attempt_ms=100)
    (finding,) = report.findings
    assert (report.status, finding.field) == (Status.WARNINGS, field)
    assert text in finding.text
    assert finding.entry.number == 1
    offset = body.index(b"{", body.index(b"}"))
    assert finding.line == body.count(b"\n", 0, offset) + 1


@pytest.mark.parametrize("priority", [0, 2, 29])
def test_a_tenth_of_the_share_is_enough(priority):
    routes = (
        {"priority": 2},
        {"name": "b", "path-prefix": "/b/", "priority": priority},
    )
    assert check(documents.create_document(*routes)).status is Status.SOUND


def test_an_upstream_without_a_queue_is_reported():
    services = [{"name": "desk"}, {"name": "spare"}]
    (finding,) = check(documents.create_document(services=services)).findings
    assert (finding.entry.kind, finding.entry.name) == ("upstream", "spare")


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"max-header-bytes": 16_384, "max-body-bytes": 262_144}, []),
        ({"header-timeout-ms": 3000, "idle-timeout-ms": 15_000}, []),
        ({"max-body-bytes": 524_289}, ["max_body_bytes"]),
        ({"header-timeout-ms": 5001}, ["header_timeout_ms"]),
        ({"max-body-bytes": "many"}, [""]),
    ],
)
def test_limits_above_what_fronts_serve_are_reported(fields, expected):
    found = check(documents.create_document(limits=fields)).findings
    assert [finding.field for finding in found] == expected


# The decoder refuses equal addresses today; the check relies on the index.
def test_a_queue_whose_address_goes_to_another_one_is_hidden():
    queues = (
        content.Queue("a", "h", "/a/", "desk", 1000),
        content.Queue("b", "h", "/", "desk", 1000),
        content.Queue("c", "h", "/a/", "desk", 1000),
        content.Queue("d", "g", "/a/", "desk", 1000),
    )
    configuration = content.Configuration(1, queues)
    (finding,) = reach.HiddenQueues().find(configuration)
    assert finding.entry.name == "c"
    assert "hidden by 'a'" in finding.text


SHAPES = {
    "flat": [f"/{number}/" for number in range(3_500)],
    "nested": ["/" * size for size in range(1, 800)],
    "comb": ["/" * size for size in range(1, 350)]
    + ["/" * 350 + str(number) for number in range(700)],
}


# Failure: the work grows with the square of the number of queues, which takes
# over a second with the about 4,000 that a configuration has room for.
@pytest.mark.parametrize("prefixes", SHAPES.values(), ids=SHAPES.keys())
def test_the_work_of_a_large_document_is_bounded(prefixes, monkeypatch):
    compared = []

    class CountingIndex(content.QueueIndex):
        def __init__(self, configuration):
            compared.append(len(configuration.queues))
            super().__init__(configuration)

    monkeypatch.setattr(content, "QueueIndex", CountingIndex)
    routes = [{"name": p[-9:], "path-prefix": p} for p in prefixes]
    report = check(documents.create_document(*routes))
    assert report.status is not Status.REFUSED
    assert 0 < sum(compared) <= sum(map(len, prefixes)) + len(prefixes)


# Failure: a finding names a field that its document does not have.
def test_the_words_of_the_output_are_those_of_the_document():
    queue = content.Queue("q", "h", "/q/", "desk", 9, 8, 7, 6, 5.0)
    upstream = content.Upstream("desk", True)
    body = {
        "version": 1,
        _translate_plural("queue"): [_translate(queue, "unsupported")],
        _translate_plural("upstream"): [_translate(upstream)],
    }
    decoded = configuration_body.decode_configuration(json.dumps(body).encode())
    assert (decoded.queues, decoded.upstreams) == ((queue,), (upstream,))


def _translate_plural(kind):
    return f"{configuration_words.translate_kind(kind)}s"


def _translate(record, left_out=""):
    fields = record._asdict()
    fields.pop(left_out, None)
    word = configuration_words.translate_field
    return {word(field): value for field, value in fields.items()}


def test_a_queue_that_is_not_served_is_reported():
    queue = content.Queue("a", "h", "/a/", "desk", 1000, unsupported="x")
    configuration = content.Configuration(1, (queue,))
    (finding,) = reach.UnservedQueues().find(configuration)
    assert finding.field == "unsupported"
