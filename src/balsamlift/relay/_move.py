"""Move the memory of one generation to another engine, in its turn."""

from __future__ import annotations

import asyncio

from loguru import logger

from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream
from balsamlift.relay._claims import claim_room
from balsamlift.relay._departure import copy_s
from balsamlift.relay._engines import CopyRefusedError, MemoryCopy
from balsamlift.relay._generation_context import GenerationContext
from balsamlift.relay._job import Job
from balsamlift.relay._link_turn import LinkTurn
from balsamlift.relay._rooms import Holding

log = logger.bind(part="generations")

# A generation is stopped for its last copy after one that took no longer than
# this, which tells that the link is free: callers notice no such pause.
QUICK_COPY_S = 0.06
# So does one that took little more than over a free link, while no other host
# copies from there.
FREE_LINK_FACTOR = 1.3
# Before the engine is gone: the last copy may have to wait for another.
STOP_BEFORE_S = 0.2
# Between two tries to find room for a generation off an engine that leaves.
MOVE_AGAIN_S = 0.1


class Move:
    """Take one generation off an engine that leaves."""

    def __init__(
        self,
        tools: GenerationContext,
        job: Job,
        source: Upstream,
    ) -> None:
        """Count the time from here on: the notice has just come."""
        self._tools = tools
        self._job = job
        self._source = source
        self._claim: Holding | None = None
        self._turn = LinkTurn(
            tools.balancer, tools.engines, source, job.request_id
        )

    async def run(self) -> MemoryCopy | None:
        """Copy the memory while the engine works, then stop it there.

        The stop closes the engine's stream without its end; then the
        request goes on where the copy is. Returns None when it could not
        be copied and so runs on where it is.
        """
        tried = {self._source.name}
        while True:
            target = await self._claim_target(tried)
            if target is None:
                await asyncio.sleep(MOVE_AGAIN_S)
                tried = {self._source.name}
                continue
            try:
                return await self._move_to(target)
            except CopyRefusedError as error:
                self.release()
                if error.handle:
                    return MemoryCopy(error.handle, self._source, self._source)
                self._log(target, str(error))
                tried.add(target.name)
            except UpstreamError as error:
                self.release()
                self._log(target, str(error))
                return None

    def release(self) -> None:
        """Give back the room at the target, once the generation has it.

        Until then nobody else may take it: the answer of an engine that goes
        on from a copy takes up to a second.
        """
        if self._claim is not None:
            self._claim.release()
            self._claim = None

    async def _claim_target(self, tried: set[str]) -> Upstream | None:
        tools = self._tools
        self._claim = await claim_room(
            tools, self._job, self._source.failure_domain, tried
        )
        return self._claim.upstream if self._claim else None

    async def _move_to(self, target: Upstream) -> MemoryCopy:
        loop = asyncio.get_running_loop()
        await self._turn.wait(self._copy_s(target))
        left_s = self._turn.departure.gone_s - loop.time()
        place = self._turn.place
        self._log(target, f"begins, {place} ahead, {left_s:.2f} s left")
        with self._turn.hold():
            await self._copy_until_quick(target)
            if self._tools.upstreams.is_in_evacuation(target):
                raise CopyRefusedError(target.name, "evacuated")
            stopped_s = loop.time()
            copy = await self._tools.engines.copy(
                self._source, self._job.request_id, target, stop=True
            )
        stop_ms = round((loop.time() - stopped_s) * 1_000)
        self._log(target, f"copied, last part in {stop_ms} ms")
        return copy

    async def _copy_until_quick(self, target: Upstream) -> None:
        """Copy while the engine works, until the rest takes no time.

        Another copy may have begun at the same moment, and the target takes
        those of other engines: the last part would wait for all of them, and
        the caller with it.
        """
        loop = asyncio.get_running_loop()
        stop_by_s = self._turn.departure.gone_s - STOP_BEFORE_S
        free_s = self._copy_s(target) * FREE_LINK_FACTOR
        while True:
            began_s = loop.time()
            await self._tools.engines.copy(
                self._source, self._job.request_id, target, stop=False
            )
            took_s = loop.time() - began_s
            is_free = self._turn.is_alone and took_s <= free_s
            if took_s <= QUICK_COPY_S or is_free or loop.time() >= stop_by_s:
                return

    def _copy_s(self, target: Upstream) -> float:
        """Return how long the whole copy takes over a free link."""
        is_near = self._source.failure_domain == target.failure_domain
        tokens = self._turn.tokens or self._job.tokens
        return copy_s(self._job.traits, tokens, is_near)

    def _log(self, target: Upstream, how: str) -> None:
        log.bind(
            request=self._job.request_id,
            upstream=self._source.name,
            target=target.name,
            tokens=self._job.tokens,
        ).info("move: {}", how)
