"""Admission of requests by their headers and the configuration in force."""

from __future__ import annotations

import random
from collections.abc import Callable

from balsamlift._numbers import parse_count
from balsamlift.exceptions import NotConfiguredError
from balsamlift.placement import limit_retry_ms
from balsamlift.relay._configuration import Route, Workspace
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._request import Call, CallerRequest, Refusal
from balsamlift.relay._routing import Routing, RoutingTable, pick_service
from balsamlift.relay._scope import intersect_regions
from balsamlift.relay.crashes import fingerprint

# A host that has just started either reads a configuration at once or waits
# until the platform is back. A short wait would use up the caller's retries.
RETRY_UNCONFIGURED_MS = 2_000
# Enough time to read a newer version from the store or from a peer.
RETRY_OUTDATED_MS = 1_000

# Reads the parts that requests may share from the value of the header.
PartsDecoder = Callable[[str], tuple[str, ...]]

NO_REQUEST_ID = Refusal(status=400, reason="no request id")
NO_ROUTE = Refusal(status=404, reason="no route")
UNKNOWN_KEY = Refusal(status=401, reason="unknown key")


class Admission:
    """Turns requests into calls, or refuses them with a reason."""

    def __init__(
        self,
        routing: Routing,
        names: HeaderNames,
        rng: random.Random,
        decode_parts: PartsDecoder,
    ) -> None:
        """Create an admission check that reads routes from `routing`."""
        self._decode_parts = decode_parts
        self._routing = routing
        self._names = names
        self._random = rng

    def admit(self, request: CallerRequest) -> Call | Refusal:
        """Return the call for a request, or the reason for refusing it."""
        try:
            table = self._routing.table()
        except NotConfiguredError:
            return _retryable_refusal(
                request, self._names, "not configured", RETRY_UNCONFIGURED_MS
            )
        request_id = request.headers.get(self._names.request_id, "")
        if not request_id:
            return NO_REQUEST_ID
        path = request.target.partition("?")[0]
        host = request.headers.get("Host", "").partition(":")[0]
        route = table.find_route(host, path)
        if route is None:
            return self._deny(request, NO_ROUTE)
        key = self._read_key(request)
        workspace = table.find_workspace(key) if key else None
        if workspace is None and table.needs_keys and not route.is_public:
            return self._deny(request, UNKNOWN_KEY)
        return self._make_call(
            request, request_id, table, route, key, workspace
        )

    def _deny(self, request: CallerRequest, refusal: Refusal) -> Refusal:
        """Return `refusal`, or a retryable one if the version may be outdated.

        Callers do not retry after 401 or 404, so these statuses must not be
        returned for a request that a newer configuration allows.
        """
        if not self._routing.may_be_outdated:
            return refusal
        reason = f"{refusal.reason}, configuration may be outdated"
        return _retryable_refusal(
            request, self._names, reason, RETRY_OUTDATED_MS
        )

    def _make_call(
        self,
        request: CallerRequest,
        request_id: str,
        table: RoutingTable,
        route: Route,
        key: str,
        workspace: Workspace | None,
    ) -> Call:
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        route_deadline_s = request.arrived_s + route.timeout_ms / 1_000
        deadline_s = self._deadline_s(request, route_deadline_s)
        return Call(
            request=request,
            request_id=request_id,
            table=table,
            route=route,
            workspace=workspace,
            key=key,
            fingerprint=fingerprint(request, key),
            prompt_parts=self._decode_parts(
                request.headers.get(self._names.prompt_parts, "")
            ),
            service=pick_service(route, self._random),
            regions=_allowed_regions(route, workspace),
            priority=priority,
            deadline_s=deadline_s,
            timeout_at_s=min(route_deadline_s, deadline_s),
        )

    def _deadline_s(self, request: CallerRequest, default_s: float) -> float:
        text = request.headers.get(self._names.deadline_ms, "")
        deadline_ms = parse_count(text)
        if deadline_ms is None:
            return default_s
        return request.arrived_s + deadline_ms / 1_000

    def _read_key(self, request: CallerRequest) -> str:
        text = request.headers.get("Authorization", "")
        scheme, _, key = text.partition(" ")
        if scheme.lower() != self._names.auth_scheme.lower():
            return ""
        return key.strip()

    def still_allows(self, call: Call) -> bool:
        """Return whether the configuration now in force allows a call.

        The key or the route may have been removed while the call waited.
        """
        table = self._routing.table()
        if table is call.table:
            return True
        path = call.request.target.partition("?")[0]
        route = table.find_route(call.route.host, path)
        if route is None:
            return False
        if call.service not in {share.service for share in route.services}:
            return False
        workspace = table.find_workspace(call.key)
        if _allowed_regions(route, workspace) != call.regions:
            return False
        if route.is_public or not table.needs_keys:
            return True
        return (
            workspace is not None
            and call.workspace is not None
            and workspace.name == call.workspace.name
        )


def _retryable_refusal(
    request: CallerRequest, names: HeaderNames, reason: str, wait_ms: int
) -> Refusal:
    """Return a 503 with a Retry-After of at most `wait_ms`.

    If the caller sent a deadline, the wait leaves time for another attempt.
    """
    deadline_ms = parse_count(request.headers.get(names.deadline_ms, ""))
    if deadline_ms is not None:
        wait_ms = limit_retry_ms(wait_ms, deadline_ms)
    return Refusal(status=503, reason=reason, retry_after_ms=wait_ms)


def _allowed_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions in which a call may run, or None for any."""
    if workspace is None:
        return intersect_regions(route.regions)
    return intersect_regions(route.regions, workspace.regions)
