"""Links that live in the test's own process, beside the callers."""

from __future__ import annotations

from typing import Any

from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings
from scenarios.background import Background


class TestLink:
    """Relay one address, with faults that steps set.

    In this process rather than its own: a scenario has a dozen links.
    """

    __test__ = False

    def __init__(self, background: Background, target: str) -> None:
        self.target = target
        self._background = background
        self._link = background.run(self._start(target))
        self.address = str(self._link.ready()["address"])

    def set(self, **faults: Any) -> None:
        """Change only these faults."""
        self._background.run(self._update(faults))

    def cut(self) -> None:
        self.set(cut=True)

    def restore(self) -> None:
        self.set(cut=False, stall_forward=False, stall_backward=False)

    def silence(self) -> None:
        """Make the connections that are open now silent for good."""
        self.set(silence_existing=True)

    def close(self) -> None:
        self._background.run(self._link.stop())

    async def _start(self, target: str) -> Link:
        link = Link(LinkSettings(target_address=target))
        await link.start()
        return link

    async def _update(self, faults: dict[str, Any]) -> None:
        self._link.control.update(faults)
