"""The status that a host reports to operators."""

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
    """Hold the status of one host."""

    host: str
    incarnation: str
    failure_domain: str
    leaving: bool
    caught_up: bool
    offset: int
    generation: int  # of the preset in force; 0: none
    preset: str


class Status:
    """Serve the status of this host."""

    name = "status"

    def __init__(self, settings: Settings, home: Home) -> None:
        """Store the settings and the identity of this host."""
        self._settings = settings
        self._home = home

    async def start(self, kernel: Kernel) -> None:
        """Look up the services to report on and add the route."""
        self._presets = kernel.find("presets", Presets)
        self._peers = kernel.find("peers", Peers)
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"status": self}
        operators.add_routes([(r"/v1/status", StatusHandler, arguments)])

    async def stop(self) -> None:
        """Do nothing: the route ends with the operators' server."""

    def current(self) -> HostStatus:
        """Return the current status."""
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
    """Answer `GET /v1/status` with the status of this host."""

    def initialize(self, status: Status) -> None:
        """Store the service to query."""
        self._status = status

    def get(self) -> None:
        """Send the current status."""
        self.reply(self._status.current())
