"""Recover an answer from its upstream when the key's home is gone.

Rereading a generation does not run it again, so any host may do it.
"""

from __future__ import annotations

import contextlib
from urllib.parse import quote

import attrs

from balsamlift.peers import Upstream
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._execution import Execution
from balsamlift.requests._key_lookup import find_by_key, wait_for_result
from balsamlift.streams import (
    FAILED,
    UNKNOWN,
    WHOLE,
    WHOLE_REASONS,
    FrameError,
    GenerationEnd,
    Outcome,
    Start,
    Stream,
    StreamError,
    StreamInterruptedError,
    StreamStatusError,
    StreamUnreachableError,
    TokenGapError,
    Tokens,
)

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1


async def recover_by_key(
    dependencies: Dependencies, execution: Execution
) -> Outcome | None:
    """Return the outcome found by asking upstreams for the key, if any."""
    match = await find_by_key(dependencies, execution)
    if match is None:
        return None
    if match.upstream.kind == "engine":
        generation = match.key_state.generation
        return await recover_from_engine(
            dependencies, execution, match.upstream.name, generation
        )
    return await wait_for_result(dependencies, execution, match)


async def recover_from_engine(
    dependencies: Dependencies,
    execution: Execution,
    upstream_name: str,
    generation: str,
) -> Outcome | None:
    """Reread the whole generation from its engine; None if that fails."""
    upstream = dependencies.upstreams.find(upstream_name)
    if upstream is None or upstream.kind != "engine":
        return None
    dependencies.timeline.record(
        "adopted", request=execution.key, upstream=upstream_name
    )
    execution.reset_first_index()
    for _ in range(MAX_ATTEMPTS):
        stream = _open(dependencies, execution, upstream, generation)
        try:
            return await _read(execution, stream, upstream_name)
        except (StreamUnreachableError, StreamStatusError):
            return None
        except (StreamError, FrameError):
            await dependencies.clock.sleep(RETRY_PAUSE_S)
    return None


def _open(
    dependencies: Dependencies,
    execution: Execution,
    upstream: Upstream,
    generation: str,
) -> Stream:
    streams = dependencies.settings.streams
    return dependencies.streams.open(
        "GET",
        f"http://{upstream.address}/v1/generations/{quote(generation)}"
        f"?from={execution.answer.next_index}",
        connect_ms=streams.connect_ms,
        silence_ms=streams.upstream_silence_ms,
    )


async def _read(
    execution: Execution, stream: Stream, upstream: str
) -> Outcome:
    async with contextlib.aclosing(stream.events()) as events:
        async for event in events:
            if event.name == "token":
                execution.append_tokens(event.decode(Tokens))
            elif event.name == "start":
                start = event.decode(Start)
                expected = (execution.key, execution.workspace)
                if (start.key, start.workspace) != expected:
                    return execution.fail("foreign_generation", UNKNOWN)
                execution.answer.begin(start.generation)
                execution.begin(attrs.evolve(start, upstream=upstream))
            elif event.name == "end":
                return _outcome(execution, event.decode(GenerationEnd))
    raise StreamInterruptedError("ended without an end")


def _outcome(execution: Execution, end: GenerationEnd) -> Outcome:
    if end.reason in ("cancelled", "reclaimed"):
        return execution.fail(end.reason, FAILED)
    if (
        execution.start is None
        or end.generation != execution.answer.generation
    ):
        raise FrameError("the end of another generation")
    if end.reason not in WHOLE_REASONS:
        return execution.fail("end_unknown", FAILED)
    if end.tokens != execution.answer.next_index:
        raise TokenGapError("the end counts other tokens")
    return Outcome(
        outcome=WHOLE,
        reason=end.reason,
        tokens=end.tokens,
        digest=execution.answer.digest,
    )
