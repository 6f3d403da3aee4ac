"""Run one request on engines.

An answer comes from a single generation. A lost stream is resumed, but
tokens of different generations are never combined.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from balsamlift._http import CallError
from balsamlift.peers import Upstream
from balsamlift.requests._dispatch import (
    Dispatch,
    ExecutionLostError,
    NotRunError,
    choose_upstream,
    record_dispatch,
    record_not_run,
)
from balsamlift.requests._upstream_responses import (
    decode_refusal,
    fetch_key_state,
)
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
    TokenMismatchError,
    Tokens,
)

MAX_RESUME_ATTEMPTS = 6
RESUME_PAUSE_S = 0.1
MAX_REFUSED_ATTEMPTS = 2  # if the request can be rerun on another engine
NOT_FOUND = 404
NOT_REPRODUCIBLE = "not_reproducible"


async def run_on_engines(dispatch: Dispatch) -> Outcome:
    """Try engines until one yields an outcome, then return it."""
    while True:
        upstream = await choose_upstream(dispatch)
        if isinstance(upstream, Outcome):
            return _no_engine_outcome(dispatch, upstream)
        record_dispatch(dispatch, upstream)
        try:
            return await _run_on(dispatch, upstream)
        except NotRunError as error:
            record_not_run(dispatch, upstream, error)
        except ExecutionLostError as error:
            outcome = _handle_loss(dispatch, upstream, error)
            if outcome is not None:
                return outcome
        finally:
            dispatch.dependencies.placement.release(dispatch.ticket, upstream)


def _no_engine_outcome(dispatch: Dispatch, refusal: Outcome) -> Outcome:
    # After a loss the request may have run, so "refused" would be wrong.
    if not dispatch.execution.dispatched:
        return refusal
    return dispatch.execution.fail("no_engine_left")


def _handle_loss(
    dispatch: Dispatch, upstream: Upstream, error: ExecutionLostError
) -> Outcome | None:
    execution = dispatch.execution
    dispatch.record(
        "engine_lost",
        upstream=upstream.name,
        reason=error.reason,
        delivered=execution.delivered,
    )
    dispatch.dependencies.metrics.count("requests.engine_lost")
    if not dispatch.idempotent:
        kind = FAILED if error.ended else UNKNOWN
        return execution.fail(error.reason, kind)
    dispatch.mark_lost(upstream)
    if execution.delivered == 0:
        execution.answer.reset()
        return None
    # Not retried after NOT_REPRODUCIBLE: the tokens delivered so far were
    # not repeated, and another attempt would again be another generation.
    if _is_deterministic(dispatch) and error.reason != NOT_REPRODUCIBLE:
        return None
    return execution.fail(error.reason)


def _is_deterministic(dispatch: Dispatch) -> bool:
    pool = dispatch.dependencies.settings.pools.get(
        dispatch.ticket.request.pool
    )
    return (
        pool is not None
        and pool.deterministic
        and dispatch.body.seed is not None
    )


async def _run_on(dispatch: Dispatch, upstream: Upstream) -> Outcome:
    """Start a generation on this engine and follow it to its end."""
    reader = _GenerationReader(dispatch, upstream)
    streams = dispatch.dependencies.settings.streams
    stream = dispatch.dependencies.streams.open(
        "POST",
        f"http://{upstream.address}/v1/generations",
        _generation_body(dispatch),
        connect_ms=streams.connect_ms,
        silence_ms=streams.upstream_silence_ms,
    )
    try:
        try:
            return await reader.read(stream)
        except StreamUnreachableError as error:
            raise NotRunError("unreachable") from error
        except StreamStatusError as error:
            raise _status_error(error) from error
        except (StreamError, FrameError) as error:
            dispatch.record(
                "stream_lost", upstream=upstream.name, reason=str(error)
            )
        if not reader.generation:
            reader.generation = await _find_generation(dispatch, upstream)
        return await _resume(dispatch, upstream, reader)
    except asyncio.CancelledError:
        await asyncio.shield(cancel_generation(dispatch, upstream, reader))
        raise


def _generation_body(dispatch: Dispatch) -> dict[str, str | int | None]:
    body = dispatch.body
    return {
        "key": body.key,
        "workspace": body.workspace,
        "kind": body.kind,
        "prompt": body.prompt,
        "prompt_tokens": dispatch.ticket.request.prompt_tokens,
        "prefix": body.prefix,
        "max_tokens": dispatch.max_tokens,
        # In presets priority 0 is served first, on engines the highest.
        "priority": -dispatch.priority,
        # The version is not requested: it may lag behind during a roll-out.
        # The engine reports it in its start frame.
        "model": dispatch.model,
        "seed": body.seed,
    }


def _status_error(
    error: StreamStatusError,
) -> NotRunError | ExecutionLostError:
    refusal = decode_refusal(error.body)
    if not refusal.ran:
        return NotRunError(refusal.reason, refusal.retry_after_ms)
    return ExecutionLostError(f"engine_status_{error.status}", ended=False)


async def _find_generation(dispatch: Dispatch, upstream: Upstream) -> str:
    """Return the generation that has the key at the engine.

    Raises `ExecutionLostError` if the engine reports none.
    """
    timeout_ms = dispatch.dependencies.settings.streams.upstream_silence_ms
    key_state = await fetch_key_state(
        dispatch.dependencies, upstream, dispatch.execution.key, timeout_ms
    )
    if key_state is None or not key_state.generation:
        raise ExecutionLostError("engine_silent", ended=False)
    return key_state.generation


async def _resume(
    dispatch: Dispatch, upstream: Upstream, reader: _GenerationReader
) -> Outcome:
    """Follow the same generation over new connections."""
    failed_attempts = 0
    refused_attempts = 0
    while failed_attempts < MAX_RESUME_ATTEMPTS:
        if refused_attempts >= MAX_REFUSED_ATTEMPTS and _may_rerun(dispatch):
            break
        frames_before = reader.frames
        try:
            return await reader.read(_reopen(dispatch, upstream, reader))
        except StreamStatusError as error:
            if error.status == NOT_FOUND:
                raise ExecutionLostError(
                    "engine_forgot", ended=True
                ) from error
        except StreamUnreachableError:
            refused_attempts += 1
        except (StreamError, FrameError):
            refused_attempts = 0
        if reader.frames > frames_before:
            # Only attempts without progress count towards the limit.
            failed_attempts = 0
            continue
        await dispatch.dependencies.clock.sleep(
            RESUME_PAUSE_S * 2**failed_attempts
        )
        failed_attempts += 1
    dispatch.dependencies.upstreams.mark(upstream.name, "dead", "resume")
    raise ExecutionLostError("engine_lost", ended=False)


def _reopen(
    dispatch: Dispatch, upstream: Upstream, reader: _GenerationReader
) -> Stream:
    dispatch.record("resumed", upstream=upstream.name, index=reader.next_index)
    streams = dispatch.dependencies.settings.streams
    return dispatch.dependencies.streams.open(
        "GET",
        f"http://{upstream.address}/v1/generations/{reader.generation}"
        f"?from={reader.next_index}",
        connect_ms=streams.connect_ms,
        silence_ms=streams.upstream_silence_ms,
    )


def _may_rerun(dispatch: Dispatch) -> bool:
    """Return whether another engine can rerun the request from the start."""
    if not dispatch.idempotent:
        return False
    return dispatch.execution.delivered == 0 or _is_deterministic(dispatch)


async def cancel_generation(
    dispatch: Dispatch, upstream: Upstream, reader: _GenerationReader
) -> None:
    """Ask the engine to stop the generation; ignore failed calls."""
    if not reader.generation:
        return
    url = f"http://{upstream.address}/v1/generations/{reader.generation}"
    with contextlib.suppress(CallError):
        await dispatch.dependencies.http.call("DELETE", url, timeout_ms=2_000)
    dispatch.record("generation_cancelled", upstream=upstream.name)


class _GenerationReader:
    """Read the streams of one generation into the answer.

    When the answer holds tokens of an earlier generation, the first tokens
    of this one are compared with them before new ones are appended.
    """

    def __init__(self, dispatch: Dispatch, upstream: Upstream) -> None:
        """Start before the first frame."""
        self.generation = ""
        self.frames = 0
        self._dispatch = dispatch
        self._upstream = upstream
        self._held_tokens = dispatch.execution.answer.next_index
        self._verified = 0
        self._pending: Start | None = None
        self._last_token_s = 0.0

    @property
    def next_index(self) -> int:
        """Return the index of the first token not yet read."""
        if self._verified < self._held_tokens:
            return self._verified
        return self._dispatch.execution.answer.next_index

    async def read(self, stream: Stream) -> Outcome:
        """Follow one stream to the end of the generation.

        Raises `ExecutionLostError`, `StreamError` and `FrameError`.
        """
        async with contextlib.aclosing(stream.events()) as events:
            async for event in events:
                if event.name == "token":
                    self._on_tokens(event.decode(Tokens))
                elif event.name == "start":
                    self._on_start(event.decode(Start))
                elif event.name == "end":
                    return self._on_end(event.decode(GenerationEnd))
        raise StreamInterruptedError("ended without an end")

    def _on_start(self, start: Start) -> None:
        if not start.generation:
            raise FrameError("a start without a generation")
        if self.generation and start.generation != self.generation:
            raise FrameError("another generation answered")
        execution = self._dispatch.execution
        expected = (execution.key, execution.workspace)
        if (start.key, start.workspace) != expected:
            raise ExecutionLostError("foreign_generation", ended=False)
        self.frames += 1
        if self._pending is not None:
            return
        self.generation = start.generation
        self._pending = attrs.evolve(start, upstream=self._upstream.name)
        self._last_token_s = self._dispatch.dependencies.clock.monotonic()
        self._dispatch.dependencies.placement.mark_started(
            self._dispatch.ticket, self._upstream
        )
        if self._held_tokens == 0:
            self._begin()

    def _begin(self) -> None:
        execution = self._dispatch.execution
        assert self._pending is not None
        execution.answer.begin(self.generation)
        start = attrs.evolve(self._pending, verified_tokens=self._held_tokens)
        execution.begin(start)
        self._dispatch.record(
            "generation", upstream=self._upstream.name, id=self.generation
        )

    def _on_tokens(self, frame: Tokens) -> None:
        self.frames += 1
        if self._verified < self._held_tokens:
            self._verify(frame)
            if self._verified < self._held_tokens:
                return
        added = self._dispatch.execution.append_tokens(frame)
        if not added:
            return
        now_s = self._dispatch.dependencies.clock.monotonic()
        gap_ms = (now_s - self._last_token_s) * 1_000
        self._last_token_s = now_s
        self._dispatch.dependencies.placement.record_progress(
            self._dispatch.ticket, self._upstream, added, gap_ms
        )

    def _verify(self, frame: Tokens) -> None:
        if frame.index > self._verified:
            raise TokenGapError("tokens are missing in the repetition")
        try:
            self._dispatch.execution.answer.verify(frame)
        except TokenMismatchError as error:
            raise ExecutionLostError(NOT_REPRODUCIBLE, ended=True) from error
        self._verified = max(self._verified, frame.index + len(frame.tokens))
        if self._verified >= self._held_tokens:
            self._begin()

    def _on_end(self, end: GenerationEnd) -> Outcome:
        execution = self._dispatch.execution
        if not self.generation or end.generation != self.generation:
            raise FrameError("the end of another generation")
        if end.reason == "reclaimed":
            raise ExecutionLostError("engine_reclaimed", ended=True)
        if end.reason == "cancelled":
            return execution.fail("cancelled")
        if end.reason not in WHOLE_REASONS:
            raise ExecutionLostError("end_unknown", ended=True)
        if self._verified < self._held_tokens:
            raise ExecutionLostError(NOT_REPRODUCIBLE, ended=True)
        if end.tokens != execution.answer.next_index:
            raise TokenGapError("the end counts other tokens")
        return Outcome(
            outcome=WHOLE,
            reason=end.reason,
            tokens=end.tokens,
            digest=execution.answer.digest,
        )
