"""One request of a caller, and the answers that the relay gives itself."""

from __future__ import annotations

from typing import Protocol

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.relay._configuration import Route, Workspace
from balsamlift.relay._routing import Table
from balsamlift.relay._scope import Scope


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Hold a request as its caller sent it."""

    method: str
    target: str  # path and query, passed on unchanged
    headers: HTTPHeaders
    body: bytes
    arrived_s: float  # monotonic, when its head had been read


@attrs.frozen(kw_only=True)
class Call:
    """Hold a request that the configuration allows, and its bounds."""

    request: CallerRequest
    request_id: str
    table: Table
    route: Route
    workspace: Workspace | None
    key: str
    fingerprint: str  # equal for all repeats by the same caller
    service: str
    regions: frozenset[str] | None  # where it may run; None: anywhere
    priority: int  # 0 is served first
    deadline_s: float  # monotonic; the caller waits no longer
    give_up_s: float  # monotonic; the earlier of that and the route's bound

    @property
    def method(self) -> str:
        """Return the method."""
        return self.request.method

    @property
    def scope(self) -> Scope:
        """Return which upstreams may run it."""
        return Scope(self.service, self.regions)

    @property
    def is_idempotent(self) -> bool:
        """Tell whether it may run more than once."""
        return self.route.kind == "idempotent"


@attrs.frozen(kw_only=True)
class Refusal:
    """Hold an answer of the relay's own."""

    status: int
    reason: str
    retry_after_ms: int | None = None  # with 503: it has not run


@attrs.frozen
class Outcome:
    """Hold how a call ended, for the log."""

    text: str
    upstream: str = ""  # that answered last, if any
    sends: int = 0


class Responder(Protocol):
    """Answer one caller."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a whole answer of the relay's own."""

    async def start(
        self, status: int, reason: str, headers: HTTPHeaders
    ) -> None:
        """Send the head of an upstream's answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller does not read."""

    def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """Close the connection, so that the answer is not taken as whole."""

    @property
    def is_started(self) -> bool:
        """Tell whether the head was sent."""
