"""Interns equal parts of many records, so that memory holds each once."""

from __future__ import annotations

import typing as t

from skylarkcleat.protocol import claiming

_MAX_PARTS = 32_768

_T = t.TypeVar("_T", bound=t.Hashable)


class Interner:
    """A table of parts, cleared when it exceeds `_MAX_PARTS` entries."""

    def __init__(self):
        self._parts: dict[t.Hashable, t.Hashable] = {}

    def intern(self, part: _T) -> _T:
        """Returns an equal part, the one that earlier records hold if any."""
        if len(self._parts) > _MAX_PARTS:
            self._parts.clear()
        return self._parts.setdefault(part, part)

    def intern_claim(self, claim: claiming.Claim) -> claiming.Claim:
        """Returns an equal claim with interned parts."""
        return claim._replace(
            owner=self.intern(claim.owner),
            address=self.intern(claim.address),
            cohort=self._intern_cohort(claim.cohort),
            profile=self.intern(claim.profile),
        )

    def _intern_cohort(
        self, cohort: tuple[claiming.MemberRef, ...]
    ) -> tuple[claiming.MemberRef, ...]:
        known = self._parts.get(cohort)
        if known is not None:
            return known
        return self.intern(tuple(self.intern(agent) for agent in cohort))
