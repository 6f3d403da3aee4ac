"""Tell hosts that ask what this one knows of the platform's records.

Of the configuration only the version is told: hosts pass the text on to one
another, which no single host's link could carry to hundreds in time.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isinf
from typing import Protocol

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._follower import Follower, TopicNews

# A host that others ask reads the topics as long as they do: they ask once a
# second, and one answer may be missed.
ASKED_S = 3.0


@attrs.frozen
class Position:
    """Hold how far a host knows the platform's records."""

    version: int  # of its configuration; 0: none
    listed: int | None  # offset after the last entry of the list


@attrs.frozen
class Word:
    """Hold what the asked host knows that the asking one may lack."""

    version: int
    version_age_ms: int | None  # since it was the newest; None: not known
    listed: TopicNews | None = None


class ConfigurationCopy(Protocol):
    """Hold the newest configuration that this host has seen."""

    @property
    def offset(self) -> int:
        """Return its version; 0 when there is none."""


@attrs.frozen(kw_only=True)
class Sources:
    """Hold what a host speaks of, and where the word of others goes."""

    configuration: Follower
    listed: Follower
    copy: ConfigurationCopy
    is_settled: Callable[[], bool]  # entries of the list lapse no more


class SharedRecords:
    """Answer hosts that ask, and take in the answers of others."""

    def __init__(self, clock: Clock) -> None:
        """Say nothing until `connect`."""
        self._clock = clock
        self._sources: Sources | None = None
        self._asked_s: float | None = None

    def connect(self, sources: Sources) -> None:
        """Speak of these from here on."""
        self._sources = sources

    @property
    def is_asked(self) -> bool:
        """Tell whether other hosts go by this one's word."""
        if self._asked_s is None:
            return False
        return self._clock.monotonic() - self._asked_s <= ASKED_S

    def position(self) -> Position | None:
        """Return how far this host knows the records."""
        if self._sources is None:
            return None
        return Position(self._sources.copy.offset, self._sources.listed.end)

    def answer(self, position: Position | None) -> Word | None:
        """Return what that host lacks.

        Entries that lapsed during an outage may come back: nothing is told
        of the list until it has settled.
        """
        if position is None or self._sources is None:
            return None
        self._asked_s = self._clock.monotonic()
        listed = None
        if self._sources.is_settled():
            listed = self._sources.listed.news_since(position.listed)
        age_s = self._sources.configuration.age_s
        return Word(
            version=self._sources.copy.offset,
            version_age_ms=None if isinf(age_s) else round(age_s * 1_000),
            listed=listed,
        )

    def take(self, word: Word | None, asked_s: float) -> None:
        """Take in the answer to what was asked then."""
        if word is None or self._sources is None:
            return
        if word.listed is not None:
            self._sources.listed.take(word.listed, asked_s)
        is_newest = self._sources.copy.offset >= word.version > 0
        if is_newest and word.version_age_ms is not None:
            age_s = word.version_age_ms / 1_000
            self._sources.configuration.confirm(asked_s - age_s)
