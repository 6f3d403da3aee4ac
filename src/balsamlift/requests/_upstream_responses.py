"""Upstream responses other than results: refusals and key states."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from balsamlift._http import CallError
from balsamlift._json import decode_json
from balsamlift.peers import Upstream
from balsamlift.requests._dependencies import Dependencies

DONE = "done"
RUNNING = "running"


@attrs.frozen(kw_only=True)
class Refusal:
    """Represent an upstream's error response.

    `ran` false is trusted to mean that the request did not run.
    """

    ran: bool = True
    reason: str = "status"
    retry_after_ms: int = 0


@attrs.frozen(kw_only=True)
class KeyState:
    """Hold the state that an upstream reports for a key.

    "absent" does not prove that the request will not run: it may still be
    in transit.
    """

    state: str
    workspace: str = ""
    generation: str = ""
    result: Any = None


def decode_refusal(body: bytes) -> Refusal:
    """Return the refusal in a body; assume it ran if the body has none."""
    try:
        return decode_json(body, Refusal)
    except msgspec.DecodeError:
        return Refusal()


async def fetch_key_state(
    dependencies: Dependencies, upstream: Upstream, key: str, timeout_ms: int
) -> KeyState | None:
    """Return the state of a key at the upstream.

    None if the upstream does not report states or the call fails.
    """
    if not upstream.tells_by_key:
        return None
    url = f"http://{upstream.address}/v1/keys/{key}"
    try:
        answer = await dependencies.http.call(
            "GET", url, timeout_ms=timeout_ms, fresh=True
        )
        return answer.decode(KeyState)
    except (CallError, msgspec.DecodeError):
        return None
