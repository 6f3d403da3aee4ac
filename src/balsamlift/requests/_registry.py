"""Registry of executions that hold a body or an answer in memory."""

from __future__ import annotations

import asyncio
import contextlib

from loguru import logger

from balsamlift.exceptions import RefusedError
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._execution import Execution

log = logger.bind(part="requests")

SWEEP_INTERVAL_S = 1.0


class ExecutionRegistry:
    """Drop old answers and cancel requests that callers have abandoned."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Start without any executions."""
        self._dependencies = dependencies
        self._executions: set[Execution] = set()
        self._bytes = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic sweep."""
        self._task = asyncio.ensure_future(self._sweep_periodically())

    async def stop(self) -> None:
        """Cancel the sweep and every request that is still running."""
        tasks = [e.task for e in self._executions if e.task]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)

    def add(self, execution: Execution) -> None:
        """Register an execution until its answer is dropped."""
        self._executions.add(execution)

    def is_busy(self) -> bool:
        """Return whether any execution is running or being read."""
        return any(e.outcome is None or e.watchers for e in self._executions)

    def check_capacity(self) -> None:
        """Raise `RefusedError` while answers exceed their memory limit."""
        if self._bytes > self._dependencies.settings.limits.answers_bytes:
            # The next sweep may free memory.
            raise RefusedError("answers_full", int(SWEEP_INTERVAL_S * 1_000))

    async def _sweep_periodically(self) -> None:
        while True:
            await self._dependencies.clock.sleep(SWEEP_INTERVAL_S)
            try:
                self._sweep()
            except Exception:
                # The loop must go on: without it memory grows unbounded.
                log.exception("The sweep of executions failed.")

    def _sweep(self) -> None:
        now_s = self._dependencies.clock.monotonic()
        held_bytes = 0
        for execution in list(self._executions):
            held_bytes += execution.answer.size_bytes
            if execution.outcome is None:
                self._cancel_abandoned(execution, now_s)
            elif self._is_stale(execution, now_s):
                execution.drop_answer()
                self._executions.discard(execution)
        self._bytes = held_bytes
        self._dependencies.metrics.gauge("requests.answers_bytes", held_bytes)

    def _is_stale(self, execution: Execution, now_s: float) -> bool:
        if execution.watchers:
            return False
        limits = self._dependencies.settings.limits
        if self._bytes > limits.answers_bytes:
            return True
        return now_s - execution.finished_s > limits.answer_keep_ms / 1_000

    def _cancel_abandoned(self, execution: Execution, now_s: float) -> None:
        # A request that is not idempotent is left to run to its end.
        if execution.watchers or not execution.may_be_abandoned:
            execution.abandoned_s = None
            return
        if execution.abandoned_s is None:
            execution.abandoned_s = now_s
        abandoned_for_s = now_s - execution.abandoned_s
        timeout_s = self._dependencies.settings.streams.abandon_ms / 1_000
        if abandoned_for_s >= timeout_s and execution.task is not None:
            execution.task.cancel()
