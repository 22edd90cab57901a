from __future__ import annotations

import asyncio

import pytest

from skylarkcleat.front import requests as requests_lib
from skylarkcleat.protocol import scheduling


class Owner(requests_lib.Target):
    """What a front sends to, and whether there is an owner at all."""

    def __init__(self):
        self.term = 1
        self.sent = []

    def find_term(self):
        return self.term

    def find_lapse(self, former_term):
        return 0.5 if former_term != self.term else 0.0

    def send(self, message):
        self.sent.append(message)


def _build(passage):
    path = f"/{passage.former_term}/{passage.lapse_s}/{passage.older_lapse_s}"
    return scheduling.JobRequest(
        passage.number, "h", path, "", False, passage.term
    )


def _create(owner):
    return requests_lib.Requests(owner, requests_lib.create_numbers())


def _reply(verdict):
    return scheduling.Reply(1, verdict)


def _play(scene, owner=None, useless_s=0.2):
    async def main():
        target = owner or Owner()
        requests = _create(target)
        work = requests.call(_build, 0.3, 0.1, useless_s)
        call = asyncio.create_task(work)
        await asyncio.sleep(0)
        await scene(target, requests)
        return (await call).verdict

    return asyncio.run(main())


@pytest.mark.parametrize(
    "verdict",
    [
        scheduling.Verdict.COMPLETED,
        scheduling.Verdict.NOT_RUN,
        scheduling.Verdict.UNKNOWN_QUEUE,
    ],
)
def test_hands_on_the_owners_reply(verdict):
    async def scene(owner, requests):
        requests.take_reply(_reply(verdict))

    assert _play(scene) is verdict


def test_a_refusal_after_a_second_owner_is_uncertain():
    async def scene(owner, requests):
        owner.term = 2
        requests.send_again()
        owner.term = 3
        requests.send_again()
        paths = ["/0/0.0/0.0", "/1/0.5/0.0", "/2/0.5/0.5"]
        assert [m.path for m in owner.sent] == paths
        assert [m.term for m in owner.sent] == [1, 2, 3]
        requests.take_reply(_reply(scheduling.Verdict.NOT_RUN))

    assert _play(scene) is scheduling.Verdict.UNCERTAIN


def test_what_was_never_sent_has_not_run():
    async def main():
        owner = Owner()
        owner.term = 0
        requests = _create(owner)
        return await requests.call(_build, 0.3, 0.05, 0.2)

    assert asyncio.run(main()).verdict is scheduling.Verdict.NOT_RUN


@pytest.mark.parametrize("close", [False, True])
def test_what_was_sent_and_got_no_reply_is_uncertain(close):
    async def scene(owner, requests):
        if close:
            requests.close()

    assert _play(scene) is scheduling.Verdict.UNCERTAIN


def test_one_that_does_not_own_the_jobs_is_not_believed():
    async def scene(owner, requests):
        requests.take_reply(_reply(scheduling.Verdict.NOT_OWNER))
        requests.send_again()
        requests.take_reply(_reply(scheduling.Verdict.COMPLETED))

    assert _play(scene) is scheduling.Verdict.COMPLETED


def test_the_owner_is_told_of_a_caller_that_leaves():
    async def main():
        owner = Owner()
        requests = _create(owner)
        call = asyncio.create_task(requests.call(_build, 5, 5, 5))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        assert owner.sent[-1] == scheduling.Abandon(1)
        assert len(requests) == 0

    asyncio.run(main())


@pytest.mark.parametrize("verdict", ["completed", "uncertain", None])
def test_a_second_owner_is_told_that_its_answer_is_not_waited_for(verdict):
    async def scene(owner, requests):
        owner.term = 2
        requests.send_again()
        if verdict is None:
            requests.give_up()
        else:
            requests.take_reply(_reply(scheduling.Verdict(verdict)))

    owner = Owner()
    _play(scene, owner, useless_s=0.0)
    assert owner.sent[-1] == scheduling.Abandon(1)


def test_an_owner_that_has_answered_hears_no_more():
    async def scene(owner, requests):
        requests.take_reply(_reply(scheduling.Verdict.COMPLETED))
        await asyncio.sleep(0.01)
        assert len(owner.sent) == 1

    assert _play(scene) is scheduling.Verdict.COMPLETED
