"""The configuration versions that a run publishes."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from soak.load import DENSE, RouteTimes

SERVED_HOST = "shop.example"
STABLE_KEY = "key-that-stays"
MAIN, HEAVY, FLOODING = "t-1", "t-2", "t-3"  # workspaces
KEYS = {MAIN: STABLE_KEY, HEAVY: "key-of-heavy", FLOODING: "key-of-flooding"}
WEIGHTS = {MAIN: 1.0, HEAVY: 3.0, FLOODING: 0.5}
RESUMABLE_PATH = "/digest/"
RESUMABLE_ATTEMPTS = 2
MAX_GAP_MS = 60  # between events of a stream
ROUTES = {
    "/view/": ("idempotent", "plain"),
    "/order/": ("non_idempotent", "plain"),
    "/draft/": ("streaming", "model"),
    RESUMABLE_PATH: ("streaming", "model"),
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
    version: int,
    times: Mapping[str, RouteTimes] = DENSE.times,
    *,
    has_engines: bool = True,
) -> bytes:
    """Return one version of the configuration.

    It has a route and a key of its own besides those of every version.
    """
    engine = {"Engine": ENGINE} if has_engines else {}
    kinds = {**ROUTES, version_path(version): ("non_idempotent", "plain")}
    fields = {
        "Version": version,
        "Routes": [
            _route(path, kind, service, times)
            for path, (kind, service) in kinds.items()
        ],
        "Services": [
            {"Name": "plain", "MaxConnections": 200},
            {"Name": "model", "MaxConnections": 200, **engine},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 1_000_000,
            "HeaderTimeoutMs": 5_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [_workspace(name, version) for name in KEYS],
    }
    return json.dumps(fields).encode()


def _workspace(name: str, version: int) -> dict[str, Any]:
    keys = [KEYS[name]]
    if name == MAIN:
        keys.append(version_key(version))
    return {"Name": name, "ApiKeys": keys, "Weight": WEIGHTS[name]}


def _route(
    path: str, kind: str, service: str, times: Mapping[str, RouteTimes]
) -> dict[str, Any]:
    route_times = times["stream" if kind == "streaming" else kind]
    can_resume = path == RESUMABLE_PATH
    can_repeat = can_resume or kind == "idempotent"
    return {
        "Name": path.strip("/"),
        "Hostname": SERVED_HOST,
        "PathPrefix": path,
        "RouteType": kind,
        "Service": service,
        "TimeoutMs": route_times.timeout_ms,
        "TargetLatencyMs": route_times.target_ms,
        "TargetGapMs": MAX_GAP_MS if kind == "streaming" else 0,
        "MaxAttempts": RESUMABLE_ATTEMPTS if can_repeat else 1,
        "Priority": int(can_resume),
        "StreamResume": can_resume,
    }
