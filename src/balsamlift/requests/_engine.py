"""Run one request on engines: one generation, resumed, never spliced."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from balsamlift._http import CallError
from balsamlift.peers import Upstream
from balsamlift.requests._answers import ask_key, read_refusal
from balsamlift.requests._work import (
    LostError,
    NotRunError,
    Work,
    next_upstream,
    note_dispatch,
    note_not_run,
)
from balsamlift.streams import (
    FAILED,
    UNKNOWN,
    WHOLE,
    WHOLE_REASONS,
    FrameError,
    GenerationEnd,
    OtherTokensError,
    Outcome,
    Start,
    Stream,
    StreamError,
    StreamSilentError,
    StreamStatusError,
    StreamUnreachableError,
    TokenGapError,
    Tokens,
)

RESUME_TRIES = 6
RESUME_PAUSE_S = 0.1
REFUSED_TRIES = 2  # where the work may begin anew elsewhere
NOT_FOUND = 404
NOT_REPRODUCIBLE = "not_reproducible"


async def run_on_engines(work: Work) -> Outcome:
    """Try engines until there is an outcome."""
    while True:
        upstream = await next_upstream(work)
        if isinstance(upstream, Outcome):
            return _without_place(work, upstream)
        note_dispatch(work, upstream)
        try:
            return await _run_on(work, upstream)
        except NotRunError as error:
            note_not_run(work, upstream, error)
        except LostError as error:
            outcome = _after_loss(work, upstream, error)
            if outcome is not None:
                return outcome
        finally:
            work.parts.placement.release(work.ticket, upstream)


def _without_place(work: Work, refusal: Outcome) -> Outcome:
    # After a loss the work has run once: "refused" would be false.
    if not work.execution.dispatched:
        return refusal
    return work.execution.fail("no_engine_left")


def _after_loss(
    work: Work, upstream: Upstream, error: LostError
) -> Outcome | None:
    execution = work.execution
    work.record(
        "engine_lost",
        upstream=upstream.name,
        reason=error.reason,
        delivered=execution.delivered,
    )
    work.parts.metrics.count("requests.engine_lost")
    if not work.idempotent:
        kind = FAILED if error.ended else UNKNOWN
        return execution.fail(error.reason, kind)
    work.note_lost(upstream)
    if execution.delivered == 0:
        execution.answer.reset()
        return None
    # Another try would be another generation too: its prefix has differed.
    if _is_deterministic(work) and error.reason != NOT_REPRODUCIBLE:
        return None
    return execution.fail(error.reason)


def _is_deterministic(work: Work) -> bool:
    pool = work.parts.settings.pools.get(work.ticket.request.pool)
    return (
        pool is not None and pool.deterministic and work.body.seed is not None
    )


async def _run_on(work: Work, upstream: Upstream) -> Outcome:
    """Begin a generation on this engine and follow it to its end."""
    reader = _Reader(work, upstream)
    streams = work.parts.settings.streams
    stream = work.parts.streams.open(
        "POST",
        f"http://{upstream.address}/v1/generations",
        _generation_body(work),
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
            work.record(
                "stream_lost", upstream=upstream.name, reason=str(error)
            )
        if not reader.generation:
            reader.generation = await _ask_by_key(work, upstream)
        return await _resume(work, upstream, reader)
    except asyncio.CancelledError:
        await asyncio.shield(cancel_generation(work, upstream, reader))
        raise


def _generation_body(work: Work) -> dict[str, str | int | None]:
    body = work.body
    return {
        "key": body.key,
        "workspace": body.workspace,
        "kind": body.kind,
        "prompt": body.prompt,
        "prompt_tokens": work.ticket.request.prompt_tokens,
        "prefix": body.prefix,
        "max_tokens": work.max_tokens,
        # Presets serve 0 first, engines the highest.
        "priority": -work.priority,
        # The version may lag during a roll-out, and is told at the start.
        "model": work.model,
        "seed": body.seed,
    }


def _status_error(error: StreamStatusError) -> NotRunError | LostError:
    refusal = read_refusal(error.body)
    if not refusal.ran:
        return NotRunError(refusal.reason, refusal.retry_after_ms)
    return LostError(f"engine_status_{error.status}", ended=False)


async def _ask_by_key(work: Work, upstream: Upstream) -> str:
    """Return the generation that runs under the key; raise `LostError`."""
    timeout_ms = work.parts.settings.streams.upstream_silence_ms
    told = await ask_key(work.parts, upstream, work.execution.key, timeout_ms)
    if told is None or not told.generation:
        raise LostError("engine_silent", ended=False)
    return told.generation


async def _resume(work: Work, upstream: Upstream, reader: _Reader) -> Outcome:
    """Follow the same generation over fresh connections."""
    failed = 0
    refused = 0
    while failed < RESUME_TRIES:
        if refused >= REFUSED_TRIES and _may_rerun(work):
            break
        before = reader.frames
        try:
            return await reader.read(_open_again(work, upstream, reader))
        except StreamStatusError as error:
            if error.status == NOT_FOUND:
                raise LostError("engine_forgot", ended=True) from error
        except StreamUnreachableError:
            refused += 1
        except (StreamError, FrameError):
            refused = 0
        if reader.frames > before:
            # It moved on; silent connections may come any number of times.
            failed = 0
            continue
        await work.parts.clock.sleep(RESUME_PAUSE_S * 2**failed)
        failed += 1
    work.parts.upstreams.mark(upstream.name, "dead", "resume")
    raise LostError("engine_lost", ended=False)


def _open_again(work: Work, upstream: Upstream, reader: _Reader) -> Stream:
    work.record("resumed", upstream=upstream.name, index=reader.next_index)
    streams = work.parts.settings.streams
    return work.parts.streams.open(
        "GET",
        f"http://{upstream.address}/v1/generations/{reader.generation}"
        f"?from={reader.next_index}",
        connect_ms=streams.connect_ms,
        silence_ms=streams.upstream_silence_ms,
    )


def _may_rerun(work: Work) -> bool:
    """Return whether another engine may begin anew at no loss."""
    if not work.idempotent:
        return False
    return work.execution.delivered == 0 or _is_deterministic(work)


async def cancel_generation(
    work: Work, upstream: Upstream, reader: _Reader
) -> None:
    """Tell the engine to stop, as far as it can be told."""
    if not reader.generation:
        return
    url = f"http://{upstream.address}/v1/generations/{reader.generation}"
    with contextlib.suppress(CallError):
        await work.parts.http.call("DELETE", url, timeout_ms=2_000)
    work.record("generation_cancelled", upstream=upstream.name)


class _Reader:
    """Read the streams of one generation into the answer.

    When the answer holds tokens of an earlier generation, the first tokens
    of this one are checked against them before any new one is taken.
    """

    def __init__(self, work: Work, upstream: Upstream) -> None:
        """Begin before the first frame."""
        self.generation = ""
        self.frames = 0
        self._work = work
        self._upstream = upstream
        self._held = work.execution.answer.next_index
        self._verified = 0
        self._pending: Start | None = None
        self._last_s = 0.0

    @property
    def next_index(self) -> int:
        """Return the index of the first token not yet read."""
        if self._verified < self._held:
            return self._verified
        return self._work.execution.answer.next_index

    async def read(self, stream: Stream) -> Outcome:
        """Follow one stream to the end of the generation.

        Raises `LostError`, `StreamError` and `FrameError`.
        """
        async with contextlib.aclosing(stream.events()) as events:
            async for event in events:
                if event.name == "token":
                    self._on_tokens(event.decode(Tokens))
                elif event.name == "start":
                    self._on_start(event.decode(Start))
                elif event.name == "end":
                    return self._on_end(event.decode(GenerationEnd))
        raise StreamSilentError("ended without an end")

    def _on_start(self, start: Start) -> None:
        if not start.generation:
            raise FrameError("a start without a generation")
        if self.generation and start.generation != self.generation:
            raise FrameError("another generation answered")
        execution = self._work.execution
        mine = (execution.key, execution.workspace)
        if (start.key, start.workspace) != mine:
            raise LostError("foreign_generation", ended=False)
        self.frames += 1
        if self._pending is not None:
            return
        self.generation = start.generation
        self._pending = attrs.evolve(start, upstream=self._upstream.name)
        self._last_s = self._work.parts.clock.monotonic()
        self._work.parts.placement.mark_started(
            self._work.ticket, self._upstream
        )
        if self._held == 0:
            self._begin()

    def _begin(self) -> None:
        execution = self._work.execution
        assert self._pending is not None
        execution.answer.begin(self.generation)
        start = attrs.evolve(self._pending, verified_tokens=self._held)
        execution.begin(start)
        self._work.record(
            "generation", upstream=self._upstream.name, id=self.generation
        )

    def _on_tokens(self, frame: Tokens) -> None:
        self.frames += 1
        if self._verified < self._held:
            self._verify(frame)
            if self._verified < self._held:
                return
        added = self._work.execution.take(frame)
        if not added:
            return
        now_s = self._work.parts.clock.monotonic()
        gap_ms = (now_s - self._last_s) * 1_000
        self._last_s = now_s
        self._work.parts.placement.record_progress(
            self._work.ticket, self._upstream, added, gap_ms
        )

    def _verify(self, frame: Tokens) -> None:
        if frame.index > self._verified:
            raise TokenGapError("tokens are missing in the repetition")
        try:
            self._work.execution.answer.verify(frame)
        except OtherTokensError as error:
            raise LostError(NOT_REPRODUCIBLE, ended=True) from error
        self._verified = max(self._verified, frame.index + len(frame.tokens))
        if self._verified >= self._held:
            self._begin()

    def _on_end(self, end: GenerationEnd) -> Outcome:
        execution = self._work.execution
        if not self.generation or end.generation != self.generation:
            raise FrameError("the end of another generation")
        if end.reason == "reclaimed":
            raise LostError("engine_reclaimed", ended=True)
        if end.reason == "cancelled":
            return execution.fail("cancelled")
        if end.reason not in WHOLE_REASONS:
            raise LostError("end_unknown", ended=True)
        if self._verified < self._held:
            raise LostError(NOT_REPRODUCIBLE, ended=True)
        if end.tokens != execution.answer.next_index:
            raise TokenGapError("the end counts other tokens")
        return Outcome(
            outcome=WHOLE,
            reason=end.reason,
            tokens=end.tokens,
            digest=execution.answer.digest,
        )
