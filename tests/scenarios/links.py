"""Fault-injecting TCP links that run in the process of the test."""

from __future__ import annotations

from typing import Any

from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings
from scenarios.background import BackgroundLoop


class TestLink:
    """Forward connections to one address, with faults set by steps.

    Links run in this process because a scenario has a dozen of them; a
    process for each would be too many.
    """

    __test__ = False

    def __init__(self, background: BackgroundLoop, target: str) -> None:
        self.target = target
        self._background = background
        self._link = background.run(self._start(target))
        self.address = str(self._link.ready()["address"])

    def set_faults(self, **faults: Any) -> None:
        """Set the given faults and leave the others as they are."""
        self._background.run(self._update(faults))

    def cut(self) -> None:
        self.set_faults(cut=True)

    def restore(self) -> None:
        self.set_faults(cut=False, stall_forward=False, stall_backward=False)

    def silence(self) -> None:
        """Stop all traffic on the open connections permanently."""
        self.set_faults(silence_existing=True)

    def close(self) -> None:
        self._background.run(self._link.stop())

    async def _start(self, target: str) -> Link:
        link = Link(LinkSettings(target_address=target))
        await link.start()
        return link

    async def _update(self, faults: dict[str, Any]) -> None:
        self._link.control.update(faults)
