"""Calls to stand-ins and operators' addresses, made straight from steps."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from typing import Any

TIMEOUT_S = 5.0
_OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(method: str, address: str, path: str, body: Any = None) -> Any:
    """Return the JSON answer; raise `OSError` when there is none."""
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
    """Change only these faults of a stand-in."""
    call("POST", address, "/control/faults", faults)


def get_counts(address: str) -> dict[str, Any]:
    counts: dict[str, Any] = get(address, "/control/counts")
    return counts
