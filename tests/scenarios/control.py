"""Synchronous HTTP calls to stand-ins and operators' addresses."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from typing import Any

TIMEOUT_S = 5.0
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(method: str, address: str, path: str, body: Any = None) -> Any:
    """Return the JSON answer; raise `OSError` on failure or timeout."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method
    )
    with _OPENER.open(request, timeout=TIMEOUT_S) as response:
        text = response.read()
    return json.loads(text) if text else None


def get(address: str, path: str) -> Any:
    return call("GET", address, path)


def set_faults(address: str, **faults: Any) -> None:
    """Set the given faults of a stand-in and leave its others as they are."""
    call("POST", address, "/control/faults", faults)


def get_counts(address: str) -> dict[str, Any]:
    counts: dict[str, Any] = get(address, "/control/counts")
    return counts
