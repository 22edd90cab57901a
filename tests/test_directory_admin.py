"""Tests the admin API of two replicas over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib

import pytest
from aiohttp import test_utils

from skylarkcleat.consensus import log as log_lib
from skylarkcleat.directory import admin
from skylarkcleat.directory import admin_access
from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import options as options_lib
from skylarkcleat.directory import server as server_lib
from tests import directory_support as support

OPERATORS = tuple(
    options_lib.Operator(
        name, hashlib.sha256(f"token-{name}".encode()).hexdigest()
    )
    for name in ("ada", "ben")
)
ORDERS = "/v1/admin/profiles/orders"
BODY = {"upstreams": ["wicks"], "urgency": 7}


def sign(operator="ada", key="", **headers):
    signed = {"Authorization": f"Bearer token-{operator}"}
    if key:
        signed["Idempotency-Key"] = key
    for name, value in headers.items():
        signed[name.replace("_", "-")] = value
    return signed


def create(operator="ada", key="", **headers):
    return sign(operator, key, If_None_Match="*", **headers)


class Site:
    """Two replicas' admin APIs; the second forwards changes to the first."""

    def __init__(self):
        self.directories = [directory_lib.Directory() for _ in range(2)]
        self.cluster = support.Cluster(*self.directories)
        self.clients = []

    async def start(self, stack):
        peers = ()
        for replica, directory in zip(
            self.cluster.replicas, self.directories, strict=True
        ):
            options = options_lib.ControlOptions(
                replica.name,
                "tcp://127.0.0.1:*",
                peers=peers,
                operators=OPERATORS,
            )
            server = await stack.enter_async_context(
                server_lib.create_control_server(options, replica, directory)
            )
            app = admin.create_admin_app(options, replica, directory, server)
            client = await stack.enter_async_context(
                test_utils.TestClient(test_utils.TestServer(app))
            )
            self.clients.append(client)
            url = str(client.make_url("/"))
            peers = (
                options_lib.ControlPeer(replica.name, server.address, url),
            )


@pytest.fixture
def run():
    def run_with_site(body):
        async def main():
            async with contextlib.AsyncExitStack() as stack:
                site = Site()
                await site.start(stack)
                await body(site, site.clients[0])

        asyncio.run(main())

    return run_with_site


async def read_problem(response, status):
    assert response.status == status
    assert response.content_type == "application/problem+json"
    problem = await response.json(content_type=None)
    assert problem["status"] == status
    return problem


def test_an_operator_creates_reads_replaces_and_removes_a_profile(run):
    async def body(site, client):
        created = await client.put(ORDERS, json=BODY, headers=create())
        assert created.status == 200
        assert created.headers["ETag"] == '"1"'
        shown = await client.get(ORDERS, headers=sign())
        assert await shown.json() == await created.json()
        assert (await shown.json())["urgency"] == 7
        replaced = await client.put(
            ORDERS, json=BODY, headers=sign(If_Match='"1"')
        )
        assert replaced.headers["ETag"] == '"2"'
        listed = await client.get("/v1/admin/profiles", headers=sign())
        assert [p["version"] for p in (await listed.json())["profiles"]] == [2]
        removed = await client.delete(ORDERS, headers=sign(If_Match='"2"'))
        assert removed.status == 200
        gone = await client.get(ORDERS, headers=sign())
        await read_problem(gone, 404)

    run(body)


def test_a_losing_concurrent_change_reports_the_winning_one(run):
    async def body(site, client):
        await client.put(ORDERS, json=BODY, headers=create(X_Reason="flood"))
        lost = await client.put(ORDERS, json=BODY, headers=create("ben"))
        problem = await read_problem(lost, 412)
        assert lost.headers["ETag"] == '"1"'
        assert problem["won"]["operator"] == "ada"
        assert problem["won"]["reason"] == "flood"
        assert problem["won"]["profile"]["urgency"] == 7

    run(body)


def test_a_resend_through_a_follower_returns_the_first_answer(run):
    async def body(site, client):
        first = await client.put(ORDERS, json=BODY, headers=create(key="k"))
        again = await site.clients[1].put(
            ORDERS, json=BODY, headers=create(key="k")
        )
        assert again.status == 200
        assert again.headers["ETag"] == '"1"'
        assert await again.read() == await first.read()

    run(body)


def test_a_follower_forwards_conflicts_and_refusals(run):
    async def body(site, client):
        await client.put(ORDERS, json=BODY, headers=create())
        follower = site.clients[1]
        await read_problem(
            await follower.put(ORDERS, json=BODY, headers=create("ben")), 412
        )
        await read_problem(await follower.put(ORDERS, json=BODY), 401)

    run(body)


def test_a_follower_reports_an_unreachable_leader(run):
    async def body(site, client):
        await client.close()
        answer = await site.clients[1].put(ORDERS, json=BODY, headers=create())
        problem = await read_problem(answer, 503)
        assert "control-1" in problem["detail"]
        assert answer.headers["Retry-After"] == "1"

    run(body)


@pytest.mark.parametrize(
    ("headers", "detail"),
    [
        ({"X_Forwarded_By": "control-3"}, "control-2 does not lead any more"),
        ({}, "leader 'control-9' is not in the settings"),
    ],
)
def test_a_change_is_forwarded_once_and_only_to_a_known_leader(
    run, headers, detail
):
    async def body(site, client):
        site.cluster.leader = "control-1" if headers else "control-9"
        answer = await site.clients[1].put(
            ORDERS, json=BODY, headers=create(**headers)
        )
        problem = await read_problem(answer, 503)
        assert problem["detail"] == detail

    run(body)


def test_a_request_key_of_another_change_is_refused(run):
    async def body(site, client):
        await client.put(ORDERS, json=BODY, headers=create(key="k"))
        answer = await client.put(
            ORDERS, json={"upstreams": ["poles"]}, headers=create(key="k")
        )
        problem = await read_problem(answer, 422)
        assert "'k' was used for another change" in problem["detail"]

    run(body)


@pytest.mark.parametrize("token", [None, "Bearer wrong", "Basic token-ada"])
def test_a_change_without_a_token_is_refused_and_recorded(run, token):
    async def body(site, client):
        headers = {"Authorization": token} if token else {}
        await read_problem(
            await client.put(ORDERS, json=BODY, headers=headers), 401
        )
        assert not site.directories[0].view.profiles
        history = await client.get("/v1/admin/history", headers=sign())
        (entry,) = (await history.json())["entries"]
        assert entry["verb"] == "refused"
        assert entry["subject"] == "profile orders"
        assert entry["operator"] == "127.0.0.1"

    run(body)


def test_reads_need_a_token(run):
    async def body(site, client):
        for path in ("profiles", "history", "members", "status"):
            await read_problem(await client.get(f"/v1/admin/{path}"), 401)

    run(body)


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({}, 428),
        ({"If_Match": "1"}, 400),
        ({"If_Match": '"1", "2"'}, 400),
        ({"If_Match": "*"}, 400),
        ({"If_None_Match": "*", "X_Reason": "r" * 501}, 400),
        ({"If_None_Match": "*", "key": "k" * 129}, 400),
    ],
)
def test_a_change_requires_a_valid_precondition(run, headers, status):
    async def body(site, client):
        answer = await client.put(ORDERS, json=BODY, headers=sign(**headers))
        await read_problem(answer, status)
        assert not site.directories[0].view.profiles

    run(body)


def test_all_invalid_keys_of_a_body_are_reported_together(run):
    wrong = {
        "upstreams": ["wicks", "NO SUCH"],
        "urgency": 10,
        "idempotent": "yes",
        "weight": 0,
        "deadline_ms": 1.5,
        "max_attempts": 11,
        "team": "",
        "version": 3,
        "colour": "red",
    }

    async def body(site, client):
        answer = await client.put(ORDERS, json=wrong, headers=create())
        problem = await read_problem(answer, 422)
        named = {fault["key"] for fault in problem["errors"]}
        assert named == {"upstreams.1", *wrong} - {"upstreams"}

    run(body)


@pytest.mark.parametrize(
    "data", [b"", b"{", b"[]", b"null", b"{}", b"\xff", b'{"upstreams": []}']
)
def test_a_malformed_body_is_refused(run, data):
    async def body(site, client):
        answer = await client.put(ORDERS, data=data, headers=create())
        problem = await read_problem(answer, 422)
        assert problem["errors"]

    run(body)


def test_oversize_bodies_invalid_names_and_unknown_paths_are_refused(run):
    async def body(site, client):
        huge = b" " * (admin.MAX_BODY_BYTES + 1)
        answer = await client.put(ORDERS, data=huge, headers=create())
        await read_problem(answer, 413)
        odd = "/v1/admin/profiles/Or%20ders"
        answer = await client.put(odd, json=BODY, headers=create())
        await read_problem(answer, 400)
        await read_problem(await client.get("/v1/nothing"), 404)
        await read_problem(await client.post(ORDERS), 405)

    run(body)


def test_an_operator_drains_a_member(run):
    async def body(site, client):
        support.announce(site.directories[0], support.make_agent("agent-1"))
        path = "/v1/admin/members/agent-1/drain"
        answer = await client.post(path, headers=sign(X_Reason="new disk"))
        assert answer.status == 200
        members = await client.get("/v1/admin/members", headers=sign())
        (member,) = (await members.json())["members"]
        assert member["state"] == "leaving"
        await read_problem(
            await client.post(path.replace("-1", "-2"), headers=sign()), 404
        )

    run(body)


def test_history_of_one_profile_newest_first(run):
    async def body(site, client):
        for name in ("orders", "checks"):
            path = f"/v1/admin/profiles/{name}"
            await client.put(path, json=BODY, headers=create())
        await client.put(ORDERS, json=BODY, headers=sign("ben", If_Match='"1"'))
        path = "/v1/admin/history?profile=orders&limit="
        answer = await client.get(f"{path}2", headers=sign())
        entries = (await answer.json())["entries"]
        assert [entry["operator"] for entry in entries] == ["ben", "ada"]
        for limit in ("0", "x", "1001", "-1"):
            answer = await client.get(path + limit, headers=sign())
            await read_problem(answer, 400)

    run(body)


def test_a_replica_without_a_majority_answers_no_reads_and_no_changes(run):
    async def body(site, client):
        for replica in site.cluster.replicas:
            replica.cut = True
        await read_problem(await client.get(ORDERS, headers=sign()), 503)
        answer = await client.put(ORDERS, json=BODY, headers=create())
        await read_problem(answer, 503)
        assert (await client.get("/livez")).status == 200
        status = await client.get("/v1/admin/status", headers=sign())
        assert (await status.json())["leader"] == ""

    run(body)


def test_a_change_of_uncertain_outcome_asks_for_a_resend(run, monkeypatch):
    async def propose_uncertain(log, command):
        return log_lib.Uncertain("not committed within 3 s")

    async def body(site, client):
        monkeypatch.setattr(support.MemoryLog, "propose", propose_uncertain)
        answer = await client.put(ORDERS, json=BODY, headers=create())
        problem = await read_problem(answer, 504)
        assert "same Idempotency-Key" in problem["detail"]

    run(body)


def test_probes_and_metrics_need_no_token(run):
    async def body(site, client):
        assert (await client.get("/livez")).status == 200
        while (await client.get("/readyz")).status != 200:
            await asyncio.sleep(0.01)
        text = await (await client.get("/metrics")).text()
        assert "skylarkcleat_directory_leads 1" in text
        assert "skylarkcleat_directory_revision 1" in text

    run(body)


def test_recording_of_refused_tokens_is_rate_limited():
    limiter = admin_access.RefusalRateLimiter(per_s=1.0, burst=2)
    assert [limiter.try_acquire(0.0) for _ in range(3)] == [True, True, False]
    assert [limiter.try_acquire(1.0) for _ in range(2)] == [True, False]
    assert [limiter.try_acquire(9.0) for _ in range(3)] == [True, True, False]
