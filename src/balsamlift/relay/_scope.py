"""Which upstreams may serve a call."""

from __future__ import annotations

import attrs


@attrs.frozen
class Scope:
    """Bound where a call may run, by what the configuration says of it."""

    pool: str
    regions: frozenset[str] | None = None  # None: any

    def allows(self, region: str) -> bool:
        """Tell whether upstreams of that region may run it."""
        return self.regions is None or region in self.regions


def bound_regions(*homes: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all of these allow; an empty one allows any.

    The route and the workspace of a call each bind it. Returns None where
    neither does.
    """
    bound: frozenset[str] | None = None
    for regions in homes:
        if regions:
            bound = regions if bound is None else bound & regions
    return bound
