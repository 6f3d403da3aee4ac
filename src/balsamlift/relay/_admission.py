"""Decide from its head and the configuration what may become of a request."""

from __future__ import annotations

import random

from balsamlift.exceptions import NotConfiguredError
from balsamlift.relay._configuration import Route, Workspace
from balsamlift.relay._fingerprint import fingerprint
from balsamlift.relay._request import Call, CallerRequest, Refusal
from balsamlift.relay._routing import Routing, Table, pick_service
from balsamlift.relay._scope import intersect_regions
from balsamlift.relay._wire import HeaderNames

# A host that has just started knows a configuration at once, or has to wait
# until the platform is back: a short wait would use up the caller's retries.
RETRY_UNCONFIGURED_MS = 2_000
# Allows for reading a newer version from the store or from a peer.
RETRY_OUTDATED_MS = 1_000
# Callers wait for no more than this part of the time that they have left.
RETRY_PART = 0.3

NO_REQUEST_ID = Refusal(status=400, reason="no request id")
NO_ROUTE = Refusal(status=404, reason="no route")
UNKNOWN_KEY = Refusal(status=401, reason="unknown key")


class Admission:
    """Turn requests into calls, or say why not."""

    def __init__(
        self, routing: Routing, names: HeaderNames, rng: random.Random
    ) -> None:
        """Look routes up in `routing`."""
        self._routing = routing
        self._names = names
        self._random = rng

    def admit(self, request: CallerRequest) -> Call | Refusal:
        """Return the call that a request makes, or its refusal."""
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
        key = self._key(request)
        workspace = table.find_workspace(key) if key else None
        if workspace is None and table.needs_keys and not route.is_public:
            return self._deny(request, UNKNOWN_KEY)
        return self._call(request, request_id, table, route, key, workspace)

    def _deny(self, request: CallerRequest, refusal: Refusal) -> Refusal:
        """Return `refusal`, or a retryable one if a newer version may differ.

        Callers do not retry after 401 or 404.
        """
        if not self._routing.may_be_outdated:
            return refusal
        reason = f"{refusal.reason}, configuration may be outdated"
        return _retryable_refusal(
            request, self._names, reason, RETRY_OUTDATED_MS
        )

    def _call(
        self,
        request: CallerRequest,
        request_id: str,
        table: Table,
        route: Route,
        key: str,
        workspace: Workspace | None,
    ) -> Call:
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        bound_s = request.arrived_s + route.timeout_ms / 1_000
        deadline_s = self._deadline_s(request, bound_s)
        return Call(
            request=request,
            request_id=request_id,
            table=table,
            route=route,
            workspace=workspace,
            key=key,
            fingerprint=fingerprint(request, key),
            service=pick_service(route, self._random),
            regions=_regions(route, workspace),
            priority=priority,
            deadline_s=deadline_s,
            give_up_s=min(bound_s, deadline_s),
        )

    def _deadline_s(self, request: CallerRequest, default_s: float) -> float:
        text = request.headers.get(self._names.deadline_ms, "")
        if not text.isdecimal():
            return default_s
        return request.arrived_s + int(text) / 1_000

    def _key(self, request: CallerRequest) -> str:
        text = request.headers.get("Authorization", "")
        scheme, _, key = text.partition(" ")
        if scheme.lower() != self._names.auth_scheme.lower():
            return ""
        return key.strip()

    def still_allows(self, call: Call) -> bool:
        """Tell whether the configuration in force now allows a call.

        A request that has waited may have lost its key or its route.
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
        if _regions(route, workspace) != call.regions:
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
    """Return a 503 to retry within `RETRY_PART` of the time left, if sent."""
    text = request.headers.get(names.deadline_ms, "")
    if text.isdecimal():
        wait_ms = min(wait_ms, int(int(text) * RETRY_PART))
    return Refusal(status=503, reason=reason, retry_after_ms=wait_ms)


def _regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return where a call may run; None: anywhere."""
    if workspace is None:
        return intersect_regions(route.regions)
    return intersect_regions(route.regions, workspace.regions)
