"""Upstreams that the list lacks, until they may be removed."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from balsamlift.metrics import Metrics
from balsamlift.peers._removal_grace import RemovalGrace

log = logger.bind(part="upstreams")


class UnlistedUpstreams:
    """Keep upstreams whose entries may have expired during an outage.

    An entry that was renewed after the outage has not: once the list lacks
    it, its upstream has left.
    """

    def __init__(self, grace: RemovalGrace) -> None:
        """Keep upstreams while `grace` lasts."""
        self._grace = grace
        self._names: set[str] = set()
        self._renewed: set[str] = set()  # since the list is available again
        self._metrics = Metrics()
        grace.on_begin(self._renewed.clear)

    def start(self, metrics: Metrics) -> None:
        """Report the number of upstreams as a gauge of `metrics`."""
        self._metrics = metrics

    def __contains__(self, name: str) -> bool:
        """Return whether the latest reading of the list lacks it."""
        return name in self._names

    def record_renewed(self, names: Iterable[str]) -> None:
        """Record upstreams that have written their entries again."""
        self._renewed.update(names)

    def replace(self, names: set[str]) -> None:
        """Record all upstreams that the latest reading lacks."""
        for name in names - self._names - self.removable(names):
            log.bind(kept_ms=self._grace.left_ms).info(
                "{} is not listed, kept until the list is complete", name
            )
        self._set(names)

    def removable(self, names: set[str] | None = None) -> set[str]:
        """Return which of `names`, by default of all, may be removed."""
        names = self._names if names is None else names
        return set(names) if self._grace.is_over else names & self._renewed

    def discard(self, names: set[str]) -> None:
        """Forget upstreams that have been removed."""
        self._set(self._names - names)

    def _set(self, names: set[str]) -> None:
        self._names = names
        self._metrics.gauge("upstreams.unlisted", len(names))
