"""Move the memory of a generation off a leaving engine."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from loguru import logger

from balsamlift._tasks import end_task
from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream
from balsamlift.relay.generations._engines import (
    CopyRefusedError,
    CopyRejectedError,
    MemoryCopy,
)
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._link_access import LinkAccess
from balsamlift.relay.generations._memory_allocator import MemoryReservation
from balsamlift.relay.generations._move_reservation import reserve_for_move
from balsamlift.relay.generations._termination import estimate_copy_s

log = logger.bind(part="generations")

# Duration of a copy that shows that the link is free. The generation can then
# be stopped for the last copy: callers do not notice so short a pause.
QUICK_COPY_S = 0.06
# Same for a copy that took at most this many times as long as over an idle
# link, while no other host copies from that engine.
FREE_LINK_FACTOR = 1.3
# Time reserved before the termination: the last copy may have to wait for
# another.
STOP_MARGIN_S = 0.2
# Delay before looking again for an engine with enough memory.
RETRY_DELAY_S = 0.1
# The response to the last copy arrives once the copy is complete.
COPY_TIMEOUT_S = 1.0


class Move:
    """Move one generation off a leaving engine."""

    def __init__(
        self,
        context: GenerationContext,
        job: Job,
        source: Upstream,
    ) -> None:
        """Begin at the engine's notice, which has just arrived."""
        self._context = context
        self._job = job
        self._source = source
        self._reservation: MemoryReservation | None = None
        # The engine was told to, and has not said that it did not.
        self._may_have_stopped_run = False
        self._task: asyncio.Task[MemoryCopy | None] | None = None
        self._link_access = LinkAccess(
            context.balancer, context.engines, source, job.request_id
        )

    def start(self) -> None:
        """Copy the memory while the engine runs, then stop it and finish.

        Stopping closes the engine's stream without an end event, and the
        request is resumed on the engine with the copy.
        """
        self._task = asyncio.create_task(self._run())

    async def may_have_stopped_run(self) -> bool:
        """Return whether the engine may have ended its response for this.

        Waits for its answer if it was told to.
        """
        if self._may_have_stopped_run and self._task is not None:
            await asyncio.wait({self._task}, timeout=COPY_TIMEOUT_S)
        return self._may_have_stopped_run

    async def finish(self) -> MemoryCopy | None:
        """Return the copy for which the engine was stopped, or None.

        With None, the engine was lost, and the move has failed.
        """
        if self._task is None:
            return None
        with suppress(TimeoutError):
            return await asyncio.wait_for(self._task, COPY_TIMEOUT_S)
        return None

    async def end(self) -> None:
        """Give up, and wait for the end of all calls."""
        try:
            await end_task(self._task)
        finally:
            self._release()

    def give_up(self) -> None:
        """Give up a move off an engine that the generation has left.

        Called once the resumed generation occupies the memory reserved on the
        target: an engine that resumes from a copy takes up to a second to
        respond, and the memory must not be given to others before that.
        """
        if self._task is not None:
            self._task.cancel()
        self._release()

    async def _run(self) -> MemoryCopy | None:
        """Return None if the copy failed; the generation then goes on."""
        tried = {self._source.name}
        while True:
            target = await self._reserve_target(tried)
            if target is None:
                await asyncio.sleep(RETRY_DELAY_S)
                tried = {self._source.name}
                continue
            try:
                return await self._move_to(target)
            except CopyRefusedError as error:
                self._release()
                if error.handle:
                    return MemoryCopy(error.handle, self._source, self._source)
                self._log(target, str(error))
                tried.add(target.name)
            except UpstreamError as error:
                self._release()
                self._log(target, str(error))
                return None

    def _release(self) -> None:
        """Release the memory reserved on the target."""
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    async def _reserve_target(self, tried: set[str]) -> Upstream | None:
        context = self._context
        self._reservation = await reserve_for_move(
            context, self._job, self._source.failure_domain, tried
        )
        return self._reservation.upstream if self._reservation else None

    async def _move_to(self, target: Upstream) -> MemoryCopy:
        loop = asyncio.get_running_loop()
        await self._link_access.wait(self._full_copy_s(target))
        left_s = self._link_access.termination.terminates_s - loop.time()
        position = self._link_access.position
        self._log(target, f"started, {position} ahead, {left_s:.2f} s left")
        with self._link_access.hold():
            await self._pre_copy(target)
            upstreams = self._context.upstreams
            if upstreams.is_in_evacuation(target):
                raise CopyRefusedError(target.name, "evacuated")
            has_notice = upstreams.leaving_notices.has(target.name)
            if has_notice or upstreams.is_leaving(target.name):
                raise CopyRefusedError(target.name, "leaving")
            stopped_s = loop.time()
            self._log(target, "stopping the run")
            copy = await self._stop_and_copy(target)
        stop_ms = round((loop.time() - stopped_s) * 1_000)
        self._log(target, f"copied, last part in {stop_ms} ms")
        return copy

    async def _stop_and_copy(self, target: Upstream) -> MemoryCopy:
        self._may_have_stopped_run = True
        try:
            return await self._context.engines.copy(
                self._source, self._job.request_id, target, stop=True
            )
        except CopyRefusedError as error:
            self._may_have_stopped_run = bool(error.handle)
            raise
        except CopyRejectedError:
            self._may_have_stopped_run = False
            raise

    async def _pre_copy(self, target: Upstream) -> None:
        """Copy while the engine runs, until little is left to copy.

        Another copy may have started at the same time, and the target also
        receives copies from other engines. The last part would have to wait
        for all of them, and so would the caller.
        """
        loop = asyncio.get_running_loop()
        stop_by_s = self._link_access.termination.terminates_s - STOP_MARGIN_S
        idle_link_s = self._full_copy_s(target) * FREE_LINK_FACTOR
        while True:
            started_s = loop.time()
            await self._context.engines.copy(
                self._source, self._job.request_id, target, stop=False
            )
            took_s = loop.time() - started_s
            is_free = self._link_access.is_only_copy and took_s <= idle_link_s
            if took_s <= QUICK_COPY_S or is_free or loop.time() >= stop_by_s:
                return

    def _full_copy_s(self, target: Upstream) -> float:
        """Return how long a full copy takes over an idle link."""
        is_same_domain = self._source.failure_domain == target.failure_domain
        tokens = self._link_access.tokens or self._job.tokens
        return estimate_copy_s(self._job.traits, tokens, is_same_domain)

    def _log(self, target: Upstream, progress: str) -> None:
        log.bind(
            request=self._job.request_id,
            upstream=self._source.name,
            target=target.name,
            tokens=self._job.tokens,
        ).info("move: {}", progress)
