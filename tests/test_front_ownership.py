"""Which jobs an owner takes after their queue was removed."""

from __future__ import annotations

import pytest

from skylarkcleat.configuration import content
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import ownership as ownership_lib
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import predecessor
from skylarkcleat.wire import session as session_lib

LOCAL = session_lib.Endpoint("front-1", 1)
FRONT = session_lib.Endpoint("front-2", 1)
QUEUE = content.Queue("q", "h", "/p/", "desk", 1500, 60, 0, 2, 1.6)
JOB = scheduling.Job(
    "5c0e7a21d94b36f8", "spec", (scheduling.Step(1, 1000, 64, 0, 100),)
)
TERM = 7


@pytest.fixture
def sent():
    return []


@pytest.fixture
def cache():
    made = configuration_cache_lib.ConfigurationCache(None)
    made.update(content.Configuration(1, (QUEUE,)))
    return made


@pytest.fixture
def ownership(cache, sent):
    made = ownership_lib.Ownership(
        LOCAL, cache, lambda _, message: sent.append(message)
    )
    made.begin(TERM, predecessor.Predecessor())
    return made


def submit(ownership, request, previous_term=0, queue=None):
    message = scheduling.Submit(
        request, "h", "/p/", JOB, 0, 5000, TERM, previous_term, queue=queue
    )
    ownership.receive(FRONT, message)


def list_verdicts(sent):
    return [m.verdict for m in sent if isinstance(m, scheduling.Reply)]


def test_a_job_of_a_removed_queue_is_taken_over_from_the_owner_before(
    ownership, cache, sent
):
    cache.update(content.Configuration(2))
    submit(ownership, 1, previous_term=3, queue=QUEUE)
    assert list_verdicts(sent) == []
    submit(ownership, 2)
    assert list_verdicts(sent) == []


def test_a_new_job_of_a_removed_queue_is_refused(ownership, cache, sent):
    cache.update(content.Configuration(2))
    submit(ownership, 1)
    assert list_verdicts(sent) == [scheduling.Verdict.UNKNOWN_QUEUE]


# A caller that sends again after a lost answer was told 404 of a job that runs.
def test_a_job_that_runs_is_known_after_its_queue_was_removed(
    ownership, cache, sent
):
    submit(ownership, 1)
    cache.update(content.Configuration(2))
    submit(ownership, 2)
    assert list_verdicts(sent) == []
