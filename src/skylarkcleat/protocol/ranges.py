"""The ends of the ranges of numbers that others send.

Callers, operators and runners may send numbers up to 2^53. Each is limited
where it is decoded, so that sums, products and quotients of them stay exact to
the millisecond, keep their order and fit into messages.
"""

from __future__ import annotations

MAX_DURATION_MS = 10**9
"""The longest duration, in milliseconds: eleven days, as long as a caller can
wait."""

MAX_CAPACITY = 10**9
"""The most that a runner has, in thousandths of a core, in MB of memory or in
accelerators."""

OVERSIZE = MAX_CAPACITY + 1
"""The size of a task that is larger than every runner."""

MAX_STRETCH = 1000.0
"""The most times its work that a job may take."""
