"""Watch which engines load, and what is answered meanwhile."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from scenarios import control
from scenarios.upstreams import StandIn

EVERY_S = 0.02


class LoadWatch:
    """Read the state of every engine again and again.

    Two engines count as loading together only when both were read so twice
    in turn: then both were loading at the moments between.
    """

    def __init__(
        self, engines: list[StandIn], count_answers: Callable[[], int]
    ) -> None:
        """`count_answers()` tells how many callers were told so far."""
        self._engines = engines
        self._count_answers = count_answers
        self._ended = threading.Event()
        self._begun: dict[str, int] = {}
        self.together: list[set[str]] = []
        self.answers: dict[str, int] = {}  # while an engine was loading
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._ended.set()
        self._thread.join()

    def _watch(self) -> None:
        before: set[str] = set()
        while not self._ended.wait(EVERY_S):
            loading = {e.name for e in self._engines if is_loading(e)}
            both = before & loading
            if len(both) > 1:
                self.together.append(both)
            self._note(loading)
            before = loading

    def _note(self, loading: set[str]) -> None:
        told = self._count_answers()
        for name in loading:
            begun = self._begun.setdefault(name, told)
            self.answers[name] = told - begun


def state_of(engine: StandIn) -> dict[str, Any]:
    """Return what the engine reports of itself."""
    state: dict[str, Any] = control.get(engine.process.address, "/v1/state")
    return state


def is_loading(engine: StandIn) -> bool:
    return bool(state_of(engine)["loading"])
