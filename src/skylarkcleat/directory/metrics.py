"""The metrics of a control replica."""

from __future__ import annotations

import collections
import typing as t

from skylarkcleat.directory import directory as directory_lib
from skylarkcleat.directory import server as server_lib
from skylarkcleat.metrics import registry as registry_lib
from skylarkcleat.model import member as member_lib


class Metrics:
    """Renders the replica's state when it is scraped."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        server: server_lib.ControlServer,
    ):
        """Creates the metrics of a replica."""
        self._directory = directory
        self._server = server
        self._registry = registry_lib.Registry()
        self._revision = self._registry.add_gauge(
            "directory_revision", "Revision of the directory"
        )
        self._age = self._registry.add_gauge(
            "directory_age_seconds", "Age of this replica's state"
        )
        self._leads = self._registry.add_gauge(
            "directory_leads", "1 while this replica leads"
        )
        self._subscribers = self._registry.add_gauge(
            "directory_subscribers", "Processes that polled this replica lately"
        )
        self._members = self._registry.add_gauge(
            "directory_members", "Members by role and state"
        )
        self._rejected = self._registry.add_gauge(
            "directory_rejected_frames", "Frames that held no message"
        )

    def render(self, accepts: t.Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Returns the body and the headers of the response to a scrape.

        Args:
            accepts: The values of the request's `Accept` headers.
        """
        view = self._directory.view
        self._revision.set({}, view.revision)
        age = self._server.measure_age()
        if age is not None:
            self._age.set({}, age)
        self._leads.set({}, int(self._server.is_leader))
        self._subscribers.set({}, self._server.subscriber_count)
        self._rejected.set({}, self._server.rejected)
        counts = collections.Counter(
            (member.role, member.state) for member in view.members.values()
        )
        for role in member_lib.Role:
            for state in member_lib.MemberState:
                labels = {"role": role.value, "state": state.value}
                self._members.set(labels, counts[role, state])
        return self._registry.render(accepts)
