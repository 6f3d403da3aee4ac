"""HTTP server for callers: host addresses and requests."""

from __future__ import annotations

import random

import attrs
import msgspec
from tornado.web import Application

from balsamlift._http import CLOCK_HEADER
from balsamlift._listening import listen
from balsamlift.clients import ClientMemory, WebServer
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.requests._base_handlers import (
    JsonErrorHandler,
    MissingRouteHandler,
)
from balsamlift.requests._handlers import RequestsHandler
from balsamlift.requests._service import Requests
from balsamlift.requests._slots import Slots

MAX_ADDRESSES = 4
RETRY_AFTER_S = 1
OK = 200
UNAVAILABLE = 503
REQUESTS_PATTERN = r"/requests(?:/([^/]+))?"
# Multiple of the body limit that is still read, so that the caller of an
# oversized body receives the 413 instead of a connection reset.
DRAIN_FACTOR = 4


@attrs.frozen(kw_only=True)
class HostAddress:
    """Describe one host that a caller may use."""

    host: str
    address: str
    failure_domain: str
    key_prefix: str


@attrs.frozen(kw_only=True)
class Addresses:
    """List the hosts for a caller, best first, and how long to cache them."""

    keep_ms: int
    addresses: list[HostAddress]


class CallersServer:
    """Serve `/v1/addresses` and `/v1/requests` to callers."""

    name = "callers"

    def __init__(self, address: str, memory: ClientMemory) -> None:
        """Bind `address` ("IP:port"); the port is known before the start.

        `memory` is shared with other listeners.
        """
        self._memory = memory
        self._sockets, self.address = listen(address)
        self._random = random.Random()
        self._server: WebServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Start accepting connections from callers and peers."""
        self._requests = kernel.find("requests", Requests)
        operators = kernel.find("operators", OperatorsServer)
        peers = {"requests": self._requests}
        operators.add_routes(
            [("/v1/peer" + REQUESTS_PATTERN, RequestsHandler, peers)]
        )
        limits = self._requests.dependencies.settings.limits
        slots = Slots(limits.streams)
        callers = {"requests": self._requests, "slots": slots}
        application = Application(
            [
                (r"/v1/addresses", AddressesHandler, {"callers": self}),
                ("/v1" + REQUESTS_PATTERN, RequestsHandler, callers),
            ],
            default_handler_class=MissingRouteHandler,
        )
        max_drained_bytes = limits.body_bytes * DRAIN_FACTOR
        self._server = WebServer(
            self.name, application, self._memory, max_drained_bytes
        )
        self._server.start(self._sockets)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            await self._server.stop()

    def list_hosts(self, failure_domain: str) -> list[HostAddress]:
        """Return hosts for a caller: its own domain first, one elsewhere.

        Excludes hosts that are leaving or have not caught up with the
        configuration.
        """
        hosts = [*self._own_entry(), *self._peer_entries()]
        self._random.shuffle(hosts)
        same_domain = [p for p in hosts if p.failure_domain == failure_domain]
        other_domains = [
            p for p in hosts if p.failure_domain != failure_domain
        ]
        chosen = same_domain[: MAX_ADDRESSES - 1]
        return chosen + other_domains[: MAX_ADDRESSES - len(chosen)]

    def _own_entry(self) -> list[HostAddress]:
        dependencies = self._requests.dependencies
        ready = (
            dependencies.presets.caught_up and dependencies.presets.in_force()
        )
        if dependencies.peers.leaving or not ready:
            return []
        place = HostAddress(
            host=dependencies.settings.host,
            address=self.address,
            failure_domain=dependencies.settings.failure_domain,
            key_prefix=self._requests.table.prefix,
        )
        return [place]

    def _peer_entries(self) -> list[HostAddress]:
        return [
            HostAddress(
                host=peer.host,
                address=peer.callers_address,
                failure_domain=peer.failure_domain,
                key_prefix=peer.key_prefix,
            )
            for peer in self._requests.dependencies.peers.live()
            if peer.caught_up and not peer.leaving and peer.key_prefix
        ]

    def keep_ms(self) -> int:
        """Return how long callers may cache a list."""
        return self._requests.dependencies.settings.address_keep_ms

    def own_domain(self) -> str:
        """Return this host's failure domain."""
        return self._requests.dependencies.settings.failure_domain

    def stamp(self) -> str:
        """Return the current timestamp of this host's logical clock."""
        return self._requests.dependencies.timeline.stamp()


class AddressesHandler(JsonErrorHandler):
    """Serve the list of hosts that callers should use."""

    def initialize(self, callers: CallersServer) -> None:
        """Store the server that lists the hosts."""
        self._callers = callers

    def get(self) -> None:
        """Return the list, or 503 with Retry-After if it is empty."""
        domain = self.get_query_argument("failure_domain", "")
        hosts = self._callers.list_hosts(domain or self._callers.own_domain())
        self.set_header(CLOCK_HEADER, self._callers.stamp())
        if not hosts:
            self.set_header("Retry-After", str(RETRY_AFTER_S))
        answer = Addresses(keep_ms=self._callers.keep_ms(), addresses=hosts)
        status = OK if hosts else UNAVAILABLE
        self.reply(status, msgspec.json.encode(answer))
