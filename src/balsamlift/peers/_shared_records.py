"""Tell hosts that ask what this one knows of the platform's records.

A configuration goes out to hosts that ask only as fast as a small link
carries it; these pass it on to the others, as hosts do among one another.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isinf
from typing import Protocol

import attrs
import msgspec

from balsamlift.clock import Clock
from balsamlift.peers._evacuations import EvacuationNews, Evacuations
from balsamlift.peers._follower import Follower, TopicNews
from balsamlift.peers._positions import StorePosition
from balsamlift.peers._records import Record

# A host that others ask reads the topics as long as they do: they ask once a
# second, and one answer may be missed.
ASKED_S = 3.0
# Configurations that one host sends at once, and per second: more would hold
# up all else on the smallest links.
SENDABLE_BYTES = 50_000.0
SENDABLE_BYTES_PER_S = 200_000.0


def is_too_large(configuration: bytes) -> bool:
    """Tell whether hosts that lag have to read it from the store."""
    return len(configuration) > SENDABLE_BYTES


class Position(msgspec.Struct, frozen=True, array_like=True):
    """Hold how far a host knows the platform's records."""

    version: int  # of its configuration; 0: none
    listed: int | None  # offset after the last entry of the list
    listed_era: int = 0  # of the store that assigned `listed`


class RecordsAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold what the asked host knows that the asking one may lack."""

    version: int
    version_age_ms: int | None  # since it was the newest; None: not known
    configuration: bytes = b""  # as operators wrote it
    listed: TopicNews | None = None
    evacuations: EvacuationNews | None = None  # as old as the version
    must_read: bool = False  # the configuration is too large to be told
    # Offset in the configuration's topic before which every record is covered
    # by `version` and `evacuations`; None: not known.
    end: int | None = None
    # End of a large answer that the asked host is still reading; None: none.
    incoming_end: int | None = None
    era: int = 0  # of the store that assigned `end` and `incoming_end`


class ConfigurationCopy(Protocol):
    """Hold the newest configuration that this host has seen."""

    @property
    def offset(self) -> int:
        """Return its version; 0 when there is none."""

    @property
    def encoded(self) -> bytes:
        """Return it as operators wrote it."""


def _ignore_version(version: int) -> None:
    del version


@attrs.frozen(kw_only=True)
class Sources:
    """Hold what a host answers from, and where answers of others go."""

    configuration: Follower
    listed: Follower
    copy: ConfigurationCopy
    offer: Callable[[bytes], None]  # a configuration, maybe a newer one
    is_settled: Callable[[], bool]  # entries of the list lapse no more
    evacuations: Evacuations  # in the topic of the configuration
    note_version: Callable[[int], None] = _ignore_version  # in an answer
    # Returns the known configuration and evacuations as the newest records of
    # their keys before the given offset.
    snapshot_records: Callable[[int], list[Record]] | None = None


class SharedRecords:
    """Answer hosts that ask, and take in the answers of others."""

    def __init__(self, clock: Clock) -> None:
        """Answer nothing until `connect`."""
        self._clock = clock
        self._sources: Sources | None = None
        self._asked_s: float | None = None
        self._sendable_bytes = SENDABLE_BYTES
        self._refilled_s = clock.monotonic()

    def connect(self, sources: Sources) -> None:
        """Answer from these from here on."""
        self._sources = sources

    @property
    def is_asked(self) -> bool:
        """Tell whether other hosts go by what this one answers."""
        if self._asked_s is None:
            return False
        return self._clock.monotonic() - self._asked_s <= ASKED_S

    @property
    def is_fresh(self) -> bool:
        """Tell whether this host lacks nothing that another could tell."""
        if self._sources is None:
            return True
        followers = (self._sources.configuration, self._sources.listed)
        return all(follower.is_fresh for follower in followers)

    def position(self) -> Position | None:
        """Return how far this host knows the records."""
        if self._sources is None:
            return None
        listed = self._sources.listed
        return Position(self._sources.copy.offset, listed.end, listed.era)

    def answer(self, position: Position | None) -> RecordsAnswer | None:
        """Return what that host lacks.

        Entries that lapsed during an outage may come back: nothing is told
        of the list until it has settled.
        """
        if position is None or self._sources is None:
            return None
        self._asked_s = self._clock.monotonic()
        listed = None
        if self._sources.is_settled():
            listed = self._sources.listed.news_since(
                position.listed, position.listed_era
            )
        age_s = self._sources.configuration.age_s
        return RecordsAnswer(
            version=self._sources.copy.offset,
            version_age_ms=None if isinf(age_s) else round(age_s * 1_000),
            configuration=self._sendable(self._sources.copy, position),
            listed=listed,
            evacuations=self._sources.evacuations.news,
            must_read=is_too_large(self._sources.copy.encoded),
            end=self._sources.configuration.end,
            incoming_end=self._sources.configuration.incoming_end,
            era=self._sources.configuration.era,
        )

    def take(self, answer: RecordsAnswer | None, asked_s: float) -> None:
        """Take in the answer to what was asked then."""
        if answer is None or self._sources is None:
            return
        if answer.listed is not None:
            self._sources.listed.take(answer.listed, asked_s)
        if answer.evacuations is not None:
            self._sources.evacuations.offer(
                answer.evacuations, "peer", answer.version_age_ms
            )
        self._sources.note_version(answer.version)
        if answer.configuration:
            self._sources.offer(answer.configuration)
        configuration = self._sources.configuration
        is_same_era = answer.era == configuration.era
        if answer.must_read and answer.version > self._sources.copy.offset:
            configuration.read_soon(answer.end if is_same_era else None)
        elif is_same_era and (answer.incoming_end or 0) > (
            configuration.end or 0
        ):
            configuration.read_soon(answer.incoming_end)
        is_newest = (
            answer.evacuations is not None
            and self._sources.copy.offset >= answer.version > 0
        )
        if is_newest and answer.version_age_ms is not None:
            age_s = answer.version_age_ms / 1_000
            self._sources.configuration.confirm(asked_s - age_s)
            if answer.end is not None:
                self._skip_known_records(StorePosition(answer.era, answer.end))

    def _skip_known_records(self, end: StorePosition) -> None:
        """Skip the records before `end` that the known state covers."""
        sources = self._sources
        if sources is None or sources.snapshot_records is None:
            return
        records = sources.snapshot_records(end.offset)
        sources.configuration.skip_to(end, records)

    def _sendable(self, copy: ConfigurationCopy, position: Position) -> bytes:
        """Return the configuration for a host that lags, if there is time."""
        now_s = self._clock.monotonic()
        refill = (now_s - self._refilled_s) * SENDABLE_BYTES_PER_S
        self._refilled_s = now_s
        self._sendable_bytes += refill
        self._sendable_bytes = min(self._sendable_bytes, SENDABLE_BYTES)
        size = len(copy.encoded)
        if position.version >= copy.offset or size > self._sendable_bytes:
            return b""
        self._sendable_bytes -= size
        return copy.encoded
