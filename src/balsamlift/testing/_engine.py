"""Stand-in for a model engine: runs the engine model in real time."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from balsamlift.clock import Clock
from balsamlift.testing._engine_faults import EngineFaults
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_reports import EngineReports
from balsamlift.testing._engine_types import Step
from balsamlift.testing._engine_work import make_work, new_generation
from balsamlift.testing._generation import (
    Generation,
    GenerationRequest,
    KeyState,
    Refusal,
)
from balsamlift.testing._orders import Orders
from balsamlift.testing._settings import EngineSettings
from balsamlift.testing._stand_in import (
    Control,
    HostEntry,
    Listener,
    Registration,
    Routes,
    control_routes,
)
from balsamlift.testing._tokens import token_text

_MAX_LAG_S = 0.1  # a lag beyond this is not caught up by shorter waits
_CRASH_DELAY_S = 0.05  # lets the last tokens reach their readers
_CRASH_EXIT_CODE = 1
_RETRY_MS = 200


class Engine:
    """Serve the HTTP calls of one engine and decode its generations."""

    def __init__(
        self,
        settings: EngineSettings,
        clock: Clock,
        make_routes: Callable[[Engine], Routes],
    ) -> None:
        """Bind the address; `make_routes` returns the routes to serve."""
        self._make_routes = make_routes
        self.settings = settings
        self.clock = clock
        self.control = Control(EngineFaults())
        self.orders = Orders(settings, clock)
        self.generations: dict[str, Generation] = {}
        self._by_key: dict[str, Generation] = {}
        self._past_key_states: dict[str, KeyState] = {}
        self.executions: Counter[str] = Counter()
        self._model = EngineModel(settings.parameters)
        self.reports = EngineReports(settings, clock, self._model)
        self._stalls = 0
        self._stall_ms = 0.0
        self._tokens = 0
        self._crash_at_tokens = -1
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._reclaim_timer: asyncio.TimerHandle | None = None
        self._listener = Listener(settings.address)
        entry = HostEntry(
            name=settings.name,
            pool=settings.pool,
            address=self._listener.address,
            failure_domain=settings.failure_domain,
        )
        self._registration = Registration(settings.platform_address, entry)

    @property
    def faults(self) -> EngineFaults:
        """Return the faults in force."""
        return self.control.faults

    async def start(self) -> None:
        """Accept connections, start decoding and register the engine."""
        routes = self._make_routes(self)
        self._listener.start(routes + control_routes(self.control, self.count))
        self.control.on_change(self._apply)
        self._task = asyncio.create_task(self._decode())
        self._task.add_done_callback(_raise_error)
        self._registration.announce("live")

    async def stop(self) -> None:
        """Stop decoding, deregister and close all connections."""
        if self._task is not None:
            self._task.cancel()
        self.orders.close()
        await self._registration.withdraw()
        await self._listener.stop()

    def ready(self) -> dict[str, Any]:
        """Return the fields of the ready line."""
        return {
            "name": self.settings.name,
            "address": self._listener.address,
        }

    def count(self) -> dict[str, Any]:
        """Return the counters for `GET /control/counts`."""
        return {
            "executions": self.executions,
            "preemptions": self._model.load().preemptions,
            "stalls": self._stalls,
            "stall_ms": self._stall_ms,
            "tokens": self._tokens,
            "open_streams": sum(
                len(generation.readers)
                for generation in self.generations.values()
            ),
            "orders_accepted": self.orders.accepted,
            "orders_refused": self.orders.refused,
            "model_loads": self.orders.loads,
        }

    def submit(self, request: GenerationRequest) -> Generation | Refusal:
        """Queue a request, or return why it was refused."""
        reason = self._refusal_reason(request.model)
        if reason:
            return Refusal(reason=reason, retry_after_ms=_RETRY_MS)
        generation = new_generation(request, self.settings, self.orders.state)
        work = make_work(generation, self.settings, self._model.output_limit)
        if not self._model.submit(work):
            return Refusal(reason="full", retry_after_ms=_RETRY_MS)
        self.generations[generation.name] = generation
        self._by_key[request.key] = generation
        self.reports.record_load()
        self._wake.set()
        return generation

    def cancel(self, generation: Generation) -> bool:
        """Cancel a generation; return false if it had already ended."""
        return self._end(generation, "cancelled")

    def key_state(self, key: str) -> KeyState:
        """Return the state of the newest generation for a key."""
        generation = self._by_key.get(key)
        if generation is not None:
            return generation.key_state()
        return self._past_key_states.get(key, KeyState(state="absent"))

    def _refusal_reason(self, model: str) -> str:
        state = self.orders.state
        if state.draining:
            return "draining"
        if state.loading or model not in ("", state.model):
            return "model_missing"
        return "full" if self.faults.refuse else ""

    async def _decode(self) -> None:
        """Step the model in real time until the engine stops or crashes."""
        due = self.clock.monotonic()
        while True:
            if self._model.idle:
                self._wake.clear()
                await self._wake.wait()
                due = self.clock.monotonic()
            step = self._model.step()
            self._record_starts(step)
            duration_s = step.duration_ms * self.faults.slow_factor / 1_000
            now = self.clock.monotonic()
            due = max(due, now - _MAX_LAG_S) + duration_s
            await self.clock.sleep(max(0.0, due - now))
            if self._deliver(step):
                return

    def _record_starts(self, step: Step) -> None:
        now = self.clock.monotonic()
        for name in step.preempted_keys:
            generation = self.generations[name]
            if generation.stalled_at is None:
                generation.stalled_at = now
                self._stalls += 1
        for name in step.started_keys:
            generation = self.generations[name]
            if not generation.started:
                generation.started = True
                self.executions[generation.request.key] += 1

    def _deliver(self, step: Step) -> bool:
        """Append the tokens of a step; return true if the engine crashes."""
        self.reports.record_events()
        for name in step.token_keys:
            if self._crash_if_due():
                return True
            if name in self.generations:  # else cancelled and removed
                self._deliver_token(self.generations[name])
        for name in step.finished_keys:
            if name in self.generations:
                generation = self.generations[name]
                self._end(generation, generation.expected_end_reason)
        self.reports.record_load()
        return False

    def _deliver_token(self, generation: Generation) -> None:
        if generation.end_reason:  # cancelled during the step
            return
        if generation.stalled_at is not None:
            stalled_s = self.clock.monotonic() - generation.stalled_at
            self._stall_ms += stalled_s * 1_000
            generation.stalled_at = None
        index = len(generation.tokens)
        generation.append(token_text(generation.salt, index))
        self._tokens += 1

    def _crash_if_due(self) -> bool:
        """Schedule the exit of the process once enough tokens were sent."""
        if self._crash_at_tokens < 0 or self._tokens < self._crash_at_tokens:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(_CRASH_DELAY_S, os._exit, _CRASH_EXIT_CODE)
        return True

    def _end(self, generation: Generation, reason: str) -> bool:
        if generation.end_reason:
            return False
        self._model.cancel(generation.name)
        generation.end(reason)
        loop = asyncio.get_running_loop()
        retention_s = self.settings.retention_ms / 1_000
        loop.call_later(retention_s, self._remove, generation.name)
        self.reports.record_load()
        return True

    def _remove(self, name: str) -> None:
        """Drop a generation and its tokens, but keep the state of its key."""
        generation = self.generations.pop(name)
        key = generation.request.key
        if self._by_key.get(key) is generation:
            self._past_key_states[key] = self._by_key.pop(key).key_state()

    def _apply(self, old: EngineFaults, faults: EngineFaults) -> None:
        """Apply the faults that take effect when they are set."""
        if faults.silent:  # affects only the streams that are open now
            self.control.faults = attrs.evolve(faults, silent=False)
            self._silence_streams()
        if faults.die_after_tokens != old.die_after_tokens:
            token_count = faults.die_after_tokens
            self._crash_at_tokens = (
                self._tokens + token_count if token_count >= 0 else -1
            )
        if faults.reclaim_in_ms != old.reclaim_in_ms:
            self._schedule_reclaim(faults.reclaim_in_ms)
        self._set_draining(faults.draining or faults.reclaim_in_ms >= 0)

    def _silence_streams(self) -> None:
        for generation in self.generations.values():
            for reader in generation.readers:
                reader.silent = True

    def _set_draining(self, draining: bool) -> None:
        if draining != self.orders.state.draining:
            self.orders.set_draining(draining)
            self._registration.announce("leaving" if draining else "live")

    def _schedule_reclaim(self, delay_ms: int) -> None:
        if self._reclaim_timer is not None:
            self._reclaim_timer.cancel()
            self._reclaim_timer = None
        if delay_ms >= 0:
            loop = asyncio.get_running_loop()
            self._reclaim_timer = loop.call_later(
                delay_ms / 1_000, self._reclaim_all
            )

    def _reclaim_all(self) -> None:
        for generation in list(self.generations.values()):
            self._end(generation, "reclaimed")


def _raise_error(task: asyncio.Task[None]) -> None:
    """Raise the error that ended decoding, so that the event loop logs it."""
    if not task.cancelled():
        task.result()
