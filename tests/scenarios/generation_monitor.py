"""Detect hosts whose configuration returns to an older generation."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from scenarios.background import wait_until

if TYPE_CHECKING:
    from scenarios.deployment import Deployment

POLL_INTERVAL_S = 0.05


class GenerationMonitor:
    """Poll the generation that each host has in force."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._stopping = threading.Event()
        self._latest: dict[str, int] = {}  # by incarnation
        self.regressions: list[tuple[str, int, int]] = []
        self.rounds = 0  # each polls all usable hosts
        self._thread = threading.Thread(target=self._poll, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def wait_round(self) -> None:
        """Wait until every usable host has been polled once from now on."""
        target = self.rounds + 2  # the current round may have begun earlier
        wait_until(lambda: self.rounds >= target, "every host has been polled")

    def _poll(self) -> None:
        while not self._stopping.wait(POLL_INTERVAL_S):
            for host in self._deployment.usable_hosts:
                try:
                    status = host.status()
                except OSError:
                    continue
                self._record(status["incarnation"], status["generation"])
            self.rounds += 1

    def _record(self, incarnation: str, generation: int) -> None:
        previous = self._latest.get(incarnation, 0)
        if generation < previous:
            self.regressions.append((incarnation, previous, generation))
        self._latest[incarnation] = generation
