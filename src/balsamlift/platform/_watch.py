"""Follow the records of operators, upstreams and our own hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec
from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.exceptions import HostsUnavailableError
from balsamlift.kernel import Kernel
from balsamlift.peers import ListEntry
from balsamlift.platform._decode import (
    HostRecord,
    RecordError,
    decode_configuration,
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
from balsamlift.platform._store import (
    HistoryLostError,
    KeyedRecord,
    Store,
    StoreError,
)
from balsamlift.relay import Routing

log = logger.bind(part="store")

T = TypeVar("T")

# A read of the list waits this long at the store. A connection that has gone
# silent is noticed one second later.
UPSTREAMS_WAIT_MS = 1_000
# After a call that failed, and twice as long after each more. Calls that are
# refused are priced too.
RETRY_MS = 200.0
RETRY_MOST_MS = 800.0
# Hosts write their entry again well before others take it as gone.
HOST_RENEWAL_S = 15.0
HOST_LIFETIME_S = 60.0
HOSTS_POLL_S = 10.0


class Follower:
    """Keep the newest value of each key of one topic."""

    def __init__(self, store: Store, topic: str) -> None:
        """Begin with nothing read."""
        self._store = store
        self._topic = topic
        self._next: int | None = None
        self.values: dict[str, bytes] = {}

    async def read(self, wait_ms: int) -> bool:
        """Wait for news; tell whether there were any. Raise `StoreError`."""
        if self._next is None:
            return await self._read_newest()
        try:
            news = await self._store.read(self._topic, self._next, wait_ms)
        except HistoryLostError:
            log.bind(topic=self._topic, offset=self._next).info(
                "history is gone, reading the newest records"
            )
            return await self._read_newest()
        for record in news.records:
            self._take(record)
        self._next = news.end
        return bool(news.records)

    async def _read_newest(self) -> bool:
        newest = await self._store.newest(self._topic)
        self.values = {}
        for record in newest.records:
            self._take(record)
        self._next = newest.end
        return True

    def _take(self, record: KeyedRecord) -> None:
        if record.value is None:
            self.values.pop(record.key, None)
        else:
            self.values[record.key] = record.value


class ConfigurationWatch:
    """Offer each configuration that operators write."""

    name = "configuration_watch"

    def __init__(self, store: Store, clock: Clock, wait_ms: int) -> None:
        """Follow the topic of operators; a read waits for `wait_ms`."""
        self._follower = Follower(store, CONFIGURATION_TOPIC)
        self._clock = clock
        self._wait_ms = wait_ms
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
        wait_ms = self._wait_ms
        while True:
            try:
                await self._follower.read(wait_ms)
            except StoreError:
                # Logged by the store as it was lost. Until it answers again,
                # a read waits for nothing: one that is sent just before the
                # store comes back would be missed for as long as it may wait
                # (with 3 s, changes were in force 3 s late).
                wait_ms = 0
                await self._clock.sleep(self._back_off.failed())
                continue
            wait_ms = self._wait_ms
            self._back_off.succeeded()
            data = self._follower.values.get(CONFIGURATION_KEY)
            if data is not None:
                offer(self._routing, data, "store")
            else:
                await self._clock.sleep(RETRY_MS / 1_000)


def offer(routing: Routing, data: bytes, source: str) -> None:
    """Offer a configuration as operators wrote it."""
    if data == routing.encoded:
        return
    try:
        configuration = decode_configuration(data)
    except RecordError as error:
        log.bind(source=source).error("{}", error)
        return
    routing.offer(configuration, data, source)


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

    def __init__(self, store: Store, clock: Clock) -> None:
        """Follow both topics."""
        self._upstreams = Follower(store, UPSTREAMS_TOPIC)
        self._hosts = Follower(store, HOSTS_TOPIC)
        self._decoded_upstreams = _Decoded(decode_upstream)
        self._decoded_hosts = _Decoded(
            lambda key, data: (key, decode_host(data))
        )
        self._clock = clock
        self._wait_ms = UPSTREAMS_WAIT_MS
        self._hosts_due_s = 0.0
        self._hosts_back_off = BackOff(None, RETRY_MS, RETRY_MOST_MS)

    async def read(self) -> list[ListEntry] | None:
        """Return all entries, or None when nothing has changed."""
        try:
            changed = await self._upstreams.read(self._wait_ms)
        except StoreError as error:
            self._wait_ms = 0  # until it answers, see `ConfigurationWatch`
            raise HostsUnavailableError(error.message) from error
        self._wait_ms = UPSTREAMS_WAIT_MS
        changed |= await self._read_hosts()
        if not changed:
            return None
        upstreams = self._decoded_upstreams.update(self._upstreams.values)
        return [*upstreams, *self._host_entries()]

    async def _read_hosts(self) -> bool:
        """Read our own hosts when that is due; tell whether any changed.

        The store may serve one topic and not the other: without news of
        hosts, those of upstreams still count.
        """
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
            for key, record in self._decoded_hosts.update(self._hosts.values)
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
        self._back_off = BackOff(None, RETRY_MS, RETRY_MOST_MS)
        self._task: asyncio.Task[None] | None = None

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
            await self._clock.sleep(HOST_RENEWAL_S)
