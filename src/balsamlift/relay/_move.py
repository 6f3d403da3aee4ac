"""Move the memory of one generation to another engine, in its turn."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection

from loguru import logger

from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._engines import Copy, CopyRefusedError
from balsamlift.relay._evacuation import wait_s
from balsamlift.relay._needs import Need
from balsamlift.relay._request import Call
from balsamlift.relay._tools import Tools

log = logger.bind(part="generations")

# Between two reports of an engine that leaves; they lag by some 100 ms, and
# each is priced.
LOOK_AGAIN_S = 0.25
# A generation is stopped for its last copy after one that took no longer than
# this, which tells that the link is free: callers take a pause of up to 180 ms
# as in time, and the first copy of a report takes 220 to 450 ms.
QUICK_COPY_S = 0.06
# An engine is gone 1.5 s or more after its notice: the stop is by then.
STOP_BY_S = 1.1
# Between two tries to move a generation off an engine that leaves.
MOVE_AGAIN_S = 0.15


class Move:
    """Take one generation off an engine that leaves."""

    def __init__(
        self,
        tools: Tools,
        call: Call,
        need: Need,
        traits: EngineTraits,
        source: Upstream,
    ) -> None:
        """Count the time from here on: the notice has just come."""
        self._tools = tools
        self._call = call
        self._need = need
        self._traits = traits
        self._source = source
        self._stop_by_s = asyncio.get_running_loop().time() + STOP_BY_S

    async def run(self) -> Copy | None:
        """Copy the memory while the engine works, then stop it there.

        The stop closes the engine's stream without its end; then the
        request goes on where the copy is. Returns None when it could not
        be copied and so runs on where it is.
        """
        source = self._source
        tried = {source.name}
        has_waited = False
        while True:
            await self._tools.balancer.refresh()
            target = self._target(tried)
            if target is None:
                await asyncio.sleep(MOVE_AGAIN_S)
                tried = {source.name}
                continue
            tokens = self._need.tokens
            self._tools.balancer.add(target.name, tokens)
            self._tools.balancer.tell()
            try:
                if not has_waited:
                    await self._wait_for_turn(target)
                    has_waited = True
                return await self._copy(target)
            except CopyRefusedError as error:
                if error.handle:
                    return Copy(error.handle, source, source)
                self._log(target, str(error))
                tried.add(target.name)
            except UpstreamError as error:
                self._log(target, str(error))
                return None
            finally:
                self._tools.balancer.add(target.name, -tokens)

    async def _copy(self, target: Upstream) -> Copy:
        source = self._source
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
        self._log(target, "copied")
        return copy

    async def _wait_for_turn(self, target: Upstream) -> None:
        """Let those go first that leave the engine before.

        Some of them end by themselves or go on at a backup: the list of
        runs is read again, and the turn only ever comes nearer.
        """
        source = self._source
        loop = asyncio.get_running_loop()
        is_near = source.failure_domain == target.failure_domain
        turn_s = math.inf
        while loop.time() < turn_s:
            try:
                report = await self._tools.engines.report(source)
            except UpstreamError as error:
                self._log(target, str(error))
                return
            ahead_s = wait_s(
                report.runs, self._call.request_id, self._traits, is_near
            )
            if turn_s == math.inf:
                self._log(target, f"waits {ahead_s:.2f} s")
            turn_s = min(turn_s, loop.time() + ahead_s)
            left_s = turn_s - loop.time()
            await asyncio.sleep(min(left_s, LOOK_AGAIN_S))

    def _log(self, target: Upstream, how: str) -> None:
        log.bind(
            request=self._call.request_id,
            upstream=self._source.name,
            target=target.name,
            tokens=self._need.tokens,
        ).info("move: {}", how)

    def _target(self, tried: Collection[str]) -> Upstream | None:
        return self._tools.rooms.find(
            self._call.service,
            self._traits,
            self._need.tokens,
            tried,
            near=self._source.failure_domain,
        )
