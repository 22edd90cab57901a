"""Answers questions about a process's events and hands incidents over."""

from __future__ import annotations

import itertools
import typing as t

from skylarkcleat import network as network_lib
from skylarkcleat import process_events
from skylarkcleat.directory import subscription as subscription_lib
from skylarkcleat.protocol import claiming
from skylarkcleat.protocol import diagnostics
from skylarkcleat.timeline import account as account_lib

Handler = t.Callable[[claiming.MemberRef, t.Any], None]


class Reporting:
    """The part of a process's account that talks to control.

    Attributes:
        events: What the process records of itself.
    """

    def __init__(
        self, account: account_lib.Account, network: network_lib.Network
    ) -> None:
        """Initializes the part.

        Args:
            account: The process's events and incidents.
            network: Sends to control.
        """
        self.events = process_events.ProcessEvents(account)
        self._account = account
        self._network = network
        self._requests = itertools.count(1)

    def list_handlers(self) -> dict[type, Handler]:
        """Returns what takes each of control's messages."""
        return {
            diagnostics.EventQuery: self._answer,
            diagnostics.IncidentAck: self._take_ack,
        }

    def report(
        self, now: float, subscription: subscription_lib.Subscription
    ) -> None:
        """Sends the incidents that are due to a control replica that is up.

        Records as well when the configuration comes into force or goes stale.

        Args:
            now: The monotonic clock, in seconds.
            subscription: The process's copy of the directory.
        """
        self.events.take_state(
            subscription.is_in_force(), subscription.view.revision
        )
        controls = self._network.list_controls()
        if not controls:
            return
        request = next(self._requests)
        report = self._account.take_report(request, now)
        if report is not None:
            self._network.send(controls[request % len(controls)], report)

    def _answer(
        self, sender: claiming.MemberRef, question: diagnostics.EventQuery
    ) -> None:
        self._network.send(sender, self._account.answer(question))

    def _take_ack(
        self, sender: claiming.MemberRef, ack: diagnostics.IncidentAck
    ) -> None:
        del sender
        self._account.take_ack(ack)
