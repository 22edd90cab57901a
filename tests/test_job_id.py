from __future__ import annotations

import pytest

from skylarkcleat.model import job_id

NOW_MS = 1_764_800_000_123


def test_contains_its_creation_time():
    created = job_id.create_job_id(NOW_MS)
    assert job_id.parse_job_id(created.text) == created
    assert created.time_ms == NOW_MS


def test_two_created_at_the_same_time_differ():
    assert job_id.create_job_id(NOW_MS) != job_id.create_job_id(NOW_MS)


@pytest.mark.parametrize(
    "text",
    ["", "42", "0" * 32, "{01936d2e-0000-7000-8000-000000000000}", "é" * 36],
)
def test_rejects_another_form(text):
    with pytest.raises(job_id.InvalidJobIdError, match="is not a UUID"):
        job_id.parse_job_id(text)


def test_error_names_the_version_of_another_uuid():
    with pytest.raises(job_id.InvalidJobIdError, match="version 4"):
        job_id.parse_job_id("7d444840-9dc0-41d1-b245-5ffdce74fad2")
