"""Orders of a job's tasks to one side process, in one message."""

from __future__ import annotations

from skylarkcleat.protocol import leasing
from skylarkcleat.scheduling import outbox
from skylarkcleat.scheduling import start_batches
from skylarkcleat.wire import session as session_lib

SIDE = session_lib.Endpoint("side-1", 1)
OTHER = session_lib.Endpoint("side-2", 1)
SPEC = "s" * 2400


def _start(task, peer=SIDE, spec=SPEC):
    order = leasing.Start(7, task, 1, spec, 6000, 64, 0)
    return outbox.Outgoing(peer, order)


def _list_orders(messages):
    orders = []
    for peer, message in messages:
        if isinstance(message, leasing.StartTasks):
            orders += [(peer, each) for each in message.list_orders()]
        else:
            orders.append((peer, message))
    return orders


# The specification went with each task: 1,500 starts a second of 2,400 bytes
# filled a link of 31 Mbit/s.
def test_a_specification_goes_once_to_each_side_process():
    sent = [_start("a"), _start("b", OTHER), _start("c"), _start("d")]
    merged = start_batches.merge_starts(sent)
    assert [peer for peer, _ in merged] == [SIDE, OTHER]
    assert sorted(_list_orders(merged)) == sorted(
        (peer, order) for peer, order in sent
    )


def test_orders_of_other_jobs_stay_apart():
    sent = [_start("a"), _start("b", spec="other"), _start("c", spec="other")]
    assert _list_orders(start_batches.merge_starts(sent)) == sent


# A task would start before the run that it replaces was told to stop.
def test_no_order_overtakes_a_message_to_its_side_process():
    stop = outbox.Outgoing(SIDE, leasing.Stop(7, "b", 1))
    sent = [_start("a"), stop, _start("b")]
    assert start_batches.merge_starts(sent) == sent
