"""What one host says of itself to operators."""

from __future__ import annotations

import attrs

from balsamlift.kernel import Kernel
from balsamlift.operators import JsonHandler, OperatorsServer
from balsamlift.peers import Peers
from balsamlift.presets import Presets
from balsamlift.requests import Home
from balsamlift.settings import Settings


@attrs.frozen(kw_only=True)
class HostStatus:
    """Hold the state of one host."""

    host: str
    incarnation: str
    failure_domain: str
    leaving: bool
    caught_up: bool
    offset: int
    generation: int  # of the preset in force; 0: none
    preset: str


class Status:
    """Serve the state of this host."""

    name = "status"

    def __init__(self, settings: Settings, home: Home) -> None:
        """Keep who this is."""
        self._settings = settings
        self._home = home

    async def start(self, kernel: Kernel) -> None:
        """Find what to tell of and add the route."""
        self._presets = kernel.find("presets", Presets)
        self._peers = kernel.find("peers", Peers)
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"status": self}
        operators.add_routes([(r"/v1/status", StatusHandler, arguments)])

    async def stop(self) -> None:
        """Do nothing: the route goes with its address."""

    def tell(self) -> HostStatus:
        """Return the state now."""
        in_force = self._presets.in_force()
        return HostStatus(
            host=self._home.host,
            incarnation=self._home.incarnation,
            failure_domain=self._settings.failure_domain,
            leaving=self._peers.leaving,
            caught_up=self._presets.caught_up,
            offset=self._presets.offset,
            generation=in_force.generation if in_force else 0,
            preset=in_force.name if in_force else "",
        )


class StatusHandler(JsonHandler):
    """Answer the state of this host."""

    def initialize(self, status: Status) -> None:
        """Keep what knows it."""
        self._status = status

    def get(self) -> None:
        """Answer it."""
        self.reply(self._status.tell())
