"""The configurations that operators of a run write."""

from __future__ import annotations

import json
from typing import Any

SERVED_HOST = "shop.example"
KEY = "key-that-stays"
KINDS = {
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


def added_path(version: int) -> str:
    """Return the path prefix of the route that a version adds."""
    return f"/added-{version}/"


def version_key(version: int) -> str:
    """Return the key that only that version holds."""
    return f"key-of-{version}"


def configuration(version: int) -> bytes:
    """Return a version: its own route and key besides those that stay."""
    kinds = {**KINDS, added_path(version): ("non_idempotent", "plain")}
    keys = [KEY, version_key(version)]
    fields = {
        "Version": version,
        "Routes": [_route(path, *kind) for path, kind in kinds.items()],
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


def _route(path: str, kind: str, service: str) -> dict[str, Any]:
    return {
        "Name": path.strip("/"),
        "Hostname": SERVED_HOST,
        "PathPrefix": path,
        "RouteType": kind,
        "Service": service,
        "TimeoutMs": 3_000,
        "TargetLatencyMs": 1_000,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
    }
