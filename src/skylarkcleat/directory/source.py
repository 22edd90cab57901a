"""The interface of what a publisher publishes."""

from __future__ import annotations

import abc

from skylarkcleat.directory import change_list
from skylarkcleat.directory import view as view_lib


class Source(abc.ABC):
    """A view and its latest changes, held by control or by a relay."""

    @property
    @abc.abstractmethod
    def view(self) -> view_lib.View:
        """The current view."""

    @property
    @abc.abstractmethod
    def changes(self) -> change_list.ChangeList:
        """The latest changes of the view; ends at the view's revision."""
