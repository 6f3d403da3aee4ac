"""Observe which engines load a model, and the calls answered meanwhile."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from scenarios import control
from scenarios.upstreams import StandIn

POLL_INTERVAL_S = 0.02


class ModelLoadMonitor:
    """Poll the state of every engine.

    Two engines count as loading concurrently only if two successive rounds
    saw both loading. Both were then loading between these rounds; within a
    single round, one may have ended before the other began.
    """

    def __init__(
        self, engines: list[StandIn], count_answers: Callable[[], int]
    ) -> None:
        """Start polling.

        `count_answers()` returns how many calls have been answered so far.
        """
        self._engines = engines
        self._count_answers = count_answers
        self._stopping = threading.Event()
        self._answered_at_start: dict[str, int] = {}
        self.concurrent_loads: list[set[str]] = []
        # Calls answered while an engine was loading, by engine.
        self.answers_while_loading: dict[str, int] = {}
        self._thread = threading.Thread(target=self._poll, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _poll(self) -> None:
        previous: set[str] = set()
        while not self._stopping.wait(POLL_INTERVAL_S):
            loading = {e.name for e in self._engines if is_loading(e)}
            still_loading = previous & loading
            if len(still_loading) > 1:
                self.concurrent_loads.append(still_loading)
            self._record(loading)
            previous = loading

    def _record(self, loading: set[str]) -> None:
        answered = self._count_answers()
        for name in loading:
            at_start = self._answered_at_start.setdefault(name, answered)
            self.answers_while_loading[name] = answered - at_start


def get_engine_state(engine: StandIn) -> dict[str, Any]:
    """Return the state that the engine reports."""
    state: dict[str, Any] = control.get(engine.process.address, "/v1/state")
    return state


def is_loading(engine: StandIn) -> bool:
    return bool(get_engine_state(engine)["loading"])
