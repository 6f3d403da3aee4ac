"""What this host has seen of each upstream: failures, and for how long."""

from __future__ import annotations

import attrs

# An upstream that cannot be reached is left alone this long, twice as long
# after each failure in a row.
FIRST_EJECTION_S = 0.5
# Waiting longer would miss its replacement.
LONGEST_EJECTION_S = 4.0
# Weight of the newest answer in the share of failures.
FAILURE_WEIGHT = 0.1


@attrs.define
class _Seen:
    """Hold what was seen of one upstream."""

    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = 0.0


class UpstreamHealth:
    """Judge upstreams by their answers to this host."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self._seen: dict[str, _Seen] = {}

    def succeeded(self, upstream: str) -> None:
        """Note a whole answer."""
        seen = self._seen.get(upstream)
        if seen is None:
            return
        seen.failure_share *= 1 - FAILURE_WEIGHT
        seen.ejections = 0
        seen.ejected_until_s = 0.0

    def failed(self, upstream: str) -> None:
        """Note an answer that says the request failed."""
        seen = self._seen.setdefault(upstream, _Seen())
        seen.failure_share += FAILURE_WEIGHT * (1 - seen.failure_share)

    def broke(self, upstream: str, now_s: float) -> float:
        """Note that no whole answer came; return for how long it is out."""
        self.failed(upstream)
        seen = self._seen[upstream]
        doubled: float = FIRST_EJECTION_S * 2.0**seen.ejections
        out_s = min(doubled, LONGEST_EJECTION_S)
        seen.ejections += 1
        seen.ejected_until_s = now_s + out_s
        return out_s

    def failure_share(self, upstream: str) -> float:
        """Return the share of recent answers that were failures."""
        seen = self._seen.get(upstream)
        return seen.failure_share if seen else 0.0

    def is_ejected(self, upstream: str, now_s: float) -> bool:
        """Tell whether it is left alone for now."""
        seen = self._seen.get(upstream)
        return seen is not None and now_s < seen.ejected_until_s

    def forget(self, live: set[str]) -> None:
        """Drop what was seen of upstreams that are gone."""
        for name in self._seen.keys() - live:
            del self._seen[name]
