"""One generation: from its first upstream to its last event."""

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
from balsamlift.relay._backup import Backup
from balsamlift.relay._culprits import CRASH_THRESHOLD
from balsamlift.relay._engines import Copy
from balsamlift.relay._events import EventError, EventSplitter
from balsamlift.relay._exchange import Reply
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._job import Job
from balsamlift.relay._memory_allocator import MemoryReservation
from balsamlift.relay._move import Move
from balsamlift.relay._request import Responder
from balsamlift.relay._tools import Tools

log = logger.bind(part="generations")

# Parts of an answer that wait for a caller who does not read, 64 KB each.
PARTS_AHEAD = 8
# An engine admits what goes on from a copy before all else; one that does
# not answer within this time will not take it.
RESUME_S = 1.0
# The answer to the last copy comes when it is done.
COPY_ANSWER_S = 1.0

Signal = Literal["whole", "broken", "leaving"]


@attrs.define
class Course:
    """Hold what a caller saw of a generation, for the log."""

    first_ms: int | None = None  # until the first event was passed on
    gap_ms: int = 0  # the longest pause between events
    events: int = 0  # passed on
    moves: int = 0


class Generation:
    """Relay the events of one generation, over as many engines as it takes.

    The caller sees one stream. Never do two engines work on it: the next
    one is asked only after the one before has stopped, or is left at once
    when the next has taken over.
    """

    def __init__(
        self,
        tools: Tools,
        job: Job,
        responder: Responder,
        holding: MemoryReservation,
        backup: Backup,
    ) -> None:
        """Prepare to relay to `responder`."""
        self._tools = tools
        self._job = job
        self._responder = responder
        self._holding = holding
        self._backup = backup
        self._splitter = EventSplitter()
        self._inbox: asyncio.Queue[bytes | Signal] = asyncio.Queue()
        self._room = asyncio.Semaphore(PARTS_AHEAD)
        self._pump: asyncio.Task[None] | None = None
        self._reply: Reply | None = None
        self._move: Move | None = None
        self._moving: asyncio.Task[Copy | None] | None = None
        self._seen_s = asyncio.get_running_loop().time()
        self._lost_engines = 0
        self.course = Course()

    @property
    def upstream(self) -> Upstream | None:
        """Return the engine at work on it."""
        return self._reply.upstream if self._reply else None

    def leave(self) -> None:
        """Go on at another engine, as this one is leaving."""
        self._inbox.put_nowait("leaving")

    async def relay(self, reply: Reply) -> str:
        """Relay the answer that `reply` begins; return the outcome."""
        responder = self._responder
        self._begin(reply)
        head = reply.head
        try:
            await responder.start(
                head.status, head.reason, caller_headers(head.headers)
            )
            return await self._relay()
        except StreamClosedError:
            return "caller gone"
        finally:
            self._end_pump()
            try:
                await end_task(self._moving)
            finally:
                self._release_claim()

    # Reading from the engine at work

    def _begin(self, reply: Reply) -> None:
        self._reply = reply
        self._pump = asyncio.create_task(self._keep_pumping(reply))

    def _end_pump(self) -> None:
        """Close the engine's connection, unless it ended by itself.

        Nothing is waited for: the caller's leaving cancels waits, and the
        engine would stay at work until the deadline.
        """
        pump, self._pump = self._pump, None
        if pump is None or pump.done():
            return
        pump.cancel()
        if self._reply is not None:
            self._reply.connection.close()

    async def _keep_pumping(self, reply: Reply) -> None:
        has_output = False
        try:
            async for part in reply.connection.read_body(reply.head):
                has_output = True
                await self._room.acquire()
                self._inbox.put_nowait(part)
        except UpstreamBrokenError as error:
            log.bind(
                request=self._job.request_id,
                upstream=reply.upstream.name,
                event=self._splitter.last_id,
            ).info("{}", error)
            self._inbox.put_nowait("broken")
            self._tools.crash_guard.check_broken_call(
                self._job.call, reply.upstream, had_output=has_output
            )
            return
        self._tools.exchange.give_back(reply.connection)
        self._inbox.put_nowait("whole")

    async def _relay(self) -> str:
        while True:
            item = await self._inbox.get()
            if isinstance(item, bytes):
                self._room.release()
                if not await self._pass_on(item):
                    return self._fail("events out of order")
            elif item == "whole":
                if self._splitter.rest:
                    return self._fail("ended within an event")
                self._responder.finish()
                self._tools.crash_guard.record_completed(self._job.call)
                return "whole"
            elif item == "leaving":
                if not await self._go_on_at_backup():
                    self._start_moving()
            elif not await self._go_on():
                return self._fail("engine lost")

    async def _pass_on(self, data: bytes) -> bool:
        try:
            events = self._splitter.feed(data)
        except EventError as error:
            log.bind(request=self._job.request_id).warning("{}", error)
            return False
        if events:
            self._note_events()
            await self._responder.write(events)
        return True

    def _note_events(self) -> None:
        self.course.events = self._splitter.last_id + 1
        now_s = asyncio.get_running_loop().time()
        gap_ms = (now_s - self._seen_s) * 1_000
        self._seen_s = now_s
        if self.course.first_ms is None:
            arrived_s = self._job.call.request.arrived_s
            self.course.first_ms = round((now_s - arrived_s) * 1_000)
        else:
            self.course.gap_ms = max(self.course.gap_ms, round(gap_ms))

    def _fail(self, reason: str) -> str:
        self._end_pump()
        self._responder.abort()
        return reason

    # Moving to another engine

    def _start_moving(self) -> None:
        if not self._job.traits.can_move or self._moving is not None:
            return
        self._move = Move(self._tools, self._job, self._holding.upstream)
        self._moving = asyncio.create_task(self._move.run())

    async def _go_on(self) -> bool:
        """Go on where the memory is, after the engine at work has ended."""
        copy = await self._end_moving()
        try:
            if copy is None:
                return await self._recover()
            source = f"{copy.source.address}/{copy.handle}"
            return await self._go_on_at(copy.target, source)
        finally:
            self._release_claim()

    async def _recover(self) -> bool:
        """Go on at the backup unless too many engines were lost.

        The crash check has not finished yet, so each lost engine counts as
        crashed. Prevents one generation from crashing its backups in turn.
        """
        self._lost_engines += 1
        if self._lost_engines >= CRASH_THRESHOLD:
            return False
        return await self._go_on_at_backup()

    def _release_claim(self) -> None:
        if self._move is not None:
            self._move.release()

    async def _end_moving(self) -> Copy | None:
        """Return the copy for which the engine was stopped, if it was.

        Else the engine was lost, and a move under way comes to nothing.
        """
        moving, self._moving = self._moving, None
        if moving is None:
            return None
        with suppress(TimeoutError):
            return await asyncio.wait_for(moving, COPY_ANSWER_S)
        return None

    async def _go_on_at_backup(self) -> bool:
        """Go on at the engine that was sent the memory as it grew."""
        upstream = self._backup.take()
        if upstream is None:
            return False
        source = f"{upstream.address}/{self._job.request_id}"
        return await self._go_on_at(upstream, source)

    async def _go_on_at(self, upstream: Upstream, source: str) -> bool:
        before = self._holding.upstream
        self._backup.choose(upstream)
        reply = await self._resume(upstream, source)
        log.bind(
            request=self._job.request_id,
            upstream=before.name,
            target=upstream.name,
            event=self._splitter.last_id,
            source=source,
        ).info("went on" if reply else "could not go on")
        if reply is None:
            self._backup.release()
            return False
        self.course.moves += 1
        self._tools.metrics.count("generations.moved")
        self._end_pump()
        self._forget_parts()
        self._holding.move(upstream)
        self._splitter = EventSplitter(self._splitter.last_id)
        self._begin(reply)
        return True

    def _forget_parts(self) -> None:
        """Drop what came from the engine before: the next one repeats it."""
        self._inbox = asyncio.Queue()
        self._room = asyncio.Semaphore(PARTS_AHEAD)

    async def _resume(self, upstream: Upstream, source: str) -> Reply | None:
        if self._tools.crash_guard.is_culprit(self._job.call):
            return None
        if self._tools.upstreams.is_in_evacuation(upstream):
            return None
        names = self._tools.names
        extra = [(names.resume_source, source), *self._backup.headers()]
        if self._splitter.last_id >= 0:
            extra.append((names.last_event_id, str(self._splitter.last_id)))
        # It is the same run: it stops at the one engine as it goes on at
        # the other.
        attempt = Attempt(is_idempotent=False)
        self._tools.balancer.record_send(upstream)
        with suppress(
            UpstreamUnreachableError, UpstreamBrokenError, TimeoutError
        ):
            async with asyncio.timeout(RESUME_S):
                reply = await self._tools.exchange.send(
                    self._job.call, attempt, upstream, extra
                )
            if reply.is_success:
                return reply
            reply.connection.close()
        return None
