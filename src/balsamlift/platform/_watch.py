"""Follow the records of operators, upstreams and our own hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Generic, TypeVar

import msgspec
from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._tasks import end_task
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

# After a call that failed, and twice as long after each more. Calls that are
# refused are priced too.
RETRY_MS = 200.0
RETRY_MOST_MS = 800.0
# An entry can wait: a host that starts meanwhile finds others, or us by them.
ENTRY_RETRY_MOST_MS = 4_000.0
# Hosts tell one another who lives: an entry only has to lead one that starts
# to some host that does. It is written anew after a third of its life.
HOST_RENEWAL_S = 200.0
HOST_LIFETIME_S = 600.0
HOSTS_POLL_S = 10.0


class ConfigurationWatch:
    """Offer each configuration and evacuation that operators write."""

    name = "configuration_watch"

    def __init__(
        self,
        store: Store,
        clock: Clock,
        pace: FreshnessLimits,
        evacuations: Evacuations,
    ) -> None:
        """Follow the topic of operators at that pace."""
        self._evacuations = evacuations
        self.follower = Follower(store, CONFIGURATION_TOPIC, clock, pace)
        self._clock = clock
        self._back_off = BackOff(None, RETRY_MS, RETRY_MOST_MS)
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Begin to follow."""
        self._routing = kernel.find("routing", Routing)
        self._task = asyncio.create_task(self._keep_reading())

    async def stop(self) -> None:
        """End following."""
        await end_task(self._task)

    async def _keep_reading(self) -> None:
        wait_ms: int | None = None
        while True:
            try:
                await self.follower.follow(wait_ms)
            except StoreError:
                # Logged by the store as it was lost. Until it answers again,
                # a read waits for nothing: one that is sent just before the
                # store comes back would be missed for as long as it may wait.
                wait_ms = 0
                await self._clock.sleep(self._back_off.failed())
                continue
            wait_ms = None
            self._back_off.succeeded()
            values = self.follower.values()
            self._offer_evacuations(values)
            data = values.get(CONFIGURATION_KEY)
            if data is not None:
                offer(self._routing, data, "store")
            else:
                await self._clock.sleep(RETRY_MS / 1_000)

    def _offer_evacuations(self, values: dict[str, bytes]) -> None:
        if self.follower.end is not None:
            domains = decode_evacuations(values)
            news = EvacuationSnapshot(
                self.follower.end, domains, self.follower.era
            )
            self._evacuations.offer(news, "store", age_ms=0)


def offer(routing: Routing, data: bytes, source: str) -> None:
    """Offer a configuration as operators wrote it."""
    if data == routing.encoded:
        return
    began_s = routing.clock.monotonic()
    try:
        configuration = decode_configuration(data)
    except RecordError as error:
        log.bind(source=source).error("{}", error)
        return
    took_s = routing.clock.monotonic() - began_s
    decode_ms = round(took_s * 1_000, 1)
    routing.offer(configuration, data, source, decode_ms)


class _Decoded(Generic[T]):
    """Decode each value once, however often the list is read."""

    def __init__(self, decode: Callable[[str, bytes], T]) -> None:
        """Decode with `decode`, which raises `RecordError`."""
        self._decode = decode
        self._read: dict[str, tuple[bytes, T | None]] = {}

    def update(self, values: dict[str, bytes]) -> list[T]:
        """Return what the values say, without those that say nothing."""
        self._read = {
            key: self._look(key, data) for key, data in values.items()
        }
        return [item for _, item in self._read.values() if item is not None]

    def _look(self, key: str, data: bytes) -> tuple[bytes, T | None]:
        before = self._read.get(key)
        if before is not None and before[0] == data:
            return before
        try:
            return data, self._decode(key, data)
        except RecordError as error:
            log.bind(key=key[:80], size_bytes=len(data)).error("{}", error)
            return data, None


class UpstreamsSource:
    """Read upstreams and our own hosts from the store, as one list."""

    def __init__(
        self, store: Store, clock: Clock, pace: FreshnessLimits
    ) -> None:
        """Follow both topics; upstreams at that pace."""
        self.upstreams = Follower(store, UPSTREAMS_TOPIC, clock, pace)
        self._hosts = Follower(store, HOSTS_TOPIC, clock, pace)
        self._decoded_upstreams = _Decoded(decode_upstream)
        self._decoded_hosts = _Decoded(
            lambda key, data: (key, decode_host(data))
        )
        self._clock = clock
        self._wait_ms: int | None = None
        self._hosts_due_s = 0.0
        self._hosts_back_off = BackOff(None, RETRY_MS, RETRY_MOST_MS)

    async def read(self) -> list[ListEntry] | None:
        """Return all entries, or None when nothing has changed."""
        try:
            changed = await self.upstreams.follow(self._wait_ms)
        except StoreError as error:
            self._wait_ms = 0  # until it answers, see `ConfigurationWatch`
            raise HostsUnavailableError(error.message) from error
        self._wait_ms = None
        changed |= await self._read_hosts()
        if not changed:
            return None
        upstreams = self._decoded_upstreams.update(self.upstreams.values())
        return [*upstreams, *self._host_entries()]

    async def _read_hosts(self) -> bool:
        """Read our own hosts when that is due; tell whether any changed.

        The store may serve one topic and not the other: without news of
        hosts, those of upstreams still count. Hosts tell one another who
        they are: of many, only those that read for all look for hosts that
        no other has heard of.
        """
        is_known = self._hosts.end is not None
        if is_known and not self.upstreams.is_reader:
            return False
        if self._clock.monotonic() < self._hosts_due_s:
            return False
        try:
            changed = await self._hosts.read(0)
        except StoreError:
            # Logged by the store as it was lost.
            pause_s = self._hosts_back_off.failed()
            self._hosts_due_s = self._clock.monotonic() + pause_s
            return False
        self._hosts_back_off.succeeded()
        self._hosts_due_s = self._clock.monotonic() + HOSTS_POLL_S
        return changed

    def _host_entries(self) -> list[ListEntry]:
        oldest_s = self._clock.now().timestamp() - HOST_LIFETIME_S
        return [
            host_entry(key, record)
            for key, record in self._decoded_hosts.update(self._hosts.values())
            if record.written_s >= oldest_s
        ]


class HostRegistration:
    """Write this host's entry, so that the others find it."""

    name = "host_registration"

    def __init__(
        self, store: Store, clock: Clock, host: str, record: HostRecord
    ) -> None:
        """Write `record` under the host's name."""
        self._store = store
        self._clock = clock
        self._host = host
        self._record = record
        self._back_off = BackOff(None, RETRY_MS, ENTRY_RETRY_MOST_MS)
        self._renewal_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def renew(self) -> None:
        """Write the entry without waiting for the next renewal.

        A restore of the store from an older copy can lose the entry.
        """
        self._renewal_requested.set()

    async def start(self, kernel: Kernel) -> None:
        """Write the entry and keep it fresh."""
        del kernel
        self._task = asyncio.create_task(self._keep_writing())

    async def stop(self) -> None:
        """Let the entry expire."""
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
