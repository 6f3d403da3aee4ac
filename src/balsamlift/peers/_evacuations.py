"""The failure domains that operators have evacuated."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from loguru import logger

from balsamlift.peers._positions import StorePosition

log = logger.bind(part="upstreams")


class EvacuationNews(msgspec.Struct, frozen=True, array_like=True):
    """Hold which failure domains were evacuated at one moment."""

    end: int  # the offset after the last of the operators' records known
    domains: list[str]
    era: int = 0  # of the store that assigned `end`

    @property
    def position(self) -> StorePosition:
        """Return the position after the last record known."""
        return StorePosition(self.era, self.end)


class Evacuations:
    """Hold the newest word of which failure domains get no new work.

    Words come from the store and from other hosts, in any order: only one
    that rests on more of the operators' records than the last counts.
    """

    def __init__(self) -> None:
        """Begin with nothing known, and nothing evacuated."""
        self._news: EvacuationNews | None = None
        self._domains: frozenset[str] = frozenset()
        self._on_change: list[Callable[[], None]] = []

    @property
    def news(self) -> EvacuationNews | None:
        """Return what other hosts are told; None: nothing is known."""
        return self._news

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains that are evacuated."""
        return self._domains

    def covers(self, failure_domain: str) -> bool:
        """Tell whether that failure domain is evacuated."""
        return failure_domain in self._domains

    def offer(
        self, news: EvacuationNews, source: str, age_ms: int | None = None
    ) -> bool:
        """Take in a word if it is newer; tell whether it changes anything.

        `age_ms` is how long ago it was all that the store had, if known.
        """
        if self._news is not None and news.position <= self._news.position:
            return False
        self._news = news
        before, self._domains = self._domains, frozenset(news.domains)
        if before == self._domains:
            return False
        log.bind(
            evacuated=sorted(self._domains),
            evacuated_before=sorted(before),
            offset=news.end,
            era=news.era,
            source=source,
            age_ms=age_ms,
        ).info("evacuations changed")
        for callback in self._on_change:
            callback()
        return True

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of what is evacuated."""
        self._on_change.append(callback)
