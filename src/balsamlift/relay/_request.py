"""Types for requests of callers, refusals and outcomes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.clients import Holding
from balsamlift.relay._configuration import Route, Workspace
from balsamlift.relay._routing import RoutingTable
from balsamlift.relay._scope import Scope

# Ranks of requests with the same priority.
RANKS_PER_PRIORITY = 10


@attrs.frozen(kw_only=True)
class Resume:
    """Where a generation goes on, and from where."""

    upstream: str  # name of the engine that has its memory
    source: str  # "IP:port/handle" of the memory
    last_event: int  # that the caller has; -1: none


@attrs.frozen(kw_only=True)
class Origin:
    """The host that forwarded a request, and how often it had sent it."""

    host: str
    sends: int
    resume: Resume | None = None  # of a generation that has begun


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as received from its caller."""

    method: str
    target: str  # path and query, forwarded unchanged
    headers: HTTPHeaders
    body: bytes | bytearray
    arrived_s: float  # monotonic, when its head had been read
    # Of its connection, also for the answer; None: not counted.
    memory: Holding | None = attrs.field(default=None, eq=False)
    origin: Origin | None = None  # None: from a caller itself


@attrs.frozen(kw_only=True)
class Call:
    """An admitted request, with its route, limits and deadlines."""

    request: CallerRequest
    request_id: str
    table: RoutingTable
    route: Route
    workspace: Workspace | None
    key: str
    fingerprint: str  # the same for repeats by the same caller
    # Parts of its prompt that other requests may have as well.
    prompt_parts: tuple[str, ...]
    service: str
    regions: frozenset[str] | None  # where it may run; None: anywhere
    priority: int  # 0 is served first
    deadline_s: float  # monotonic; the caller waits no longer
    timeout_at_s: float  # monotonic; deadline or route timeout, if earlier

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self.request.method

    @property
    def duration_key(self) -> str:
        """Return the key of calls that are expected to take as long."""
        return f"{self.route.name}/{self.service}"

    @property
    def scope(self) -> Scope:
        """Return the service and regions whose upstreams may run it."""
        return Scope(self.service, self.regions)

    @property
    def rank(self) -> int:
        """Return its place in the order of service; 0 is first.

        Among requests with the same priority, which may be that of their
        workspace, the priority of the route decides.
        """
        within = min(self.route.priority, RANKS_PER_PRIORITY - 1)
        return self.priority * RANKS_PER_PRIORITY + within

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        if self.route.kind == "stream":
            return self.route.can_resume
        return self.route.kind == "idempotent"


@attrs.frozen(kw_only=True)
class Refusal:
    """A response that the relay sends instead of forwarding a call."""

    status: int
    reason: str
    retry_after_ms: int | None = None
    is_unreached: bool = False  # another host may still run it
    alternatives: Sequence[str] = ()  # "IP:port" of hosts that may take it


@attrs.frozen
class Outcome:
    """How a call ended, for the log."""

    text: str
    upstream: str = ""  # that responded last, if any
    sent_to: Sequence[str] = ()  # names of upstreams, in order
    is_success: bool = False  # a whole 2xx response of an upstream
    to_host: str = ""  # that the request was forwarded to


class Responder(Protocol):
    """Sends the response to one caller."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a complete response that refuses the request."""

    async def start(
        self, status: int, reason: str, headers: HTTPHeaders
    ) -> None:
        """Send the head of an upstream's response."""

    async def write(self, data: bytes | bytearray) -> None:
        """Send a chunk of the body; wait while the caller does not read."""

    def finish(self) -> None:
        """End the response as complete."""

    def abort(self) -> None:
        """Close the connection, so that the response appears truncated."""

    @property
    def is_started(self) -> bool:
        """Return whether the response head was sent."""
