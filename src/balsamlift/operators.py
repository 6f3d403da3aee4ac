"""HTTP server of the operators' address, which peers use as well."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from balsamlift._listening import listen
from balsamlift.clients import ClientMemory, WebServer
from balsamlift.kernel import Kernel

MAX_BODY_BYTES = 4_194_304  # of operators and peers
MAX_WORK_US_PER_S = 250_000.0

Routes = list[tuple[str, type[RequestHandler], dict[str, Any]]]


class JsonHandler(RequestHandler):
    """Base class of request handlers that answer in JSON."""

    def reply(self, body: Any, status: int = 200) -> None:
        """Send `body` as JSON with an HTTP status."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class OperatorsServer:
    """Serve the routes that other services add.

    The address is bound on construction, so that the port is known early;
    routes may be added at any time.
    """

    name = "operators"

    def __init__(
        self,
        address: str,
        memory: ClientMemory | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Bind `address` ("IP:port").

        `memory` is shared with other listeners; the default is its own.
        """
        self._sockets, self.address = listen(address)
        self._application = Application()
        self._server = WebServer(
            self.name,
            self._application,
            memory or ClientMemory(),
            max_body_bytes,
            MAX_WORK_US_PER_S,
        )

    def add_routes(self, routes: Routes) -> None:
        """Add routes of (pattern, handler class, keywords of `initialize`)."""
        self._application.add_handlers(r".*", list(routes))

    async def start(self, kernel: Kernel) -> None:
        """Start accepting connections."""
        del kernel
        self._server.start(self._sockets)

    async def stop(self) -> None:
        """Close the server and its connections."""
        await self._server.stop()
