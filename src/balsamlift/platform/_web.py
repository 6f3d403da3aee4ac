"""HTTP endpoints for address lookups and the readiness check."""

from __future__ import annotations

from tornado.web import Application, RequestHandler

from balsamlift._listening import listen
from balsamlift.clients import ClientMemory, WebServer
from balsamlift.kernel import Kernel
from balsamlift.operators import JsonHandler
from balsamlift.platform._names import ADDRESSES_PATH, READY_PATH
from balsamlift.relay import Caller, Directory

MAX_BODY_BYTES = 16_384  # requests to both addresses have none


class AddressesHandler(JsonHandler):
    """Return the addresses that a caller should connect to."""

    def initialize(self, directory: Directory) -> None:
        """Answer from `directory`."""
        self._directory = directory

    def get(self) -> None:
        """Send addresses, or status 503 if no host is ready."""
        caller = Caller(
            failure_domain=self.get_query_argument("Zone", ""),
            region=self.get_query_argument("Region", ""),
            host_name=self.get_query_argument("Name", ""),
        )
        answer = self._directory.find(caller)
        if not answer.addresses:
            self.send_error(503)
            return
        self.reply(
            {
                "Addresses": answer.addresses,
                "TtlS": answer.keep_ms / 1_000,
            }
        )


class ReadyHandler(RequestHandler):
    """Return whether this host accepts requests."""

    def initialize(self, directory: Directory) -> None:
        """Answer from `directory`."""
        self._directory = directory

    def get(self) -> None:
        """Send status 200 if this host is ready, else 503."""
        self.set_status(200 if self._directory.is_ready else 503)


class PlatformServer:
    """Serve both endpoints on the directory and readiness addresses."""

    name = "platform_server"

    def __init__(
        self,
        directory_address: str,
        readiness_address: str,
        memory: ClientMemory,
    ) -> None:
        """Store both addresses; `start` binds them."""
        self._addresses = (directory_address, readiness_address)
        self._memory = memory
        self._servers: list[WebServer] = []

    async def start(self, kernel: Kernel) -> None:
        """Bind both addresses and serve."""
        arguments = {"directory": kernel.find("directory", Directory)}
        application = Application(
            [
                (ADDRESSES_PATH, AddressesHandler, arguments),
                (READY_PATH, ReadyHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        for address in self._addresses:
            sockets, _ = listen(address)
            server = WebServer(
                address, application, self._memory, MAX_BODY_BYTES
            )
            server.start(sockets)
            self._servers.append(server)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            await server.stop()
