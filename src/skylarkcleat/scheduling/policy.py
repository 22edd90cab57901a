"""What an operator may choose about the decisions of an owner."""

from __future__ import annotations

import typing as t


class Policy(t.NamedTuple):
    """Choices that the settings of a front make.

    Attributes:
        shares_capacity: Whether queues get shares of a capacity that is far
            too short, by their priority. Otherwise jobs are served by their
            latest start time, whatever their queue.
    """

    shares_capacity: bool = False


DEFAULT = Policy()
