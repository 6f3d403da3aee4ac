"""Exchange the platform's records with hosts that do not read the store.

The rate at which a host sends configurations in answers is limited to what a
small link carries. Hosts that received one pass it on to others in their
regular messages.
"""

from __future__ import annotations

from collections.abc import Callable
from math import isinf
from typing import Protocol

import attrs
import msgspec

from balsamlift.clock import Clock
from balsamlift.peers._evacuations import Evacuations, EvacuationSnapshot
from balsamlift.peers._follower import Follower
from balsamlift.peers._integers import Integer
from balsamlift.peers._positions import StorePosition
from balsamlift.peers._records import Record
from balsamlift.peers._topic_update import TopicUpdate

# A host that received a request reads the topics for this long. Hosts ask once
# a second, and one request may be lost.
REQUEST_VALID_S = 3.0
# Bytes of configurations that one host sends in a burst, and per second. More
# would delay all other traffic on the smallest links.
SEND_BURST_BYTES = 50_000.0
SEND_BYTES_PER_S = 200_000.0


def is_too_large_to_send(configuration: bytes) -> bool:
    """Return whether hosts that lack it must read it from the store."""
    return len(configuration) > SEND_BURST_BYTES


class Position(msgspec.Struct, frozen=True, array_like=True):
    """Hold up to where a host knows the platform's records."""

    version: Integer  # of its configuration; 0: none
    listed: Integer | None  # offset after the last known record of the list
    listed_era: Integer = 0  # of the store that assigned `listed`


class RecordsAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold the records that the requesting host may lack."""

    version: Integer
    version_age_ms: Integer | None  # since it was the newest; None: unknown
    configuration: bytes = b""  # as operators wrote it
    listed: TopicUpdate | None = None
    # Of the same age as the version.
    evacuations: EvacuationSnapshot | None = None
    must_read: bool = False  # the configuration is too large to be sent
    # Offset in the configuration's topic before which every record is covered
    # by `version` and `evacuations`; None: unknown.
    end: Integer | None = None
    # End of a large answer that this host is still reading, if any.
    incoming_end: Integer | None = None
    era: Integer = 0  # of the store that assigned `end` and `incoming_end`


class ConfigurationCopy(Protocol):
    """Provide the newest configuration that this host has received."""

    @property
    def offset(self) -> int:
        """Return its version, or 0 if there is none."""

    @property
    def encoded(self) -> bytes:
        """Return the bytes that operators wrote."""


def _ignore_version(version: int) -> None:
    del version


@attrs.frozen(kw_only=True)
class RecordSources:
    """Hold what answers are made from, and what received ones go to."""

    configuration: Follower
    listed: Follower
    copy: ConfigurationCopy
    offer: Callable[[bytes], None]  # takes a configuration that may be newer
    is_list_complete: Callable[[], bool]  # false during an outage
    evacuations: Evacuations  # from the topic of the configuration
    # Takes the version of each answer.
    record_version: Callable[[int], None] = _ignore_version
    # Returns the known configuration and evacuations as the newest records of
    # their keys before the given offset.
    snapshot_records: Callable[[int], list[Record]] | None = None


class SharedRecords:
    """Answer requests for records, and apply the answers of other hosts."""

    def __init__(self, clock: Clock) -> None:
        """Start without sources: nothing is answered until `connect`."""
        self._clock = clock
        self._sources: RecordSources | None = None
        self._last_request_s: float | None = None
        self._send_budget_bytes = SEND_BURST_BYTES
        self._refilled_s = clock.monotonic()

    def connect(self, sources: RecordSources) -> None:
        """Use these sources from now on."""
        self._sources = sources

    @property
    def has_recent_requests(self) -> bool:
        """Return whether other hosts depend on the answers of this one."""
        if self._last_request_s is None:
            return False
        return (
            self._clock.monotonic() - self._last_request_s <= REQUEST_VALID_S
        )

    @property
    def is_fresh(self) -> bool:
        """Return whether no other host could send anything newer."""
        if self._sources is None:
            return True
        followers = (self._sources.configuration, self._sources.listed)
        return all(follower.is_fresh for follower in followers)

    def position(self) -> Position | None:
        """Return up to where this host knows the records."""
        if self._sources is None:
            return None
        listed = self._sources.listed
        return Position(self._sources.copy.offset, listed.end, listed.era)

    def answer(self, position: Position | None) -> RecordsAnswer | None:
        """Return the records that a host at `position` lacks.

        Entries that expired during an outage may be written again, so no
        entries are sent until the list is complete.
        """
        if position is None or self._sources is None:
            return None
        self._last_request_s = self._clock.monotonic()
        listed = None
        if self._sources.is_list_complete():
            listed = self._sources.listed.update_since(
                position.listed, position.listed_era
            )
        age_s = self._sources.configuration.age_s
        return RecordsAnswer(
            version=self._sources.copy.offset,
            version_age_ms=None if isinf(age_s) else round(age_s * 1_000),
            configuration=self._configuration_to_send(
                self._sources.copy, position
            ),
            listed=listed,
            evacuations=self._sources.evacuations.snapshot,
            must_read=is_too_large_to_send(self._sources.copy.encoded),
            end=self._sources.configuration.end,
            incoming_end=self._sources.configuration.incoming_end,
            era=self._sources.configuration.era,
        )

    def apply_answer(
        self, answer: RecordsAnswer | None, requested_s: float
    ) -> None:
        """Apply the answer to a request sent at that time."""
        if answer is None or self._sources is None:
            return
        if answer.listed is not None:
            self._sources.listed.apply_update(answer.listed, requested_s)
        if answer.evacuations is not None:
            self._sources.evacuations.offer(
                answer.evacuations, "peer", answer.version_age_ms
            )
        self._sources.record_version(answer.version)
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
            self._sources.configuration.confirm(requested_s - age_s)
            if answer.end is not None:
                self._skip_known_records(StorePosition(answer.era, answer.end))

    def _skip_known_records(self, end: StorePosition) -> None:
        """Skip the records before `end`, which the known state covers."""
        sources = self._sources
        if sources is None or sources.snapshot_records is None:
            return
        records = sources.snapshot_records(end.offset)
        sources.configuration.skip_to(end, records)

    def _configuration_to_send(
        self, copy: ConfigurationCopy, position: Position
    ) -> bytes:
        """Return the configuration if lacking and within the rate limit.

        Otherwise returns b"".
        """
        now_s = self._clock.monotonic()
        refill = (now_s - self._refilled_s) * SEND_BYTES_PER_S
        self._refilled_s = now_s
        self._send_budget_bytes += refill
        self._send_budget_bytes = min(
            self._send_budget_bytes, SEND_BURST_BYTES
        )
        size = len(copy.encoded)
        if position.version >= copy.offset or size > self._send_budget_bytes:
            return b""
        self._send_budget_bytes -= size
        return copy.encoded
