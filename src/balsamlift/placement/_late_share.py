"""Learn how much memory goes to requests that have passed their target.

Answers a load that lasts, where requests that are in time go first: those that
are late would wait for as long as others arrive.
"""

from __future__ import annotations

import attrs

# Before anything is known, late requests are expected to keep their place, as
# if this many had got memory.
PRIOR_GRANTS = 2.0
# The share is over about this many of the last grants.
AVERAGED_GRANTS = 32.0


@attrs.define
class _Grants:
    """Count what was granted while late requests waited."""

    late: float = 0.0
    all: float = 0.0


class LateShares:
    """Average the share of grants to late requests, for each pool."""

    def __init__(self) -> None:
        """Start without any grant."""
        self._grants: dict[str, _Grants] = {}

    def record(self, pool: str, *, is_late: bool) -> None:
        """Record a grant made while a late request waited or got it."""
        grants = self._grants.setdefault(pool, _Grants())
        decay = 1.0 - 1.0 / AVERAGED_GRANTS
        grants.late = grants.late * decay + is_late
        grants.all = grants.all * decay + 1.0

    def share(self, pool: str) -> float:
        """Return the share, above 0 and up to 1."""
        grants = self._grants.get(pool)
        if grants is None:
            return 1.0
        return (grants.late + PRIOR_GRANTS) / (grants.all + PRIOR_GRANTS)
