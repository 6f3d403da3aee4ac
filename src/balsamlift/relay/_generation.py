"""One generation: from its first upstream to its last event."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from contextlib import suppress
from typing import Literal

import attrs
from loguru import logger
from tornado.iostream import StreamClosedError

from balsamlift._tasks import end_task
from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._backup import Backup
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._engines import Copy, CopyRefusedError
from balsamlift.relay._evacuation import wait_s
from balsamlift.relay._events import EventError, EventSplitter
from balsamlift.relay._exchange import Reply
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._needs import Need
from balsamlift.relay._request import Call, Responder
from balsamlift.relay._rooms import Holding
from balsamlift.relay._tools import Tools

log = logger.bind(part="generations")

# Parts of an answer that wait for a caller who does not read, 64 KB each.
PARTS_AHEAD = 8
# An engine admits what goes on from a copy before all else; one that does
# not answer within this time will not take it.
RESUME_S = 1.0
# Between two reports of an engine that leaves; they lag by some 100 ms, and
# each is priced.
LOOK_AGAIN_S = 0.25
# A generation is stopped for its last copy after one that took no longer than
# this, which tells that the link is free: callers take a pause of up to 180 ms
# as in time, and the first copy of a report takes 220 to 450 ms.
QUICK_COPY_S = 0.06
# An engine is gone 1.5 s or more after its notice: the stop is by then.
STOP_BY_S = 1.1
# The answer to the last copy comes when it is done: 0.5 s after the stop,
# where the link is shared with copies of others.
COPY_ANSWER_S = 1.0
# Between two tries to move a generation off an engine that leaves.
MOVE_AGAIN_S = 0.15
Signal = Literal["whole", "broken", "leaving"]


@attrs.define
class Course:
    """Hold what a caller saw of a generation, for the log."""

    first_ms: int | None = None  # until the first event was passed on
    gap_ms: int = 0  # the longest pause between events
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
        call: Call,
        need: Need,
        traits: EngineTraits,
        responder: Responder,
        holding: Holding,
        backup: Backup,
    ) -> None:
        """Prepare to relay to `responder`."""
        self._tools = tools
        self._call = call
        self._need = need
        self._traits = traits
        self._responder = responder
        self._holding = holding
        self._backup = backup
        self._splitter = EventSplitter()
        self._inbox: asyncio.Queue[bytes | Signal] = asyncio.Queue()
        self._room = asyncio.Semaphore(PARTS_AHEAD)
        self._pump: asyncio.Task[None] | None = None
        self._reply: Reply | None = None
        self._moving: asyncio.Task[Copy | None] | None = None
        self._stop_by_s = 0.0
        self._seen_s = asyncio.get_running_loop().time()
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
            await end_task(self._moving)
            await self._end_pump()

    # Reading from the engine at work

    def _begin(self, reply: Reply) -> None:
        self._reply = reply
        self._pump = asyncio.create_task(self._keep_pumping(reply))

    async def _end_pump(self) -> None:
        """Close the engine's connection, unless it ended by itself."""
        pump, self._pump = self._pump, None
        if pump is None:
            return
        is_over = pump.done()
        await end_task(pump)
        if self._reply is not None and not is_over:
            self._reply.connection.close()

    async def _keep_pumping(self, reply: Reply) -> None:
        try:
            async for part in reply.connection.read_body(reply.head):
                await self._room.acquire()
                self._inbox.put_nowait(part)
        except UpstreamBrokenError as error:
            log.bind(
                request=self._call.request_id,
                upstream=reply.upstream.name,
                event=self._splitter.last_id,
            ).info("{}", error)
            self._inbox.put_nowait("broken")
            return
        self._tools.exchange.give_back(reply.connection)
        self._inbox.put_nowait("whole")

    async def _relay(self) -> str:
        while True:
            item = await self._inbox.get()
            if isinstance(item, bytes):
                self._room.release()
                if not await self._pass_on(item):
                    return await self._fail("events out of order")
            elif item == "whole":
                if self._splitter.rest:
                    return await self._fail("ended within an event")
                self._responder.finish()
                return "whole"
            elif item == "leaving":
                if not await self._go_on_at_backup():
                    self._start_moving()
            elif not await self._go_on():
                return await self._fail("engine lost")

    async def _pass_on(self, data: bytes) -> bool:
        try:
            events = self._splitter.feed(data)
        except EventError as error:
            log.bind(request=self._call.request_id).warning("{}", error)
            return False
        if events:
            self._note_events()
            await self._responder.write(events)
        return True

    def _note_events(self) -> None:
        now_s = asyncio.get_running_loop().time()
        gap_ms = (now_s - self._seen_s) * 1_000
        self._seen_s = now_s
        if self.course.first_ms is None:
            arrived_s = self._call.request.arrived_s
            self.course.first_ms = round((now_s - arrived_s) * 1_000)
        else:
            self.course.gap_ms = max(self.course.gap_ms, round(gap_ms))

    async def _fail(self, reason: str) -> str:
        await self._end_pump()
        self._responder.abort()
        return reason

    # Moving to another engine

    def _start_moving(self) -> None:
        if not self._traits.can_move or self._moving is not None:
            return
        loop = asyncio.get_running_loop()
        self._stop_by_s = loop.time() + STOP_BY_S
        self._moving = asyncio.create_task(self._move())

    async def _move(self) -> Copy | None:
        """Copy the memory while the engine works, then stop it there.

        The stop closes the engine's stream without its end, which is when
        `_go_on` takes over. Returns None when it could not be copied and
        so runs on where it is.
        """
        reply = self._reply
        assert reply is not None
        source = reply.upstream
        tried = {source.name}
        has_waited = False
        while True:
            target = self._target(tried)
            if target is None:
                await asyncio.sleep(MOVE_AGAIN_S)
                tried = {source.name}
                continue
            tokens = self._need.tokens
            self._tools.balancer.add(target.name, tokens)
            try:
                if not has_waited:
                    await self._wait_for_turn(source, target)
                    has_waited = True
                return await self._copy(source, target)
            except CopyRefusedError as error:
                if error.handle:
                    return Copy(error.handle, source, source)
                self._log_copy(source, target, str(error))
                tried.add(target.name)
            except UpstreamError as error:
                self._log_copy(source, target, str(error))
                return None
            finally:
                self._tools.balancer.add(target.name, -tokens)

    async def _copy(self, source: Upstream, target: Upstream) -> Copy:
        engines = self._tools.engines
        request_id = self._call.request_id
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            await engines.copy(source, request_id, target, stop=False)
            now_s = loop.time()
            is_quick = now_s - began_s <= QUICK_COPY_S
            if is_quick or now_s >= self._stop_by_s:
                break
        copy = await engines.copy(source, request_id, target, stop=True)
        self._log_copy(source, target, "copied")
        return copy

    async def _wait_for_turn(self, source: Upstream, target: Upstream) -> None:
        """Let those go first that leave the engine before.

        Some of them end by themselves or go on at a backup: the list of
        runs is read again, and the turn only ever comes nearer.
        """
        loop = asyncio.get_running_loop()
        is_near = source.failure_domain == target.failure_domain
        turn_s = math.inf
        while loop.time() < turn_s:
            try:
                report = await self._tools.engines.report(source)
            except UpstreamError as error:
                self._log_copy(source, target, str(error))
                return
            ahead_s = wait_s(
                report.runs, self._call.request_id, self._traits, is_near
            )
            if turn_s == math.inf:
                self._log_copy(source, target, f"waits {ahead_s:.2f} s")
            turn_s = min(turn_s, loop.time() + ahead_s)
            left_s = turn_s - loop.time()
            await asyncio.sleep(min(left_s, LOOK_AGAIN_S))

    def _log_copy(self, source: Upstream, target: Upstream, how: str) -> None:
        log.bind(
            request=self._call.request_id,
            upstream=source.name,
            target=target.name,
            event=self._splitter.last_id,
            tokens=self._need.tokens,
        ).info("move: {}", how)

    def _target(self, tried: Sequence[str] | set[str]) -> Upstream | None:
        return self._tools.rooms.find(
            self._call.service,
            self._traits,
            self._need.tokens,
            tried,
            near=self._holding.upstream.failure_domain,
        )

    async def _go_on(self) -> bool:
        """Go on where the memory is, after the engine at work has ended."""
        copy = await self._end_moving()
        if copy is None:
            return await self._go_on_at_backup()
        source = f"{copy.source.address}/{copy.handle}"
        return await self._go_on_at(copy.target, source)

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
        source = f"{upstream.address}/{self._call.request_id}"
        return await self._go_on_at(upstream, source)

    async def _go_on_at(self, upstream: Upstream, source: str) -> bool:
        before = self._holding.upstream
        self._backup.choose(self._need.tokens, upstream)
        reply = await self._resume(upstream, source)
        log.bind(
            request=self._call.request_id,
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
        await self._end_pump()
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
        names = self._tools.names
        extra = [(names.resume_source, source), *self._backup.headers()]
        if self._splitter.last_id >= 0:
            extra.append((names.last_event_id, str(self._splitter.last_id)))
        # It is the same run: it stops at the one engine as it goes on at
        # the other.
        attempt = Attempt(is_idempotent=False)
        with suppress(
            UpstreamUnreachableError, UpstreamBrokenError, TimeoutError
        ):
            async with asyncio.timeout(RESUME_S):
                reply = await self._tools.exchange.send(
                    self._call, attempt, upstream, extra
                )
            if reply.is_success:
                return reply
            reply.connection.close()
        return None
