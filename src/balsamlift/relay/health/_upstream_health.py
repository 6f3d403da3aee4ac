"""Track the failures of each upstream as seen by this host."""

from __future__ import annotations

import attrs

# Time for which an upstream that cannot be reached is ejected; doubled for
# each consecutive failure.
FIRST_EJECTION_S = 0.5
# A longer ejection would delay the use of the upstream's replacement.
MAX_EJECTION_S = 4.0
# Weight of the newest response in the moving average of failures.
FAILURE_WEIGHT = 0.1


@attrs.define
class _Results:
    """Hold the recent results of one upstream."""

    failure_share: float = 0.0
    ejections: int = 0
    ejected_until_s: float = 0.0


class UpstreamHealth:
    """Rate upstreams by their responses to this host."""

    def __init__(self) -> None:
        """Start without any results."""
        self._results: dict[str, _Results] = {}

    def record_success(self, upstream: str) -> None:
        """Record a complete response."""
        results = self._results.get(upstream)
        if results is None:
            return
        results.failure_share *= 1 - FAILURE_WEIGHT
        results.ejections = 0
        results.ejected_until_s = 0.0

    def record_failure(self, upstream: str) -> None:
        """Record a response that reports a failed request."""
        results = self._results.setdefault(upstream, _Results())
        results.failure_share += FAILURE_WEIGHT * (1 - results.failure_share)

    def eject(self, upstream: str, now_s: float) -> float:
        """Eject an upstream that sent no complete response.

        Returns the duration of the ejection.
        """
        self.record_failure(upstream)
        results = self._results[upstream]
        doubled: float = FIRST_EJECTION_S * 2.0**results.ejections
        ejection_s = min(doubled, MAX_EJECTION_S)
        results.ejections += 1
        results.ejected_until_s = now_s + ejection_s
        return ejection_s

    def failure_share(self, upstream: str) -> float:
        """Return the moving average of failures, 0 to 1."""
        results = self._results.get(upstream)
        return results.failure_share if results else 0.0

    def is_ejected(self, upstream: str, now_s: float) -> bool:
        """Return whether the upstream is ejected."""
        results = self._results.get(upstream)
        return results is not None and now_s < results.ejected_until_s

    def readmit(self, upstream: str) -> None:
        """End the ejection of an upstream."""
        results = self._results.get(upstream)
        if results is not None:
            results.ejections = 0
            results.ejected_until_s = 0.0

    def prune(self, live: set[str]) -> None:
        """Discard the results of all upstreams that are not in `live`."""
        for name in self._results.keys() - live:
            del self._results[name]
