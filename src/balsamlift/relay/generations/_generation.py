"""Relay of one generation to its caller, resumed on other engines."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress

from loguru import logger
from tornado.iostream import StreamClosedError

from balsamlift.exceptions import (
    ResponseLimitError,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._exchange import Reply
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._request import Responder, Resume
from balsamlift.relay._response_limits import ByteLimitError
from balsamlift.relay.crashes import CRASH_THRESHOLD
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._events import EventError, EventSplitter
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._inbox import Inbox
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation
from balsamlift.relay.generations._move import Move
from balsamlift.relay.generations._repeat import Repeat
from balsamlift.relay.generations._resume_request import (
    resume_at,
    send_resume,
)
from balsamlift.relay.generations._stream_pace import StreamPace
from balsamlift.relay.generations._stream_stats import StreamStats

log = logger.bind(part="generations")

EVENT_US = 3.0  # estimated work for one event
# An engine that sends events does so several times as often.
LOST_SILENCE_S = 0.6
# An engine that crashes because of a generation does so as it begins.
SOUND_AFTER_S = 2.0


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
        repeat: Repeat | None = None,
    ) -> None:
        """Create a relay to `responder`; `relay` starts it.

        Without `repeat`, the request is not sent to another engine again.
        """
        self._context = context
        self._job = job
        self._responder = responder
        self._reservation = reservation
        self._backup = backup
        self._repeat = repeat
        self._splitter = EventSplitter(job.last_event)
        self._inbox = Inbox()
        self._read_task: asyncio.Task[None] | None = None
        self._reply: Reply | None = None
        self._move: Move | None = None
        self._lost_engines = 0
        self._is_carried = False  # by another host
        self._sound_at_s = math.inf  # once the engine has run it for so long
        self.stats = StreamStats(asyncio.get_running_loop().time())
        self._pace = StreamPace(context.paces, job.call.route.max_gap_ms)

    @property
    def upstream(self) -> Upstream | None:
        """Return the engine that currently runs the generation.

        Returns None if another host carries it, which looks after it.
        """
        if self._is_carried or self._reply is None:
            return None
        return self._reply.upstream

    def leave_engine(self) -> None:
        """Continue on another engine, as the current one is leaving."""
        self._inbox.signal("leaving")

    def check_links(self, is_unreached: Callable[[str], bool]) -> None:
        """Go on elsewhere if the engine stays silent and is not reached."""
        upstream = self.upstream
        if upstream is None:
            return
        last_event_s = self.stats.last_event_s

        def check() -> None:
            is_silent = self.stats.last_event_s == last_event_s
            if is_silent and is_unreached(upstream.pool):
                self._inbox.signal("unreached")

        loop = asyncio.get_running_loop()
        loop.call_at(last_event_s + LOST_SILENCE_S, check)

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
            if self._move is not None:
                await self._move.end()

    async def request_resume(
        self, upstream: Upstream, resume: Resume
    ) -> Reply | None:
        """Go on with a generation of another host; return its response."""
        self._splitter = EventSplitter(resume.last_event)
        self._backup.choose(upstream)
        with suppress(UpstreamUnreachableError):
            return await send_resume(
                self._context,
                self._job,
                upstream,
                resume.source,
                resume.last_event,
                self._backup.headers(),
            )
        return None

    # Reading from the current engine

    def _start_reading(self, reply: Reply) -> None:
        self._reply = reply
        self._sound_at_s = math.inf
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
                await self._inbox.put_chunk(chunk)
            if not self._is_carried:  # else the other host has checked it
                await self._context.exchange.confirm_end(reply)
        except UpstreamBrokenError as error:
            log.bind(
                request=self._job.request_id,
                upstream=reply.upstream.name,
                event=self._splitter.last_id,
            ).info("{}", error)
            self._inbox.signal("broken")
            self._judge(reply, error)
            self._check_crash(reply, had_output=had_output)
            return
        self._context.exchange.release_connection(reply.connection)
        self._inbox.signal("whole")

    def _check_crash(self, reply: Reply, *, had_output: bool) -> None:
        self._context.crash_guard.check_broken_call(
            self._job.call,
            reply.upstream,
            had_output=had_output,
            has_begun=True,
        )

    async def _relay(self) -> str:
        while True:
            item = await self._inbox.get()
            if isinstance(item, bytes):
                failure = await self._forward(item)
                if failure:
                    return self._fail(failure)
            elif item == "whole":
                if self._splitter.incomplete:
                    if await self._resume_cut_short():
                        continue
                    return self._fail("ended within an event")
                if await self._was_stopped():
                    if await self._resume_elsewhere():
                        continue
                    return self._fail("stopped for a move")
                self._responder.finish()
                self._context.crash_guard.record_completed(self._job.call)
                return "whole"
            elif item == "unreached":
                if not await self._resume_at_backup():
                    await self._repeat_elsewhere("engine not reached")
            elif item == "leaving":
                if self._is_carried:
                    continue
                if not await self._resume_at_backup():
                    self._start_move()
            elif not await self._resume_elsewhere():
                return self._fail("engine lost")

    async def _resume_cut_short(self) -> bool:
        """Resume after a response that ended within an event."""
        reply = self._reply
        if reply is None:
            return False
        if not reply.connection.is_ended_by_close:
            return await self._repeat_elsewhere("ended within an event")
        self._check_crash(reply, had_output=True)
        return await self._resume_elsewhere()

    async def _was_stopped(self) -> bool:
        """Return whether a move may have ended the response.

        One with neither a length nor chunks looks complete then. Waits for
        the engine's answer to the call that stops the run.
        """
        if self._move is None or self._reply is None:
            return False
        if not self._reply.connection.is_ended_by_close:
            return False
        return await self._move.may_have_stopped_run()

    async def _forward(self, data: bytes) -> str:
        """Write the events that are complete; return why that failed."""
        reply = self._reply
        assert reply is not None
        try:
            events = self._splitter.feed(data)
        except EventError as error:
            log.bind(request=self._job.request_id).warning("{}", error)
            return "events out of order"
        except ByteLimitError as error:
            self._judge(reply, reply.connection.break_off(error.form))
            return str(error)
        reply.connection.charge(self._splitter.fed_count * EVENT_US)
        if events:
            self._record_events()
            await self._responder.write(events)
            self._pace.is_delayed = not self._inbox.is_empty
        if not self._inbox.is_empty:
            await asyncio.sleep(0)  # others' turn
        return ""

    def _judge(self, reply: Reply, error: UpstreamBrokenError) -> None:
        """Let others' requests go elsewhere if an engine sent too much."""
        if isinstance(error, ResponseLimitError) and not self._is_carried:
            self._context.balancer.eject(reply.upstream.name)

    def _record_events(self) -> None:
        now_s = asyncio.get_running_loop().time()
        arrived_s = self._job.call.request.arrived_s
        self.stats.record(self._splitter.last_id + 1, now_s, arrived_s)
        self._pace.record(self.upstream, self.stats)
        self._sound_at_s = min(self._sound_at_s, now_s + SOUND_AFTER_S)
        if now_s >= self._sound_at_s:
            self._sound_at_s = math.inf
            self._context.crash_guard.record_run(self._job.call)

    def _fail(self, reason: str) -> str:
        self._stop_reading()
        self._responder.abort()
        return reason

    # Moving to another engine

    def _start_move(self) -> None:
        if not self._job.traits.can_move or self._move is not None:
            return
        self._move = Move(self._context, self._job, self._reservation.upstream)
        self._move.start()

    async def _resume_elsewhere(self) -> bool:
        """Resume where the memory is, after the current engine has ended."""
        copy = None if self._move is None else await self._move.finish()
        try:
            if copy is None:
                return await self._recover()
            source = f"{copy.source.address}/{copy.handle}"
            if await self._resume_at(copy.target, source):
                return True
            return await self._repeat_elsewhere("not resumed after a move")
        finally:
            self._give_up_move()

    async def _recover(self) -> bool:
        """Go on elsewhere unless too many engines were lost.

        The crash check has not finished yet, so each lost engine counts as
        crashed. This prevents one generation from crashing its backups in
        turn.
        """
        self._lost_engines += 1
        if self._lost_engines >= CRASH_THRESHOLD:
            return False
        if not self.stats.events and await self._has_crashed_engine():
            return False
        if await self._resume_at_backup():
            return True
        return await self._repeat_elsewhere("engine lost")

    async def _has_crashed_engine(self) -> bool:
        """Return whether the engine that was lost has crashed.

        A generation without any event is then the most likely cause.
        """
        upstream = self.upstream
        if upstream is None:
            return False
        return await self._context.crash_guard.has_crashed(upstream)

    async def _resume_at_backup(self) -> bool:
        """Resume at the backup engine; return whether that succeeded."""
        upstream = self._backup.take()
        if upstream is None:
            return False
        source = f"{upstream.address}/{self._job.request_id}"
        return await self._resume_at(upstream, source)

    async def _resume_at(self, upstream: Upstream, source: str) -> bool:
        resume = Resume(
            upstream=upstream.name,
            source=source,
            last_event=self._splitter.last_id,
        )
        resumed = await resume_at(
            self._context,
            self._job,
            upstream,
            resume,
            self._reservation,
            self._backup,
        )
        if resumed is None:
            return False
        self._context.metrics.count("generations.moved")
        self._go_on(resumed.reply, is_carried=resumed.is_carried)
        return True

    async def _repeat_elsewhere(self, reason: str) -> bool:
        """Send the request again, from its last whole event on."""
        if self._repeat is None or self._reply is None:
            return False
        repeated = await self._repeat.run(
            self._reply.upstream,
            self._splitter.last_id,
            self.stats.last_event_s,
            reason,
        )
        if repeated is None:
            return False
        repeated.replace(self._reservation, self._backup)
        self._go_on(repeated.reply, is_carried=repeated.is_carried)
        return True

    def _go_on(self, reply: Reply, *, is_carried: bool) -> None:
        """Relay the response of the next engine instead."""
        self.stats.moves += 1
        self._stop_reading()
        self._give_up_move()
        self._inbox = Inbox()  # the next engine repeats what it held
        self._is_carried = is_carried
        self._splitter = EventSplitter(self._splitter.last_id)
        self._start_reading(reply)
        if self._context.upstreams.is_leaving(reply.upstream.name):
            self.leave_engine()  # notified while it resumed

    def _give_up_move(self) -> None:
        move, self._move = self._move, None
        if move is not None:
            move.give_up()
