"""What went wrong for operators of similar systems does not happen here.

Each test is named after one report. Reports that concern several processes are
played in `ownership_world` and in the soak as well.
"""

from __future__ import annotations

import asyncio
import types

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from skylarkcleat.configuration import content
from skylarkcleat.configuration import record
from skylarkcleat.configuration import store as store_lib
from skylarkcleat.consensus import codec as consensus_codec
from skylarkcleat.front import log_service
from skylarkcleat.front import message_receiver
from skylarkcleat.front import process as front_process
from skylarkcleat.front import requests as requests_lib
from skylarkcleat.platform import daemon
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import follower_leases
from skylarkcleat.scheduling import lease
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.scheduling import predecessor
from skylarkcleat.side import process as side_process
from skylarkcleat.wire import codec
from skylarkcleat.wire import event as event_lib
from skylarkcleat.wire import frame as frame_lib
from skylarkcleat.wire import hub as hub_lib
from skylarkcleat.wire import session as session_lib
from skylarkcleat.wire import stamper

QUEUE = content.Queue("q", "h", "/p/", "desk", 1500, 60, 0, 2, 1.6)
FRONT = session_lib.Endpoint("front", 1)
SIDE = session_lib.Endpoint("side-1", 1)
JOB = "5c0e7a21d94b36f8"
RUNNER = leasing.Runner("i-1", 1, "desk", 8000, 1024, 0, ("a",), False)


@pytest.fixture
def owner():
    owner = owner_lib.Owner(
        session_lib.Endpoint("owner", 1), predecessor.Predecessor(), 0.0
    )
    owner.followers.record_reply(FRONT, 1e9)
    return owner


def _register(owner, epoch, runner=RUNNER, now=0.0):
    owner.register(
        SIDE, leasing.Register("side-1", "z", epoch, runner, now), now
    )
    owner.workers["side-1"].open_at = now
    owner.handle_side_report("side-1", reporting.Report(epoch, (), ()), now)


def _submit(owner, now, request=1):
    step = scheduling.Step(1, 1000, 64, 0, 100)
    job = scheduling.Job(JOB, "spec", (step,))
    owner.submit(
        FRONT,
        scheduling.Submit(request, "h", "/p/", job, 0, 5000, 1),
        QUEUE,
        now,
    )
    owner.place(now)


def _take(owner, kind):
    return [
        each.message
        for each in owner.outbox.take()
        if isinstance(each.message, kind)
    ]


def test_work_of_a_side_that_is_only_slow_to_report_is_left_alone(owner):
    _register(owner, 1)
    _submit(owner, 0.1)
    assert len(_take(owner, leasing.Start)) == 1
    now = 0.1
    while now < lease.SIDE_LEASE_S - 0.02:
        now += 0.02
        owner.tick(now)
        owner.place(now)
    owner.renew(SIDE, leasing.Renew(1, now, None), now)
    owner.tick(now + 0.5)
    orders = _take(owner, leasing.Start | leasing.Stop)
    assert not orders


def test_a_paused_owner_orders_nothing_under_leases_that_ran_out(owner):
    _register(owner, 1)
    _submit(owner, 5.0)
    assert not _take(owner, leasing.Start)


def test_a_runner_that_left_is_not_used_again_after_its_side_restarts(owner):
    _register(owner, 1, RUNNER._replace(draining=True))
    _register(owner, 2, RUNNER, now=1.0)
    _submit(owner, 1.1)
    assert not _take(owner, leasing.Start)
    owner.renew(SIDE, leasing.Renew(2, 1.2, RUNNER), 1.2)
    owner.place(1.2)
    assert not _take(owner, leasing.Start)
    _register(owner, 3, RUNNER._replace(born_ms=2), now=1.3)
    owner.place(1.3)
    assert len(_take(owner, leasing.Start)) == 1


# A side process that restarts registers before it has heard its runner, and may
# then hear an old heartbeat first: the drain was forgotten meanwhile.
def test_a_drain_is_remembered_while_a_side_has_not_heard_its_runner(owner):
    _register(owner, 1, RUNNER._replace(draining=True))
    _register(owner, 2, None, now=1.0)
    _register(owner, 3, None, now=1.1)
    owner.renew(SIDE, leasing.Renew(3, 1.2, RUNNER), 1.2)
    _submit(owner, 1.3)
    assert not _take(owner, leasing.Start)
    owner.renew(SIDE, leasing.Renew(3, 1.4, RUNNER._replace(born_ms=2)), 1.4)
    owner.place(1.4)
    assert len(_take(owner, leasing.Start)) == 1


def test_a_front_whose_clock_was_set_back_before_its_restart_is_followed():
    local = session_lib.Endpoint("owner", 1)
    leases = follower_leases.FollowerLeases(local, (), 0.0)
    leases.record_reply(session_lib.Endpoint("front", 9000), 1.0)
    restarted = session_lib.Endpoint("front", 7000)
    leases.record_reply(restarted, 2.0)
    assert leases.is_following(restarted, 2.1)
    leases.record_reply(session_lib.Endpoint("front", 9000), 1.5)
    assert leases.is_following(restarted, 2.1)


def test_a_process_whose_clock_was_set_back_is_heard_after_its_restart():
    async def run():
        async with _create_hub("owner", 1) as owner:
            async with _create_hub("side", 9000, bind="") as first:
                await _say(first, owner)
            await asyncio.sleep(1.1)
            async with _create_hub("side", 7000, bind="") as second:
                await asyncio.wait_for(_say(second, owner), 3.0)

    asyncio.run(run())


def _create_hub(name, incarnation, bind="tcp://127.0.0.1:0"):
    return hub_lib.create_hub(
        session_lib.Endpoint(name, incarnation),
        bind,
        [scheduling.Abandon],
        stamper.NullStamper(),
    )


async def _say(sender, receiver):
    """Sends a message and waits until the other hub has it."""
    while True:
        sender.send_any(
            receiver.local.name, receiver.address, scheduling.Abandon(1)
        )
        try:
            event = await asyncio.wait_for(receiver.events.get(), 0.2)
        except TimeoutError:
            continue
        if isinstance(event, event_lib.Received) and (
            event.peer == sender.local
        ):
            return


def test_work_that_ran_is_not_run_again_after_its_answer_was_lost(owner):
    _register(owner, 1)
    _submit(owner, 0.1)
    start = _take(owner, leasing.Start)[0]
    end = leasing.End(1, start.task, start.run, leasing.Ending.DONE)
    owner.handle_side_report("side-1", reporting.Ended(1, (end,)), 0.2)
    _take(owner, scheduling.Reply)
    owner.renew(SIDE, leasing.Renew(1, 1.5, None), 1.5)
    _submit(owner, 1.5, request=2)
    sent = owner.outbox.take()
    verdicts = [
        each.message.verdict
        for each in sent
        if isinstance(each.message, scheduling.Reply)
    ]
    assert verdicts == [scheduling.Verdict.COMPLETED]
    assert not any(isinstance(e.message, leasing.Start) for e in sent)


@pytest.mark.parametrize("bad", [b"", b"\xc1", b"\x91" * 3000, b"x" * 2000000])
def test_an_unreadable_record_does_not_end_the_replicas(bad):
    store = store_lib.Store()
    store.apply(1, bad)
    store.apply(2, record.CODEC.encode(record.Replace(7, bad[:900000])))
    good = content.Configuration(8)
    store.apply(3, record.CODEC.encode(record.Replace(8, content.encode(good))))
    assert store.configuration == good


def test_an_unreadable_configuration_is_refused_before_it_is_stored():
    sent = []
    log = types.SimpleNamespace(is_leading=True)
    service = log_service.LogService(
        store_lib.Store(), log, lambda _, message: sent.append(message)
    )
    service.receive(FRONT, scheduling.PutConfiguration(5, 9, b"\xc1"))
    assert [(m.request, m.verdict) for m in sent] == [
        (5, scheduling.Verdict.INVALID)
    ]


def test_a_configuration_that_the_log_has_no_room_for_is_refused():
    queues = tuple(QUEUE._replace(name=f"q{n}" * 20) for n in range(20_000))
    with pytest.raises(content.ContentError):
        content.encode(content.Configuration(1, queues))


@given(body=st.binary(max_size=60))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_no_bytes_make_a_decoder_raise_another_error(body):
    known = codec.Codec(daemon.MESSAGES)
    for kind in daemon.MESSAGES:
        try:
            known.decode(codec.find_wire_name(kind), body)
        except codec.UnknownMessageError:
            continue
    with pytest.raises(frame_lib.MalformedFrameError):
        frame_lib.decode_frame(body)
    with pytest.raises(consensus_codec.DecodeError):
        consensus_codec.decode(body)


def _decode_odd_fields():
    """Returns a message of each type, every field of it a wrong value."""
    for kind in daemon.MESSAGES:
        yield msgspec.msgpack.encode([{}] * len(kind._fields)), kind


def test_a_message_of_another_shape_is_refused():
    known = codec.Codec(daemon.MESSAGES)
    for body, kind in _decode_odd_fields():
        with pytest.raises(codec.UnknownMessageError):
            known.decode(codec.find_wire_name(kind), body)


def _fail(*_):
    raise ZeroDivisionError("odd")


def test_an_error_in_a_handler_does_not_end_a_front(monkeypatch):
    receiver = object.__new__(message_receiver.MessageReceiver)
    handled = []
    monkeypatch.setattr(
        receiver, "_handle_event", lambda e: handled.append(e) or _fail()
    )
    receiver._ownership = types.SimpleNamespace(
        has_intake=False, take_up=_fail, place_and_send=_fail
    )
    _receive_two(receiver, handled, receiver.run)


# A front that stopped ended at once, with its callers unanswered.
def test_an_error_of_a_handover_does_not_end_a_front_that_stops():
    front = object.__new__(front_process.FrontProcess)
    front._election_task = types.SimpleNamespace(resign=_fail)
    front._peer_discovery = types.SimpleNamespace(announce_stop=_fail)
    front._settings = types.SimpleNamespace(
        bounds=types.SimpleNamespace(grace_s=0.1)
    )
    front._log = None
    front._job_requests = requests_lib.Requests(
        None, requests_lib.create_numbers()
    )
    front._log_requests = front._job_requests
    asyncio.run(front.drain())


def test_an_error_in_a_handler_does_not_end_a_side_process(monkeypatch):
    side = object.__new__(side_process.SideProcess)
    handled = []
    monkeypatch.setattr(
        side, "_receive", lambda *each: handled.append(each) or _fail()
    )
    _receive_two(side, handled, side._receive_events)


def _receive_two(receiver, handled, receive):
    """Lets a process receive two events; the first must not end its loop."""

    async def run():
        receiver._hub = types.SimpleNamespace(events=asyncio.Queue())
        task = asyncio.create_task(receive())
        for _ in range(2):
            event = event_lib.Received(SIDE, scheduling.Abandon(1))
            receiver._hub.events.put_nowait(event)
            await asyncio.sleep(0.01)
        assert not task.done()
        task.cancel()

    asyncio.run(run())
    assert len(handled) == 2
