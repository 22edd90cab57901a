"""Limits for clients above what a front serves."""

from __future__ import annotations

import collections.abc

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import check
from skylarkcleat.configuration_check import findings
from skylarkcleat.http_limits import limits
from skylarkcleat.platform import client_limits_body

_SERVED = {
    "max_header_bytes": limits.FIELD_BYTES,
    "max_body_bytes": limits.JOB_BODY_BYTES,
    "header_timeout_ms": limits.HEAD_TIMEOUT_S * 1000,
    "idle_timeout_ms": limits.IDLE_TIMEOUT_S * 1000,
}
"""What fronts serve, whatever the configuration says. A legal header section
may be one field."""


class ClientLimits(check.Check):
    """Finds limits that clients may use and that fronts don't serve."""

    def find(
        self, configuration: content.Configuration
    ) -> collections.abc.Iterator[findings.Finding]:
        """Yields a warning for each limit, or one if none can be read."""
        found = client_limits_body.decode_client_limits(configuration.original)
        if found is None:
            yield _warn("they can't be read, and fronts ignore them")
            return
        for field, served in _SERVED.items():
            value = getattr(found, field)
            if value > served:
                yield _warn(
                    f"{value:.15g} is above the {served:.15g} that fronts "
                    f"serve",
                    field,
                )


def _warn(text: str, field: str = "") -> findings.Finding:
    entry = findings.Entry(findings.Kind.LIMITS)
    return findings.Finding(findings.Severity.WARNING, entry, text, field)
