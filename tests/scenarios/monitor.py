"""Watch the configuration of every host for steps back."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from scenarios.background import wait_until

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
        self.rounds = 0  # over all hosts
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._ended.set()
        self._thread.join()

    def wait_round(self) -> None:
        """Wait until every host was read at least once from now on."""
        end = self.rounds + 2  # the round that is going on counts for none
        wait_until(lambda: self.rounds >= end, "the hosts are read")

    def _watch(self) -> None:
        while not self._ended.wait(EVERY_S):
            for host in self._deployment.usable_hosts:
                try:
                    status = host.status()
                except OSError:
                    continue
                self._note(status["incarnation"], status["generation"])
            self.rounds += 1

    def _note(self, incarnation: str, generation: int) -> None:
        before = self._seen.get(incarnation, 0)
        if generation < before:
            self.steps_back.append((incarnation, before, generation))
        self._seen[incarnation] = generation
