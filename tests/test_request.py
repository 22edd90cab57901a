from __future__ import annotations

import pytest

from skylarkcleat.entry import request


def test_payloads_keep_their_exact_bytes():
    work = request.parse_job(b'{"profile":"p","tasks":[{"a": 1.50}, null]}')
    assert work.payloads == (b'{"a": 1.50}', b"null")


def test_parses_declared_sizes():
    work = request.parse_job(b'{"profile":"p","tasks":[1,2],"sizes_ms":[50,0]}')
    assert work.sizes_ms == (50, 0)


def test_parses_a_single_request():
    work = request.parse_request(b'{"profile":"p","task":[1],"deadline_ms":9}')
    assert work == request.Work("p", (b"[1]",), 9, single=True)


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "the body is not a JSON object"),
        (b"[]", "the body is not a JSON object"),
        (b'{"profile": "\xff", "tasks": [1]}', "malformed"),
        (b'{"tasks":[1]}', "no 'profile'"),
        (b'{"profile":"p"}', "no 'tasks'"),
        (b'{"profile":"p","tasks":[]}', "holds 0 tasks"),
        (b'{"profile":"p","tasks":[%s]}' % (b"1," * 480 + b"1"), "481 tasks"),
        (b'{"profile":"p","tasks":{}}', "'tasks' is malformed"),
        (b'{"profile":7,"tasks":[1]}', "'profile' is malformed"),
        (b'{"profile":"p","tasks":[1],"deadline_ms":0}', "'deadline_ms'"),
        (b'{"profile":"p","tasks":[1],"deadline_ms":1e9}', "'deadline_ms'"),
        (b'{"profile":"p","tasks":[1],"sizes_ms":[1,2]}', "2 sizes for 1"),
        (b'{"profile":"p","tasks":[1],"sizes_ms":[-1]}', "'sizes_ms'"),
        (b'{"profile":"p","tasks":[1],"dedline":5}', r"keys \['dedline'\]"),
    ],
)
def test_error_names_the_field_and_the_reason(body, message):
    with pytest.raises(request.InvalidBodyError, match=message):
        request.parse_job(body)
