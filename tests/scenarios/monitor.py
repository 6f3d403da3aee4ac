"""Watch the configuration of every host for steps back."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from scenarios.deployment import Deployment

EVERY_S = 0.05


class Monitor:
    """Note each host's generation again and again."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._ended = threading.Event()
        self._seen: dict[str, int] = {}  # by incarnation
        self.steps_back: list[tuple[str, int, int]] = []
        self.readings = 0
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._ended.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._ended.wait(EVERY_S):
            for host in self._deployment.usable_hosts:
                try:
                    status = host.status()
                except OSError:
                    continue
                self._note(status["incarnation"], status["generation"])

    def _note(self, incarnation: str, generation: int) -> None:
        before = self._seen.get(incarnation, 0)
        if generation < before:
            self.steps_back.append((incarnation, before, generation))
        self._seen[incarnation] = generation
        self.readings += 1
