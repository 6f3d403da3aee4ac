"""Follow configuration, upstreams and hosts in the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Generic, TypeVar

import msgspec
from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.exceptions import HostsUnavailableError, StoreError
from balsamlift.kernel import Kernel
from balsamlift.peers import (
    Evacuations,
    EvacuationSnapshot,
    Follower,
    FreshnessLimits,
    ListEntry,
)
from balsamlift.platform._decode import (
    HostRecord,
    RecordError,
    decode_configuration,
    decode_evacuations,
    decode_host,
    decode_upstream,
    host_entry,
    may_be_ready,
)
from balsamlift.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    HOSTS_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.platform._store import Store
from balsamlift.relay import Routing

log = logger.bind(part="store")

T = TypeVar("T")

# Delay after a failed call, doubled after each further failure. Rejected calls
# are billed too.
RETRY_MS = 200.0
MAX_RETRY_MS = 800.0
# Writing this host's entry is less urgent: a host that starts meanwhile finds
# this one through the others.
MAX_ENTRY_RETRY_MS = 4_000.0
# Hosts exchange membership among themselves: an entry only has to lead a
# starting host to one live host. It is renewed after a third of its lifetime.
HOST_RENEWAL_S = 200.0
HOST_LIFETIME_S = 600.0
HOSTS_POLL_S = 10.0


class ConfigurationWatch:
    """Follow the operators' topic and apply its records."""

    name = "configuration_watch"

    def __init__(
        self,
        store: Store,
        clock: Clock,
        limits: FreshnessLimits,
        evacuations: Evacuations,
    ) -> None:
        """Follow the operators' topic within these limits."""
        self._evacuations = evacuations
        self.follower = Follower(store, CONFIGURATION_TOPIC, clock, limits)
        self._clock = clock
        self._back_off = BackOff(None, RETRY_MS, MAX_RETRY_MS)
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Start reading in the background."""
        self._routing = kernel.find("routing", Routing)
        self._task = start_task(
            "configuration", self._keep_reading, self._clock
        )

    async def stop(self) -> None:
        """Stop reading."""
        await end_task(self._task)

    async def _keep_reading(self) -> None:
        wait_ms: int | None = None
        while True:
            try:
                await self.follower.follow(wait_ms)
            except StoreError:
                # The store has logged the failure. Until it answers again,
                # reads do not wait for new records: the loss of a read sent
                # just before the store recovers would only be detected after
                # its waiting time.
                wait_ms = 0
                await self._clock.sleep(self._back_off.failed())
                continue
            wait_ms = None
            self._back_off.succeeded()
            values = self.follower.values()
            self._offer_evacuations(values)
            data = values.get(CONFIGURATION_KEY)
            if data is not None:
                offer_configuration(self._routing, data, "store")
            else:
                await self._clock.sleep(RETRY_MS / 1_000)

    def _offer_evacuations(self, values: dict[str, bytes]) -> None:
        if self.follower.end is not None:
            domains = decode_evacuations(values)
            snapshot = EvacuationSnapshot(
                self.follower.end, domains, self.follower.era
            )
            self._evacuations.offer(snapshot, "store", age_ms=0)


def offer_configuration(routing: Routing, data: bytes, source: str) -> None:
    """Decode a configuration record and pass it to `routing`.

    `source` is logged: the store, or a peer that passed the record on. The
    same invalid record is decoded and logged once.
    """
    if data in (routing.encoded, routing.rejected):
        return
    began_s = routing.clock.monotonic()
    try:
        configuration = decode_configuration(data)
    except RecordError as error:
        routing.rejected = data
        log.bind(source=source, in_force=routing.offset).error("{}", error)
        return
    took_s = routing.clock.monotonic() - began_s
    decode_ms = round(took_s * 1_000, 1)
    routing.offer(configuration, data, source, decode_ms)


def _keep_always(data: bytes) -> bool:
    del data
    return True


class _DecodeCache(Generic[T]):
    """Decode records, and reuse the results of unchanged ones.

    The last valid record of a key holds while an invalid one, which another
    writer may have left, is in its place.
    """

    def __init__(
        self,
        decode: Callable[[str, bytes], T],
        may_keep: Callable[[bytes], bool] = _keep_always,
    ) -> None:
        """Decode with `decode`, which raises `RecordError` if it fails.

        Where `may_keep` is false of an invalid record, nothing holds.
        """
        self._decode = decode
        self._may_keep = may_keep
        self._cache: dict[str, tuple[bytes, T | None]] = {}

    def update(self, values: dict[str, bytes]) -> list[T]:
        """Return the decoded values; of invalid ones, those that hold."""
        self._cache = {
            key: self._decode_or_reuse(key, data)
            for key, data in values.items()
        }
        return [item for _, item in self._cache.values() if item is not None]

    def _decode_or_reuse(
        self, key: str, data: bytes
    ) -> tuple[bytes, T | None]:
        before = self._cache.get(key)
        if before is not None and before[0] == data:
            return before
        try:
            return data, self._decode(key, data)
        except RecordError as error:
            known = before[1] if before and self._may_keep(data) else None
            log.bind(
                key=key[:80],
                size_bytes=len(data),
                is_last_kept=known is not None,
            ).error("{}", error)
            return data, known


class UpstreamsSource:
    """Read upstreams and hosts from the store as one list."""

    def __init__(
        self, store: Store, clock: Clock, limits: FreshnessLimits
    ) -> None:
        """Follow both topics within these limits."""
        self.upstreams_follower = Follower(
            store, UPSTREAMS_TOPIC, clock, limits
        )
        self._hosts_follower = Follower(store, HOSTS_TOPIC, clock, limits)
        self._decoded_upstreams = _DecodeCache(decode_upstream, may_be_ready)
        self._decoded_hosts = _DecodeCache(
            lambda key, data: (key, decode_host(key, data))
        )
        self._clock = clock
        self._is_answering = True
        self._next_hosts_read_s = 0.0
        self._hosts_back_off = BackOff(None, RETRY_MS, MAX_RETRY_MS)

    @property
    def is_complete(self) -> bool:
        """Return whether the last reading came from another host.

        Hosts pass the list on once it is complete.
        """
        return self.upstreams_follower.was_told

    async def read(
        self, max_wait_ms: int | None = None
    ) -> list[ListEntry] | None:
        """Return all entries, or None if nothing has changed.

        Raises `HostsUnavailableError` if the upstreams cannot be read.
        """
        if not self._is_answering:
            max_wait_ms = 0  # see `ConfigurationWatch`
        try:
            changed = await self.upstreams_follower.follow(max_wait_ms)
        except StoreError as error:
            self._is_answering = False
            raise HostsUnavailableError(error.message) from error
        self._is_answering = True
        # News of upstreams does not wait for that of hosts.
        if not changed or self._hosts_follower.end is None:
            changed |= await self._read_hosts()
        if not changed:
            return None
        upstreams = self._decoded_upstreams.update(
            self.upstreams_follower.values()
        )
        return [*upstreams, *self._host_entries()]

    async def _read_hosts(self) -> bool:
        """Read the hosts if that is due; return whether any has changed.

        A failure is ignored: the store may serve one topic and not the
        other, and changes of upstreams still have to be returned. As hosts
        exchange membership among themselves, only those that read the
        upstreams for others look for hosts that no peer knows of.
        """
        is_known = self._hosts_follower.end is not None
        if is_known and not self.upstreams_follower.is_reader:
            return False
        if self._clock.monotonic() < self._next_hosts_read_s:
            return False
        try:
            changed = await self._hosts_follower.read(0)
        except StoreError:
            # The store has logged the failure.
            pause_s = self._hosts_back_off.failed()
            self._next_hosts_read_s = self._clock.monotonic() + pause_s
            return False
        self._hosts_back_off.succeeded()
        self._next_hosts_read_s = self._clock.monotonic() + HOSTS_POLL_S
        return changed

    def _host_entries(self) -> list[ListEntry]:
        oldest_s = self._clock.now().timestamp() - HOST_LIFETIME_S
        return [
            host_entry(key, record)
            for key, record in self._decoded_hosts.update(
                self._hosts_follower.values()
            )
            if record.written_s >= oldest_s
        ]


class HostRegistration:
    """Keep this host's entry in the store, where other hosts find it."""

    name = "host_registration"

    def __init__(
        self, store: Store, clock: Clock, host: str, record: HostRecord
    ) -> None:
        """Write `record` with the host's name as its key."""
        self._store = store
        self._clock = clock
        self._host = host
        self._record = record
        self._back_off = BackOff(None, RETRY_MS, MAX_ENTRY_RETRY_MS)
        self._renewal_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def renew(self) -> None:
        """Write the entry now instead of at the next scheduled renewal.

        Needed after the store was restored from an older copy, which may
        lack the entry.
        """
        self._renewal_requested.set()

    async def start(self, kernel: Kernel) -> None:
        """Write the entry and renew it in the background."""
        del kernel
        self._task = start_task(
            "entry in the list", self._keep_writing, self._clock
        )

    async def stop(self) -> None:
        """Stop renewing the entry, so that it expires."""
        await end_task(self._task)

    async def _keep_writing(self) -> None:
        while True:
            written_s = self._clock.now().timestamp()
            record = msgspec.structs.replace(self._record, written_s=written_s)
            try:
                await self._store.append(
                    HOSTS_TOPIC, self._host, msgspec.json.encode(record)
                )
            except StoreError:
                await self._clock.sleep(self._back_off.failed())
                continue
            self._back_off.succeeded()
            with suppress(TimeoutError):
                async with asyncio.timeout(HOST_RENEWAL_S):
                    await self._renewal_requested.wait()
            self._renewal_requested.clear()
