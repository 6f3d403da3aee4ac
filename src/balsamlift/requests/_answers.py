"""What upstreams answer about one request, besides its result."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from balsamlift._http import CallError
from balsamlift.peers import Upstream
from balsamlift.requests._parts import Parts

DONE = "done"
RUNNING = "running"


@attrs.frozen(kw_only=True)
class Refusal:
    """Hold an answer that carries no result; `ran` false is believed."""

    ran: bool = True
    reason: str = "status"
    retry_after_ms: int = 0


@attrs.frozen(kw_only=True)
class KeyState:
    """Hold what an upstream tells of a key.

    "absent" proves nothing: the request may still be on its way.
    """

    state: str
    workspace: str = ""
    generation: str = ""
    result: Any = None


def read_refusal(body: bytes) -> Refusal:
    """Return the refusal in a body; what is none may have run."""
    try:
        return msgspec.json.decode(body, type=Refusal)
    except msgspec.DecodeError:
        return Refusal()


async def ask_key(
    parts: Parts, upstream: Upstream, key: str, timeout_ms: int
) -> KeyState | None:
    """Return what the upstream tells of a key, None when it tells nothing."""
    if not upstream.tells_by_key:
        return None
    url = f"http://{upstream.address}/v1/keys/{key}"
    try:
        answer = await parts.http.call(
            "GET", url, timeout_ms=timeout_ms, fresh=True
        )
        return answer.decode(KeyState)
    except (CallError, msgspec.DecodeError):
        return None
