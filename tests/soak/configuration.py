"""The configuration versions that a run publishes."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from soak.load import DENSE, RouteTimes

SERVED_HOST = "shop.example"
STABLE_KEY = "key-that-stays"
ROUTES = {
    "/view/": ("idempotent", "plain"),
    "/order/": ("non_idempotent", "plain"),
    "/draft/": ("streaming", "model"),
}
ENGINE = {
    "Slots": 32,
    "KvCapacityTokens": 30_000,
    "Moves": True,
    "Backups": True,
}


def version_path(version: int) -> str:
    """Return the path prefix of the route that only `version` has."""
    return f"/added-{version}/"


def version_key(version: int) -> str:
    """Return the API key that only `version` accepts."""
    return f"key-of-{version}"


def configuration(
    version: int, times: Mapping[str, RouteTimes] = DENSE.times
) -> bytes:
    """Return one version of the configuration.

    It has a route and a key of its own besides those of every version.
    """
    kinds = {**ROUTES, version_path(version): ("non_idempotent", "plain")}
    keys = [STABLE_KEY, version_key(version)]
    fields = {
        "Version": version,
        "Routes": [
            _route(path, kind, service, times)
            for path, (kind, service) in kinds.items()
        ],
        "Services": [
            {"Name": "plain", "MaxConnections": 200},
            {"Name": "model", "MaxConnections": 200, "Engine": ENGINE},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 1_000_000,
            "HeaderTimeoutMs": 5_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": "t-1", "ApiKeys": keys}],
    }
    return json.dumps(fields).encode()


def _route(
    path: str, kind: str, service: str, times: Mapping[str, RouteTimes]
) -> dict[str, Any]:
    route_times = times["stream" if kind == "streaming" else kind]
    return {
        "Name": path.strip("/"),
        "Hostname": SERVED_HOST,
        "PathPrefix": path,
        "RouteType": kind,
        "Service": service,
        "TimeoutMs": route_times.timeout_ms,
        "TargetLatencyMs": route_times.target_ms,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
    }
