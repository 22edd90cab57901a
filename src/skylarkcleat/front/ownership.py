"""Runs the owner of all jobs while this front holds the ownership."""

from __future__ import annotations

import typing as t

import eliot

from skylarkcleat import clock as clock_lib
from skylarkcleat.front import configuration_cache as configuration_cache_lib
from skylarkcleat.front import owner_requests
from skylarkcleat.front import submission_intake
from skylarkcleat.protocol import leasing
from skylarkcleat.protocol import owning
from skylarkcleat.protocol import reporting
from skylarkcleat.protocol import scheduling
from skylarkcleat.scheduling import outbox as outbox_lib
from skylarkcleat.scheduling import owner as owner_lib
from skylarkcleat.scheduling import policy as policy_lib
from skylarkcleat.scheduling import predecessor as predecessor_lib
from skylarkcleat.scheduling import start_batches
from skylarkcleat.wire import session as session_lib


class Ownership:
    """Holds the owner, if it is here, and dispatches messages to it.

    Args:
        local: The endpoint of this front.
        configuration_cache: Lists the queues.
        send: Sends a message to one incarnation of a process.
        policy: What the settings choose.

    Attributes:
        term: The term of the ownership; 0 without one.
    """

    def __init__(
        self,
        local: session_lib.Endpoint,
        configuration_cache: configuration_cache_lib.ConfigurationCache,
        send: t.Callable[[session_lib.Endpoint, t.Any], None],
        policy: policy_lib.Policy = policy_lib.DEFAULT,
    ) -> None:
        self.term = 0
        self._policy = policy
        self._local = local
        self._configuration_cache = configuration_cache
        self._send = send
        self._owner: owner_lib.Owner | None = None
        self._requests: owner_requests.OwnerRequests | None = None
        self._intake = submission_intake.SubmissionIntake(
            configuration_cache, send
        )

    @property
    def sides(self) -> tuple[str, ...]:
        """The side processes that may run tasks; none without an owner."""
        return self._owner.sides if self._owner else ()

    @property
    def unknown_sides(self) -> list[str]:
        """The side processes that a successor may not know; get no tasks."""
        return self._owner.list_unknown_sides() if self._owner else []

    def open_sides(self, sides: t.Iterable[str]) -> None:
        """Lets side processes get tasks that every successor knows."""
        self._owner.open_sides(sides, clock_lib.read_monotonic())

    def begin(
        self, term: int, predecessor: predecessor_lib.Predecessor
    ) -> None:
        """Starts being the owner in a term."""
        now = clock_lib.read_monotonic()
        self.term = term
        self._owner = owner_lib.Owner(
            self._local, predecessor, now, self._policy
        )
        self._requests = owner_requests.OwnerRequests(
            self._owner,
            term,
            self._intake,
            self._configuration_cache,
            self._send,
        )
        eliot.log_message(
            "owner:begun",
            term=term,
            former_term=predecessor.term,
            sides=len(predecessor.sides),
            settles_in_ms=round(max(0.0, predecessor.settled_at - now) * 1000),
        )

    def extend(self, term: int, sides: t.Iterable[str]) -> None:
        """Takes over the jobs of another owner in addition to its own."""
        eliot.log_message("owner:extended", term=term, former_term=self.term)
        self.term = self._requests.term = term
        self._intake.clear()
        self._owner.extend(sides, clock_lib.read_monotonic())

    def end(self, reason: str) -> tuple[str, ...]:
        """Stops being the owner; returns the side processes it had."""
        sides = self.sides
        if self._owner is not None:
            eliot.log_message(
                "owner:ended",
                term=self.term,
                reason=reason,
                jobs=len(self._owner.jobs),
                sides=len(sides),
            )
        self._owner = self._requests = None
        self._intake.clear()
        self.term = 0
        return sides

    def handle_heartbeat_reply(
        self, front: session_lib.Endpoint, reply: owning.OwnerHeartbeatReply
    ) -> None:
        """Records a heartbeat reply and asks a new follower to resubmit."""
        now = clock_lib.read_monotonic()
        if self._owner is None:
            return
        if self._owner.record_heartbeat_reply(front, reply.sent_at, now):
            self._intake.discard_front(front.name)
            self._send(front, owning.Resubmit(self.term))

    @property
    def has_intake(self) -> bool:
        """Whether submissions wait to be taken up."""
        return len(self._intake) > 0

    def is_congested(self, now: float) -> bool:
        """Returns whether jobs come faster than they are taken up."""
        return self._intake.is_congested(now)

    def describe_intake(self, now: float) -> tuple[int, float]:
        """Returns how many submissions wait, and for how long at most."""
        return len(self._intake), self._intake.find_wait_s(now)

    def count_jobs(self) -> int:
        """Returns how many jobs the owner has that have not ended."""
        return len(self._owner.jobs) if self._owner else 0

    def defer(
        self, peer: session_lib.Endpoint, message: scheduling.Submit
    ) -> None:
        """Keeps a submission until there is time to take it up.

        Only jobs wait so: leases, reports and the ends of calls don't.
        """
        if self._owner is None or message.term != self.term:
            owner_requests.refuse(peer, message, self._send)
        else:
            self._intake.add(peer, message)

    def take_up(self, until: float) -> None:
        """Takes up submissions that wait, until a time in seconds."""
        requests = self._requests
        if requests is not None:
            self._intake.take_up(until, requests.handle, requests.knows)

    def receive(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        """Handles a message for the owner; refuses it without one."""
        if self._owner is None:
            owner_requests.refuse(peer, message, self._send)
        elif isinstance(message, scheduling.Submit) and self.has_intake:
            self.defer(peer, message)
        elif isinstance(message, scheduling.Submit | scheduling.JobRequest):
            self._requests.handle(peer, message)
        elif isinstance(message, leasing.Register):
            now = clock_lib.read_monotonic()
            self._owner.register(peer, message, now)
        else:
            self._handle_other(peer, message)
        if peer == self._local:
            self.place_and_send()

    def place_and_send(self) -> None:
        """Places tasks and sends the messages in the owner's outbox."""
        if self._owner is None:
            return
        now = clock_lib.read_monotonic()
        zones = self._configuration_cache.evacuations.find_zones(now)
        self._owner.update_zones(zones)
        self._owner.place(now)
        messages = self._owner.outbox.take()
        for outgoing in start_batches.merge_starts(messages):
            self._send_outgoing(outgoing, now)

    def _send_outgoing(self, outgoing: outbox_lib.Outgoing, now: float) -> None:
        """Sends a message of the owner; the others go out if it can't be."""
        peer, message = outgoing
        if isinstance(message, scheduling.Reply):
            version = self._configuration_cache.version
            message = message._replace(version=version)
        try:
            self._send(peer, message)
        except Exception as error:
            containment = self._owner.containment
            containment.record("send a message", error, now, peer.name)
            with containment.contain("answer for a message", now):
                self._answer_for(peer, message, now)

    def _answer_for(
        self, peer: session_lib.Endpoint, message: t.Any, now: float
    ) -> None:
        """Says in plainer words what a message can't that isn't sent."""
        if isinstance(message, scheduling.Reply):
            self._requests.reply(peer, message.request, message.verdict, "")
        elif isinstance(message, leasing.Start):
            self._owner.record_unsent(peer.name, message, now)
        elif isinstance(message, leasing.StartTasks):
            for order in message.list_orders():
                self._send_outgoing(outbox_lib.Outgoing(peer, order), now)

    def tick(self) -> None:
        """Runs the owner's timers; called several times a second."""
        if self._owner is not None:
            self._owner.tick(clock_lib.read_monotonic())
            self.place_and_send()

    def _handle_other(self, peer: session_lib.Endpoint, message: t.Any) -> None:
        now = clock_lib.read_monotonic()
        owner = self._owner
        if isinstance(message, scheduling.Abandon):
            if not self._intake.discard(peer, message.request):
                owner.abandon(peer, message.request)
        elif isinstance(message, leasing.Renew):
            owner.renew(peer, message, now)
        elif isinstance(message, reporting.SideReport):
            owner.handle_side_report(peer.name, message, now)
