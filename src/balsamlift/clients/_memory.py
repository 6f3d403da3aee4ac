"""One account of the memory that clients make a process hold."""

from __future__ import annotations

import asyncio
import gc
import math
from collections import Counter
from typing import Protocol

from loguru import logger

from balsamlift._allocator import trim_heap
from balsamlift.clients._errors import ClientMemoryError
from balsamlift.clients._limits import ClientLimits
from balsamlift.clock import Clock, SystemClock

log = logger.bind(part="clients")

# Of one connection without a request: its objects, and what its socket may
# receive unread.
CONNECTION_BYTES = 40_960
# Of a parsed header line, as an object.
HEADER_BYTES = 1_024
# A client that has moved fewer bytes for so long has stalled.
STALLED_S, STALLED_BYTES = 1.0, 16_384
# A request leaves so much free for smaller ones: some times its own size, and
# at most this part of the limit.
HEADROOM_REQUESTS, HEADROOM_DIVISOR = 8, 4
# Interval between checks for memory that an answer waits for.
WAIT_INTERVAL_S = 0.02
TRIM_INTERVAL_S = 0.1
# Objects of a closed connection refer to each other, and stay until a garbage
# collection; those of old objects are rare by themselves.
COLLECTED_CONNECTIONS = 500


class Holder(Protocol):
    """A connection whose memory is counted."""

    @property
    def is_sending(self) -> bool:
        """Return whether its client has not read all that was written."""

    @property
    def is_ending(self) -> bool:
        """Return whether its last request was refused."""

    def evict(self) -> None:
        """Refuse its request, or close it; a second call closes it."""


class ClientMemory:
    """Limit the memory and the connections of all clients together.

    Where they need more, a client that has stalled is evicted, and else the
    last that began, unless it has less than an equal share: large requests
    give way, and small ones never do. Where connections are short, the
    listener with most of them gives way to others. Requests that run are not
    evicted before their answers are written.
    """

    def __init__(
        self, limits: ClientLimits | None = None, clock: Clock | None = None
    ) -> None:
        """Start without clients; `limits` defaults to `ClientLimits()`."""
        self._limits = limits or ClientLimits()
        self.clock = clock or SystemClock()
        self.waiting = asyncio.Lock()  # of answers, first come first served
        self._has_evicted = False  # since there was no client
        self._trimmed_s = -math.inf
        self._closed = 0  # connections since a collection
        self._held_bytes = 0
        self._holdings: set[Holding] = set()

    @property
    def held_bytes(self) -> int:
        """Return the memory of all clients."""
        return self._held_bytes

    @property
    def max_request_bytes(self) -> int:
        """Return the size from which on no request has room."""
        limit_bytes = self._limits.memory_bytes
        return limit_bytes - limit_bytes // HEADROOM_DIVISOR - CONNECTION_BYTES

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._holdings)

    def open(self, listener: str = "") -> Holding:
        """Count a new connection; raise `ClientMemoryError` if it is full.

        `listener` is the name of the address that it came to.
        """
        while len(self._holdings) >= self._limits.connections:
            self._evict_for(listener, 0)
        while self._is_short(CONNECTION_BYTES, CONNECTION_BYTES):
            self._evict_for(listener, CONNECTION_BYTES)
        holding = Holding(self, listener)
        self._holdings.add(holding)
        self._held_bytes += holding.size_bytes
        return holding

    def make_room(self, holding: Holding, count: int) -> bool:
        """Evict others until a holding may grow; return whether it may."""
        while self._is_short(holding.size_bytes + count, count):
            victim = self._find_victim(holding.size_bytes + count)
            if victim is None or victim is holding:
                return False
            self._evict(victim)
        return True

    def add(self, count: int) -> None:
        """Count bytes that a holding has more, or less."""
        self._held_bytes += count

    def remove(self, holding: Holding) -> None:
        """Count a connection no more."""
        self._holdings.discard(holding)
        self._closed += 1
        if self._has_evicted:
            self._collect()
            self._trim()

    def _is_short(self, size_bytes: int, count: int) -> bool:
        """Return whether one of that size may not have `count` more."""
        limit_bytes = self._limits.memory_bytes
        headroom_bytes = min(
            size_bytes * HEADROOM_REQUESTS, limit_bytes // HEADROOM_DIVISOR
        )
        return self._held_bytes + count > limit_bytes - headroom_bytes

    def _share_bytes(self) -> float:
        return self._limits.memory_bytes / max(len(self._holdings), 1)

    def _find_victim(self, size_bytes: int) -> Holding | None:
        """Return who gives way to one that will have that size."""
        share_bytes = self._share_bytes()
        stalled = self._find_stalled(min(share_bytes, size_bytes))
        if stalled is not None:
            return stalled
        arriving = [
            each
            for each in self._holdings
            if not each.is_running and each.size_bytes >= share_bytes
        ]
        return max(arriving, key=lambda each: each.begun_s, default=None)

    def _find_stalled(self, min_bytes: float) -> Holding | None:
        """Return a refused one, or that which has held most for longest."""
        now_s = self.clock.monotonic()
        stalled = [
            each
            for each in self._holdings
            if each.size_bytes >= min_bytes and each.has_stalled(now_s)
        ]
        return max(
            stalled,
            key=lambda each: (each.is_ending, each.idle_byte_s(now_s)),
            default=None,
        )

    def _evict_for(self, listener: str, min_bytes: float) -> None:
        """Evict a client, so that another may connect to that listener."""
        victim = self._find_stalled(min_bytes)
        victim = victim or self._find_at_larger(listener)
        if victim is None:
            log.bind(
                held_bytes=self._held_bytes, connections=len(self._holdings)
            ).info("closed a new connection")
            raise ClientMemoryError("too many clients")
        self._evict(victim)

    def _find_at_larger(self, listener: str) -> Holding | None:
        """Return the one that is idle for longest at the largest listener.

        None if that has no more connections than the given one.
        """
        counts = Counter(each.listener for each in self._holdings)
        largest, count = counts.most_common(1)[0]
        if count <= counts[listener] + 1:
            return None
        now_s = self.clock.monotonic()
        idle = [
            each
            for each in self._holdings
            if each.listener == largest and not each.is_running
        ]
        return max(idle, key=lambda each: each.idle_s(now_s), default=None)

    def _evict(self, holding: Holding) -> None:
        log.bind(
            size_bytes=holding.size_bytes,
            idle_ms=round(holding.idle_s(self.clock.monotonic()) * 1_000),
            held_bytes=self._held_bytes,
            connections=len(self._holdings),
        ).info("evicted a client")
        size_bytes = holding.size_bytes
        holding.evict()
        self._has_evicted = True
        self._trim()
        if holding.size_bytes == size_bytes:  # it was refused before
            holding.close()

    def _collect(self) -> None:
        """Free what closed connections have left."""
        if self._closed >= COLLECTED_CONNECTIONS:
            self._closed = 0
            gc.collect()

    def _trim(self) -> None:
        """Return what evicted clients have left between blocks in use."""
        now_s = self.clock.monotonic()
        if now_s - self._trimmed_s >= TRIM_INTERVAL_S:
            self._trimmed_s = now_s
            self._has_evicted = bool(self._holdings)
            trim_heap()


class Holding:
    """What one connection holds, until it is closed."""

    def __init__(self, memory: ClientMemory, listener: str = "") -> None:
        """Start with an idle connection of that listener."""
        self._memory = memory
        self.listener = listener
        self._holder: Holder | None = None
        self._is_open = True
        self._new_bytes = 0  # moved since it was last found to move
        self.size_bytes = CONNECTION_BYTES
        self.is_running = False  # its request is being handled
        self.begun_s = self._moved_s = memory.clock.monotonic()

    def attach(self, holder: Holder) -> None:
        """Evict this connection when others need its memory."""
        self._holder = holder

    @property
    def max_request_bytes(self) -> int:
        """Return the size from which on no request has room."""
        return self._memory.max_request_bytes

    def make_room(self, count: int) -> bool:
        """Return whether it may have that many bytes more."""
        return not self._is_open or self._memory.make_room(self, count)

    def take(self, count: int) -> None:
        """Count bytes more; raise `ClientMemoryError` without memory."""
        if not self.make_room(count):
            raise ClientMemoryError("too many clients")
        self.add(count)

    async def wait_and_take(self, count: int) -> None:
        """Count bytes more once there is memory for them.

        Those that wait go on in the order in which they came.
        """
        if not self.make_room(count):
            async with self._memory.waiting:
                while not self.make_room(count):
                    await self._memory.clock.sleep(WAIT_INTERVAL_S)
        self.add(count)

    def add(self, count: int) -> None:
        """Count bytes more, or less."""
        self.size_bytes += count
        if self._is_open:
            self._memory.add(count)

    def record_move(self, count: int) -> None:
        """Record bytes that its client has sent or read."""
        if self.size_bytes == CONNECTION_BYTES:
            self.begun_s = self._moved_s = self._memory.clock.monotonic()
        self._new_bytes += count
        if self._new_bytes >= STALLED_BYTES:
            self._new_bytes = 0
            self._moved_s = self._memory.clock.monotonic()

    def run(self, size_bytes: int) -> None:
        """Keep that much while its request, which is read, is handled."""
        self.is_running = True
        self.add(CONNECTION_BYTES + size_bytes - self.size_bytes)

    def reset(self, unread_bytes: int = 0) -> None:
        """Expect the next request, of which some bytes may be read."""
        self.is_running = False
        self._new_bytes = 0
        self.begun_s = self._moved_s = self._memory.clock.monotonic()
        self.add(CONNECTION_BYTES + unread_bytes - self.size_bytes)

    def close(self) -> None:
        """Count it no more."""
        if self._is_open:
            self.add(-self.size_bytes)
            self._is_open = False
            self._memory.remove(self)

    def idle_s(self, now_s: float) -> float:
        """Return for how long it has not moved."""
        return now_s - self._moved_s

    def idle_byte_s(self, now_s: float) -> float:
        """Return how much it has held for how long without a move."""
        return self.size_bytes * self.idle_s(now_s)

    def has_stalled(self, now_s: float) -> bool:
        """Return whether its client neither sends nor reads."""
        if self._holder is None:
            return False
        if self.is_ending:
            return True
        if self.is_running and not self._holder.is_sending:
            return False
        return self.idle_s(now_s) >= STALLED_S

    @property
    def is_ending(self) -> bool:
        """Return whether its last request was refused."""
        return self._holder is not None and self._holder.is_ending

    def evict(self) -> None:
        """Give its memory to others."""
        if self._holder is not None:
            self._holder.evict()
