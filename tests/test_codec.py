from __future__ import annotations

import typing as t

import pytest

from skylarkcleat.model import cause as cause_lib
from skylarkcleat.model import failure as failure_lib
from skylarkcleat.platform import daemon as platform_daemon
from skylarkcleat.protocol import diagnostics
from skylarkcleat.protocol import dispatching
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import locating
from skylarkcleat.protocol import owning
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.wire import codec as codec_lib
from skylarkcleat.wire import messages

ATTEMPT = dispatching.Attempt("job", 0, 1, 1)
FAILURE = failure_lib.Failure(
    failure_lib.Outcome.FAILED, cause_lib.Cause.RUNNER_ERROR, "run", "", ""
)
LOAD = dispatching.Load(0, 0, 0)
SENT_UNDER_OTHER_NAME: dict[str, t.Any] = {
    "Ask": scheduling.JobRequest(1, "h", "/p/", "", False, 1),
    "Beat": owning.OwnerHeartbeat(1, (), 0.5, 0, 1),
    "BeatReply": owning.OwnerHeartbeatReply(1, 0.5),
    "Breakdown": dispatching.AttemptFailure(ATTEMPT, FAILURE, 1.0, LOAD),
    "EventsFound": diagnostics.EventPage(1, "entry", (), 0, 0, True),
    "EventsWanted": diagnostics.EventQuery(1),
    "Hello": locating.ViewRequest(None),
    "IncidentsFound": diagnostics.IncidentPage(1, b"", 0, True),
    "IncidentsWanted": diagnostics.IncidentQuery(1),
    "Keep": leasing.Adopt(1, "task", 1),
    "Moved": owning.OwnershipMoved("10.0.0.1", 1),
    "Noted": leasing.EndsAcknowledged(1, 1),
    "RunnerSilent": reporting.RunnerUnresponsive(1, True),
    "Sides": owning.SideNames(1, ("side-1",)),
}
MESSAGE_TYPES = (*messages.MESSAGES, *platform_daemon.MESSAGES)
WIRE_NAMES = {
    "Abandon",
    "Answer",
    "Ask",
    "Beat",
    "BeatReply",
    "Breakdown",
    "Collect",
    "Collected",
    "Decided",
    "Dispatch",
    "Ended",
    "EventsFound",
    "EventsWanted",
    "Fence",
    "FenceReport",
    "FetchConfiguration",
    "FetchEvacuations",
    "GiveConfiguration",
    "GiveEvacuations",
    "Grant",
    "Handover",
    "Hello",
    "IncidentAck",
    "IncidentReport",
    "IncidentsFound",
    "IncidentsWanted",
    "Install",
    "Installed",
    "Join",
    "JoinAnswers",
    "JoinFailure",
    "JoinPending",
    "JoinUnknown",
    "Keep",
    "Moved",
    "NotStarted",
    "Noted",
    "OwnerFound",
    "ProposalRefused",
    "Propose",
    "PutConfiguration",
    "PutEvacuation",
    "ReadConfiguration",
    "ReadEvacuations",
    "Redirect",
    "Refusal",
    "Register",
    "Renew",
    "Renewed",
    "Replicate",
    "Replicated",
    "Reply",
    "Report",
    "Resubmit",
    "Revoke",
    "Revoked",
    "RunnerLost",
    "RunnerSilent",
    "SideNamesConfirmed",
    "Sides",
    "Start",
    "StartTasks",
    "Stop",
    "Submit",
    "Unregistered",
    "View",
}


@pytest.mark.parametrize("name", sorted(SENT_UNDER_OTHER_NAME))
def test_a_renamed_class_is_sent_under_its_first_name(name):
    message = SENT_UNDER_OTHER_NAME[name]
    codec = codec_lib.Codec([type(message)])
    kind, body = codec.encode(message)
    assert kind == name
    assert codec.decode(name, body) == message


def test_no_other_class_is_sent_under_another_name():
    renamed = {type(message) for message in SENT_UNDER_OTHER_NAME.values()}
    assert renamed == {
        kind
        for kind in MESSAGE_TYPES
        if codec_lib.find_wire_name(kind) != kind.__name__
    }


def test_names_on_the_wire_are_unchanged():
    assert {
        codec_lib.find_wire_name(kind) for kind in MESSAGE_TYPES
    } == WIRE_NAMES
