"""The whole path through real processes, against stand-ins of our own."""

from __future__ import annotations

import asyncio
import json

import pytest

from tests import platform_fleet


@pytest.fixture
def play(tmp_path, worker_block):
    def run(scene):
        async def main():
            fleet = platform_fleet.open_fleet(tmp_path, worker_block)
            async with fleet as caller:
                await scene(caller)

        asyncio.run(main())

    return run


def _list_starts(caller):
    return [s for runner in caller.fleet.runners for s in runner.starts]


def test_serves_jobs_and_refuses_what_it_can_not_serve(play):
    async def scene(caller):
        # Before any configuration a job is refused, and never runs.
        status, _ = await caller.submit(3, "00000000000000aa")
        assert status == 503
        assert not _list_starts(caller)
        bad = {"routes": [], "services": [{"name": "a"}, {"name": "a"}]}
        assert (await caller.put(0, 1, **bad))[0] == 400
        assert (await caller.put(1, 3))[0] == 200
        await caller.wait_served()
        url = caller.fleet.control_url(2, "/api/config/get")
        status, found = await caller.call("GET", url)
        assert (status, found["version"]) == (200, 3)
        # An older version is acknowledged and changes nothing.
        assert (await caller.put(2, 2))[0] == 200
        assert (await caller.call("GET", url))[1]["version"] == 3
        assert await caller.submit(3, "00000000000000ab") == (
            200,
            {"state": "completed"},
        )
        durable = await caller.submit(
            1, "00000000000000ad", **{"best-effort": False}
        )
        assert durable[0] == 503
        front_url = caller.fleet.front_url
        job = "00000000000000ae"
        for method, path, expected in [
            ("POST", f"/unknown/{job}", 404),
            ("GET", "/unknown/", 404),
            ("GET", "/lohu/", 200),
            ("GET", f"/lohu/{job}", 410),
            ("DELETE", f"/lohu/{job}", 410),
        ]:
            body = {"spec": "", "steps": [{"task-count": 1}]}
            body |= {"best-effort": True}
            sent = body if method == "POST" else None
            status, _ = await caller.call(method, front_url(3, path), sent)
            assert status == expected, (method, path)
        status, _ = await caller.call(
            "POST", front_url(0, f"/lohu/{job}"), b"{"
        )
        assert status == 400
        starts = _list_starts(caller)
        assert len(set(starts)) == len(starts)
        assert not any(job in task for task, _ in starts)

    play(scene)


def test_every_process_serves_its_metrics(play):
    async def scene(caller):
        await caller.put(0, 1)
        await caller.wait_served()
        fleet = caller.fleet
        texts = []
        for process in (*fleet.fronts, *fleet.sides):
            status, text = await caller.call("GET", fleet.metrics_url(process))
            assert status == 200
            texts.append(text.decode())
        assert all('type="process.started"' in text for text in texts)
        assert any("skylarkcleat_jobs_total{" in text for text in texts)
        assert all("configuration_version 1" in text for text in texts[:4])

    play(scene)


def test_a_job_resent_to_another_front_runs_once(play):
    async def scene(caller):
        await caller.configure()
        for runner in caller.fleet.runners:
            runner.delay_s = 0.6
        job = "00000000000000ba"
        first = asyncio.create_task(caller.submit(0, job))
        await asyncio.sleep(0.2)
        second = await caller.submit(3, job)
        assert second == await first == (200, {"state": "completed"})
        tasks = [task for task, _ in _list_starts(caller) if job in task]
        assert sorted(tasks) == [f"{job}.0.0.0", f"{job}.0.0.1"]

    play(scene)


def test_a_draining_runner_gets_no_new_task(play):
    async def scene(caller):
        await caller.configure()
        leaving, staying = caller.fleet.runners
        leaving.state = "draining"
        while leaving.acknowledged[-1] != "draining":
            await asyncio.sleep(0.02)
        before = len(leaving.starts)
        for number in range(6):
            status, _ = await caller.submit(1, f"{0xCC00 + number:016x}")
            assert status == 200
        assert len(leaving.starts) == before
        assert len(staying.starts) >= 12

    play(scene)


def _find_owner(caller):
    """Returns the number of the front that became the owner last."""
    begun = [
        (json.loads(line)["timestamp"], number)
        for number, front in enumerate(caller.fleet.fronts)
        for line in front.log.read_text().splitlines()
        if '"owner:begun"' in line
    ]
    return max(begun)[1]


def test_jobs_are_served_while_every_front_with_a_disk_is_dark(play):
    async def scene(caller):
        await caller.configure()
        for front in caller.fleet.fronts[:3]:
            front.kill()
        for number in range(20):
            job = f"{0xDA40 + number:016x}"
            assert await caller.submit(3, job) == (200, {"state": "completed"})
        url = caller.fleet.control_url(3, "/api/config/get")
        assert (await caller.call("GET", url))[0] == 503

    play(scene)


def test_work_outlives_the_owner(play):
    async def scene(caller):
        await caller.configure()
        for runner in caller.fleet.runners:
            runner.delay_s = 1.5
        job = "00000000000000da"
        owner = _find_owner(caller)
        other = (owner + 1) % len(caller.fleet.fronts)
        running = asyncio.create_task(caller.submit(other, job, 2, 1500))
        await asyncio.sleep(0.3)
        caller.fleet.fronts[owner].kill()
        assert await running == (200, {"state": "completed"})
        tasks = [task for task, _ in _list_starts(caller) if job in task]
        assert sorted(tasks) == [f"{job}.0.0.0", f"{job}.0.0.1"]
        url = caller.fleet.control_url(other, "/api/config/get")
        assert (await caller.call("GET", url))[1]["version"] == 1

    play(scene)


def test_a_front_that_stops_cuts_no_request_short(play):
    async def scene(caller):
        await caller.configure()
        for runner in caller.fleet.runners:
            runner.delay_s = 1.0
        for number, front in enumerate(caller.fleet.fronts):
            job = f"{0xEE00 + number:016x}"
            running = asyncio.create_task(caller.submit(number, job))
            await asyncio.sleep(0.2)
            front.signal(platform_fleet.TERM)
            assert await running == (200, {"state": "completed"})
            assert front.wait() == 0
            front.start()
            await caller.wait_ready()

    play(scene)
