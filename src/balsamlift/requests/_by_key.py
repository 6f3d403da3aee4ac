"""Learn from upstreams, by key, what became of a request.

Asked when the home is gone. "Absent" proves nothing: the home may be paused
and dispatch later, or the request may still be on its way.
"""

from __future__ import annotations

import asyncio

import attrs

from balsamlift.peers import Upstream
from balsamlift.requests._answers import DONE, RUNNING, KeyState, ask_key
from balsamlift.requests._execution import Execution
from balsamlift.requests._parts import Parts
from balsamlift.requests._service_call import whole_result
from balsamlift.streams import Outcome

MOST_ASKED = 32  # upstreams; a lost home must not cost a call to thousands
ASK_TIMEOUT_MS = 1_000
POLLS = 20
POLL_PAUSE_S = 0.25


@attrs.frozen
class Found:
    """Name the upstream that knows a key, and what it tells."""

    upstream: Upstream
    key_state: KeyState


async def find_by_key(parts: Parts, execution: Execution) -> Found | None:
    """Return the upstream that runs or ran the key, if one tells so."""
    asked = [u for u in parts.upstreams.all() if u.tells_by_key]
    calls = [_ask(parts, execution, u) for u in asked[:MOST_ASKED]]
    for found in await asyncio.gather(*calls):
        if found is not None:
            return found
    return None


async def wait_result(
    parts: Parts, execution: Execution, found: Found
) -> Outcome | None:
    """Return the outcome of a call that a plain service knows."""
    for _ in range(POLLS):
        if found.key_state.state == DONE:
            return whole_result(found.key_state.result)
        await parts.clock.sleep(POLL_PAUSE_S)
        again = await _ask(parts, execution, found.upstream)
        if again is None:
            return None
        found = again
    return None


async def _ask(
    parts: Parts, execution: Execution, upstream: Upstream
) -> Found | None:
    key_state = await ask_key(parts, upstream, execution.key, ASK_TIMEOUT_MS)
    if key_state is None or key_state.state not in (DONE, RUNNING):
        return None
    if upstream.kind == "engine":
        # Its stream says whose generation it is.
        return Found(upstream, key_state) if key_state.generation else None
    if key_state.workspace != execution.workspace:
        return None
    return Found(upstream, key_state)
