"""The HTTP address for callers."""

from __future__ import annotations

import random

import attrs
import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from balsamlift._address import join_address, split_address
from balsamlift._http import CLOCK_HEADER
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.requests._handlers import RequestsHandler
from balsamlift.requests._replies import MissingRouteHandler, TypedHandler
from balsamlift.requests._service import Requests
from balsamlift.requests._slots import Slots

LIST_LENGTH = 4
RETRY_AFTER_S = 1
OK = 200
UNAVAILABLE = 503
PATTERN = r"/requests(?:/([^/]+))?"
DRAINED_BODIES = 4  # how much of a body too large is read, to say so


@attrs.frozen(kw_only=True)
class Place:
    """Name one host that a caller may use."""

    host: str
    address: str
    failure_domain: str
    key_prefix: str


@attrs.frozen(kw_only=True)
class Addresses:
    """Hold the hosts for a caller, the best first."""

    keep_ms: int
    addresses: list[Place]


class CallersServer:
    """Serve addresses and requests to callers."""

    name = "callers"

    def __init__(self, address: str) -> None:
        """Bind `address`, "IP:port", so that the port is known early."""
        ip, port = split_address(address)
        self._sockets = bind_sockets(port, ip)
        self.address = join_address(ip, self._sockets[0].getsockname()[1])
        self._random = random.Random()
        self._server: HTTPServer | None = None

    async def start(self, kernel: Kernel) -> None:
        """Begin to accept connections of callers and peers."""
        self._requests = kernel.find("requests", Requests)
        operators = kernel.find("operators", OperatorsServer)
        peers = {"requests": self._requests}
        operators.add_routes([("/v1/peer" + PATTERN, RequestsHandler, peers)])
        limits = self._requests.parts.settings.limits
        slots = Slots(limits.streams)
        callers = {"requests": self._requests, "slots": slots}
        application = Application(
            [
                (r"/v1/addresses", AddressesHandler, {"callers": self}),
                ("/v1" + PATTERN, RequestsHandler, callers),
            ],
            default_handler_class=MissingRouteHandler,
        )
        drained_bytes = limits.body_bytes * DRAINED_BODIES
        self._server = HTTPServer(
            application,
            max_body_size=drained_bytes,
            max_buffer_size=drained_bytes,
        )
        self._server.add_sockets(self._sockets)

    async def stop(self) -> None:
        """Close the address and its connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def places(self, failure_domain: str) -> list[Place]:
        """Return hosts for a caller: those near first, one elsewhere.

        A host that is leaving, or has not caught up with the
        configuration, is not among them.
        """
        places = [*self._own_place(), *self._peers_places()]
        self._random.shuffle(places)
        near = [p for p in places if p.failure_domain == failure_domain]
        far = [p for p in places if p.failure_domain != failure_domain]
        chosen = near[: LIST_LENGTH - 1]
        return chosen + far[: LIST_LENGTH - len(chosen)]

    def _own_place(self) -> list[Place]:
        parts = self._requests.parts
        ready = parts.presets.caught_up and parts.presets.in_force()
        if parts.peers.leaving or not ready:
            return []
        place = Place(
            host=parts.settings.host,
            address=self.address,
            failure_domain=parts.settings.failure_domain,
            key_prefix=self._requests.table.prefix,
        )
        return [place]

    def _peers_places(self) -> list[Place]:
        return [
            Place(
                host=peer.host,
                address=peer.callers_address,
                failure_domain=peer.failure_domain,
                key_prefix=peer.key_prefix,
            )
            for peer in self._requests.parts.peers.live()
            if peer.caught_up and not peer.leaving and peer.key_prefix
        ]

    def keep_ms(self) -> int:
        """Return how long callers may keep a list."""
        return self._requests.parts.settings.address_keep_ms

    def own_domain(self) -> str:
        """Return this host's failure domain."""
        return self._requests.parts.settings.failure_domain

    def stamp(self) -> str:
        """Return the stamp of the clock."""
        return self._requests.parts.timeline.stamp()


class AddressesHandler(TypedHandler):
    """Tell callers which hosts to use."""

    def initialize(self, callers: CallersServer) -> None:
        """Keep the server that knows the hosts."""
        self._callers = callers

    def get(self) -> None:
        """Answer the list, or when to ask again."""
        domain = self.get_query_argument("failure_domain", "")
        places = self._callers.places(domain or self._callers.own_domain())
        self.set_header(CLOCK_HEADER, self._callers.stamp())
        if not places:
            self.set_header("Retry-After", str(RETRY_AFTER_S))
        answer = Addresses(keep_ms=self._callers.keep_ms(), addresses=places)
        status = OK if places else UNAVAILABLE
        self.reply(status, msgspec.json.encode(answer))
