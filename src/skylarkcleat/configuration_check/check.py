"""What all checks of a typed configuration have in common."""

from __future__ import annotations

import abc
import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import findings


class Check(abc.ABC):
    """Looks for one kind of doubtful entry in a valid configuration."""

    @abc.abstractmethod
    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields warnings, in the order of the configuration's entries."""
