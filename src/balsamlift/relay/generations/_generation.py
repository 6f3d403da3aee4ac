"""Relay of one generation to its caller, resumed on other engines."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Literal

import attrs
from loguru import logger
from tornado.iostream import StreamClosedError

from balsamlift._tasks import end_task
from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._exchange import Reply
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._request import Responder
from balsamlift.relay.crashes import CRASH_THRESHOLD
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._engines import MemoryCopy
from balsamlift.relay.generations._events import EventError, EventSplitter
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation
from balsamlift.relay.generations._move import Move

log = logger.bind(part="generations")

# Chunks of up to 64 KB buffered for a caller who does not read.
MAX_BUFFERED_CHUNKS = 8
# An engine admits a resumed generation before all other work; one that does
# not respond within this time will not take it.
RESUME_TIMEOUT_S = 1.0
# A generation that waits longer for a permit of its next engine would be late.
MAX_RESUME_WAIT_S = 0.5
# The response to the last copy arrives once the copy is complete.
COPY_TIMEOUT_S = 1.0

Signal = Literal["whole", "broken", "leaving"]


@attrs.define
class StreamStats:
    """Statistics of a generation as its caller saw it, for the log."""

    first_ms: int | None = None  # from arrival to the first forwarded event
    gap_ms: int = 0  # longest pause between events
    events: int = 0  # forwarded
    moves: int = 0


class Generation:
    """Relays the events of one generation, across engines if needed.

    The caller sees a single stream. Two engines never work on it at the
    same time: the next engine is asked only after the previous one has
    stopped, or the previous one is disconnected as soon as the next has
    taken over.
    """

    def __init__(
        self,
        context: GenerationContext,
        job: Job,
        responder: Responder,
        reservation: MemoryReservation,
        backup: Backup,
    ) -> None:
        """Create a relay to `responder`; `relay` starts it."""
        self._context = context
        self._job = job
        self._responder = responder
        self._reservation = reservation
        self._backup = backup
        self._splitter = EventSplitter()
        self._inbox: asyncio.Queue[bytes | Signal] = asyncio.Queue()
        self._buffer_slots = asyncio.Semaphore(MAX_BUFFERED_CHUNKS)
        self._read_task: asyncio.Task[None] | None = None
        self._reply: Reply | None = None
        self._move: Move | None = None
        self._move_task: asyncio.Task[MemoryCopy | None] | None = None
        self._last_event_s = asyncio.get_running_loop().time()
        self._lost_engines = 0
        self.stats = StreamStats()

    @property
    def upstream(self) -> Upstream | None:
        """Return the engine that currently runs the generation."""
        return self._reply.upstream if self._reply else None

    def leave_engine(self) -> None:
        """Continue on another engine, as the current one is leaving."""
        self._inbox.put_nowait("leaving")

    async def relay(self, reply: Reply) -> str:
        """Relay the response that starts with `reply`; return the outcome."""
        responder = self._responder
        self._start_reading(reply)
        head = reply.head
        try:
            await responder.start(
                head.status, head.reason, caller_headers(head.headers)
            )
            return await self._relay()
        except StreamClosedError:
            return "caller gone"
        finally:
            self._stop_reading()
            try:
                await end_task(self._move_task)
            finally:
                self._release_move()

    # Reading from the current engine

    def _start_reading(self, reply: Reply) -> None:
        self._reply = reply
        self._read_task = asyncio.create_task(self._read_body(reply))

    def _stop_reading(self) -> None:
        """Close the engine's connection unless its response has ended.

        This does not wait: a wait would be cancelled when the caller
        disconnects, and the engine would then run until the deadline.
        """
        read_task, self._read_task = self._read_task, None
        if read_task is None or read_task.done():
            return
        read_task.cancel()
        if self._reply is not None:
            self._reply.connection.close()

    async def _read_body(self, reply: Reply) -> None:
        had_output = False
        try:
            async for chunk in reply.connection.read_body(reply.head):
                had_output = True
                await self._buffer_slots.acquire()
                self._inbox.put_nowait(chunk)
        except UpstreamBrokenError as error:
            log.bind(
                request=self._job.request_id,
                upstream=reply.upstream.name,
                event=self._splitter.last_id,
            ).info("{}", error)
            self._inbox.put_nowait("broken")
            self._context.crash_guard.check_broken_call(
                self._job.call, reply.upstream, had_output=had_output
            )
            return
        self._context.exchange.release_connection(reply.connection)
        self._inbox.put_nowait("whole")

    async def _relay(self) -> str:
        while True:
            item = await self._inbox.get()
            if isinstance(item, bytes):
                self._buffer_slots.release()
                if not await self._forward(item):
                    return self._fail("events out of order")
            elif item == "whole":
                if self._splitter.incomplete:
                    return self._fail("ended within an event")
                self._responder.finish()
                self._context.crash_guard.record_completed(self._job.call)
                return "whole"
            elif item == "leaving":
                if not await self._resume_at_backup():
                    self._start_move()
            elif not await self._resume_elsewhere():
                return self._fail("engine lost")

    async def _forward(self, data: bytes) -> bool:
        try:
            events = self._splitter.feed(data)
        except EventError as error:
            log.bind(request=self._job.request_id).warning("{}", error)
            return False
        if events:
            self._record_events()
            await self._responder.write(events)
        return True

    def _record_events(self) -> None:
        self.stats.events = self._splitter.last_id + 1
        now_s = asyncio.get_running_loop().time()
        gap_ms = (now_s - self._last_event_s) * 1_000
        self._last_event_s = now_s
        if self.stats.first_ms is None:
            arrived_s = self._job.call.request.arrived_s
            self.stats.first_ms = round((now_s - arrived_s) * 1_000)
        else:
            self.stats.gap_ms = max(self.stats.gap_ms, round(gap_ms))

    def _fail(self, reason: str) -> str:
        self._stop_reading()
        self._responder.abort()
        return reason

    # Moving to another engine

    def _start_move(self) -> None:
        if not self._job.traits.can_move or self._move_task is not None:
            return
        self._move = Move(self._context, self._job, self._reservation.upstream)
        self._move_task = asyncio.create_task(self._move.run())

    async def _resume_elsewhere(self) -> bool:
        """Resume where the memory is, after the current engine has ended."""
        copy = await self._finish_move()
        try:
            if copy is None:
                return await self._recover()
            source = f"{copy.source.address}/{copy.handle}"
            return await self._resume_at(copy.target, source)
        finally:
            self._release_move()

    async def _recover(self) -> bool:
        """Resume at the backup unless too many engines were lost.

        The crash check has not finished yet, so each lost engine counts as
        crashed. This prevents one generation from crashing its backups in
        turn.
        """
        self._lost_engines += 1
        if self._lost_engines >= CRASH_THRESHOLD:
            return False
        return await self._resume_at_backup()

    def _release_move(self) -> None:
        if self._move is not None:
            self._move.release()

    async def _finish_move(self) -> MemoryCopy | None:
        """Return the copy for which the engine was stopped, or None.

        With None, the engine was lost and any move in progress has failed.
        """
        move_task, self._move_task = self._move_task, None
        if move_task is None:
            return None
        with suppress(TimeoutError):
            return await asyncio.wait_for(move_task, COPY_TIMEOUT_S)
        return None

    async def _resume_at_backup(self) -> bool:
        """Resume at the backup engine; return whether that succeeded."""
        upstream = self._backup.take()
        if upstream is None:
            return False
        source = f"{upstream.address}/{self._job.request_id}"
        return await self._resume_at(upstream, source)

    async def _resume_at(self, upstream: Upstream, source: str) -> bool:
        before = self._reservation.upstream
        self._backup.choose(upstream)
        reply = await self._request_resume(upstream, source)
        log.bind(
            request=self._job.request_id,
            upstream=before.name,
            target=upstream.name,
            event=self._splitter.last_id,
            source=source,
        ).info("resumed on another engine" if reply else "could not resume")
        if reply is None:
            self._backup.release()
            return False
        self.stats.moves += 1
        self._context.metrics.count("generations.moved")
        self._stop_reading()
        self._discard_buffered()
        self._reservation.move(upstream)
        self._splitter = EventSplitter(self._splitter.last_id)
        self._start_reading(reply)
        if self._context.upstreams.is_leaving(upstream.name):
            self.leave_engine()  # notified while it resumed
        return True

    def _discard_buffered(self) -> None:
        """Drop chunks of the previous engine, which the next one repeats."""
        self._inbox = asyncio.Queue()
        self._buffer_slots = asyncio.Semaphore(MAX_BUFFERED_CHUNKS)

    async def _may_resume_at(self, upstream: str) -> bool:
        """Return whether an engine takes a resumed generation in time.

        This waits for the end of a short time without requests.
        """
        retry_after = self._context.retry_after
        if retry_after.take_resume(upstream):
            return True
        wait_s = retry_after.wait_s(upstream)
        if wait_s > MAX_RESUME_WAIT_S:
            return False
        await asyncio.sleep(wait_s)
        return True

    async def _request_resume(
        self, upstream: Upstream, source: str
    ) -> Reply | None:
        if self._context.crash_guard.is_culprit(self._job.call):
            return None
        if self._context.upstreams.is_in_evacuation(upstream):
            return None
        names = self._context.names
        extra = [(names.resume_source, source), *self._backup.headers()]
        if self._splitter.last_id >= 0:
            extra.append((names.last_event_id, str(self._splitter.last_id)))
        if not await self._may_resume_at(upstream.name):
            return None
        permit = await self._context.permits.acquire(
            upstream.name, max_wait_s=MAX_RESUME_WAIT_S, is_resumed=True
        )
        if not permit.is_granted:
            return None
        await asyncio.sleep(permit.wait_s)
        # This is the same execution, stopped on one engine and resumed on
        # the other, so it is not tracked as a second send of the request.
        attempt = Attempt(is_idempotent=False)
        self._context.balancer.record_send(upstream)
        with suppress(
            UpstreamUnreachableError, UpstreamBrokenError, TimeoutError
        ):
            async with asyncio.timeout(RESUME_TIMEOUT_S):
                reply = await self._context.exchange.send(
                    self._job.call,
                    attempt,
                    upstream,
                    extra,
                    path="resumed",
                )
            if reply.is_success:
                return reply
            reply.connection.close()
        return None
