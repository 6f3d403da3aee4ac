"""Look up the state of a request at the upstreams by its key.

Used when the home is gone. "Absent" does not prove that the request will
not run: the home may be paused and dispatch later, or the request may still
be in transit.
"""

from __future__ import annotations

import asyncio

import attrs

from balsamlift.peers import Upstream
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._execution import Execution
from balsamlift.requests._service_call import result_outcome
from balsamlift.requests._upstream_responses import (
    DONE,
    RUNNING,
    KeyState,
    fetch_key_state,
)
from balsamlift.streams import Outcome

# Without a limit each lost home would cost a call to thousands of upstreams.
MAX_UPSTREAMS_ASKED = 32
ASK_TIMEOUT_MS = 1_000
MAX_POLLS = 20
POLL_PAUSE_S = 0.25


@attrs.frozen
class KeyMatch:
    """Pair an upstream that knows a key with the state it reports."""

    upstream: Upstream
    key_state: KeyState


async def find_by_key(
    dependencies: Dependencies, execution: Execution
) -> KeyMatch | None:
    """Return the upstream that reports the key as running or done."""
    candidates = [u for u in dependencies.upstreams.all() if u.tells_by_key]
    calls = [
        _ask_upstream(dependencies, execution, u)
        for u in candidates[:MAX_UPSTREAMS_ASKED]
    ]
    for match in await asyncio.gather(*calls):
        if match is not None:
            return match
    return None


async def wait_for_result(
    dependencies: Dependencies, execution: Execution, match: KeyMatch
) -> Outcome | None:
    """Poll a plain service until the call is done and return its outcome."""
    for _ in range(MAX_POLLS):
        if match.key_state.state == DONE:
            return result_outcome(match.key_state.result)
        await dependencies.clock.sleep(POLL_PAUSE_S)
        next_match = await _ask_upstream(
            dependencies, execution, match.upstream
        )
        if next_match is None:
            return None
        match = next_match
    return None


async def _ask_upstream(
    dependencies: Dependencies, execution: Execution, upstream: Upstream
) -> KeyMatch | None:
    key_state = await fetch_key_state(
        dependencies, upstream, execution.key, ASK_TIMEOUT_MS
    )
    if key_state is None or key_state.state not in (DONE, RUNNING):
        return None
    if upstream.kind == "engine":
        # The key and workspace are checked at the start of its stream.
        return KeyMatch(upstream, key_state) if key_state.generation else None
    if key_state.workspace != execution.workspace:
        return None
    return KeyMatch(upstream, key_state)
