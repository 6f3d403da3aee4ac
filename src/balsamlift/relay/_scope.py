"""Restrict which upstreams may serve a call."""

from __future__ import annotations

import attrs


@attrs.frozen
class Scope:
    """The pool and the regions in which a call may run."""

    pool: str
    regions: frozenset[str] | None = None  # None: any region

    def allows(self, region: str) -> bool:
        """Return whether upstreams in `region` may run the call."""
        return self.regions is None or region in self.regions


def intersect_regions(*restrictions: frozenset[str]) -> frozenset[str] | None:
    """Return the regions permitted by every restriction.

    The route and the workspace of a call may each restrict its regions. An
    empty set is no restriction; returns None if all are empty.
    """
    permitted: frozenset[str] | None = None
    for regions in restrictions:
        if regions:
            permitted = regions if permitted is None else permitted & regions
    return permitted
