"""Forwarding of requests whose home is another host.

Only the home may dispatch a request. This host relays the home's stream.
When the home is gone, it reads the same generation from the engine, which
does not run the request again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any
from urllib.parse import quote

import attrs
import msgspec

from balsamlift._http import CallError
from balsamlift._json import decode_json
from balsamlift.peers import Peer
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._errors import KeyMissingError
from balsamlift.requests._execution import Execution
from balsamlift.requests._keys import Home
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._recovery import recover_by_key, recover_from_engine
from balsamlift.streams import (
    FAILED,
    REFUSED,
    UNKNOWN,
    Accepted,
    FrameError,
    Outcome,
    Start,
    Stream,
    StreamError,
    StreamInterruptedError,
    StreamStatusError,
    Tokens,
)

HOPS_HEADER = "X-Balsamlift-Hops"
MAX_HOPS = 1
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
RETRY_AFTER_MS = 1_000
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
SERVER_ERROR = 500
MAX_RELAYS = 2  # peers tried as relays to a home that is unreachable from here


@attrs.frozen(kw_only=True)
class _Error:
    error: str


@attrs.frozen(kw_only=True)
class _Cancelled:
    cancelled: bool


@attrs.define(eq=False)
class _ForwardedRequest:
    """Hold the state of one request that is forwarded to its home.

    `engine` names the upstream and the generation if the caller knew them.
    """

    home: Home
    execution: Execution
    body: RequestBody | None
    engine: tuple[str, str] | None
    hops: int
    attempts: int = 0


class RequestForwarder:
    """Forward requests to their homes and relay the answers."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Start without any forwarded requests."""
        self._dependencies = dependencies
        self._tasks: set[asyncio.Task[None]] = set()
        self._executions: set[Execution] = set()

    def is_busy(self) -> bool:
        """Return whether any request is being forwarded or read."""
        watched = any(e.watchers for e in self._executions)
        return watched or bool(self._tasks)

    def submit(self, home: Home, body: RequestBody, hops: int) -> Execution:
        """Forward a request to its home and follow the answer."""
        execution = Execution(body.key, body.workspace, body)
        forwarded = _ForwardedRequest(home, execution, body, None, hops)
        self._spawn(self._follow(forwarded), execution)
        return execution

    def follow(
        self,
        home: Home,
        key: str,
        workspace: str,
        first_index: int,
        engine: tuple[str, str] | None,
        hops: int,
    ) -> Execution:
        """Follow a request at its home, starting at `first_index`."""
        execution = Execution(key, workspace, None, first_index)
        forwarded = _ForwardedRequest(home, execution, None, engine, hops)
        self._spawn(self._follow(forwarded), execution)
        return execution

    async def follow_into(
        self, home: Home, execution: Execution, body: RequestBody
    ) -> None:
        """Follow a request at another host into an existing execution."""
        await self._follow(_ForwardedRequest(home, execution, body, None, 0))

    async def cancel(self, home: Home, key: str, workspace: str) -> bool:
        """Ask the home to cancel; return whether the request was cancelled.

        Raises `KeyMissingError` if no peer can answer for the key.
        """
        for peer in self._routes(home, 0):
            url = _url(peer, f"/{quote(key)}?workspace={quote(workspace)}")
            try:
                answer = await self._dependencies.http.call(
                    "DELETE", url, timeout_ms=5_000
                )
            except CallError:
                continue
            if answer.status == 200:
                return answer.decode(_Cancelled).cancelled
        raise KeyMissingError("no such request within reach")

    def _spawn(
        self, run: Coroutine[Any, Any, None], execution: Execution
    ) -> None:
        task = asyncio.ensure_future(run)
        execution.task = task
        self._tasks.add(task)
        self._executions.add(execution)
        task.add_done_callback(self._tasks.discard)
        execution.on_unwatched = self._on_unwatched

    def _on_unwatched(self, execution: Execution) -> None:
        # No caller reads from this host any more. The request goes on at
        # its home.
        self._executions.discard(execution)
        if execution.task is not None:
            execution.task.cancel()

    async def _follow(self, forwarded: _ForwardedRequest) -> None:
        execution = forwarded.execution
        try:
            outcome = await self._follow_home(forwarded)
        except asyncio.CancelledError:
            outcome = execution.fail("cancelled_here", UNKNOWN)
            execution.finish(outcome, self._dependencies.clock.monotonic())
            raise
        execution.finish(outcome, self._dependencies.clock.monotonic())

    async def _follow_home(self, forwarded: _ForwardedRequest) -> Outcome:
        pause_s = RETRY_PAUSE_S
        for _ in range(MAX_ATTEMPTS):
            routes = self._routes(forwarded.home, forwarded.hops)
            for peer in routes:
                outcome = await self._forward(forwarded, peer)
                if outcome is not None:
                    return outcome
            if not routes:
                break
            await self._dependencies.clock.sleep(pause_s)
            pause_s *= 2
        return await self._recover_without_home(forwarded)

    async def _forward(
        self, forwarded: _ForwardedRequest, peer: Peer
    ) -> Outcome | None:
        execution = forwarded.execution
        stream = self._open(forwarded, peer)
        forwarded.attempts += 1
        self._dependencies.timeline.record(
            "passed_on", request=execution.key, to=peer.host
        )
        try:
            return await _read_stream(execution, stream)
        except StreamStatusError as error:
            return _status_outcome(forwarded, error)
        except (StreamError, FrameError) as error:
            self._dependencies.timeline.record(
                "pass_lost",
                request=execution.key,
                to=peer.host,
                reason=str(error),
            )
            return None

    def _open(self, forwarded: _ForwardedRequest, peer: Peer) -> Stream:
        execution = forwarded.execution
        streams = self._dependencies.settings.streams
        method, path, body = "POST", "", forwarded.body
        if body is None or execution.accepted is not None:
            method, body = "GET", None
            path = (
                f"/{quote(execution.key)}"
                f"?workspace={quote(execution.workspace)}"
                f"&from={execution.answer.next_index}"
            )
        return self._dependencies.streams.open(
            method,
            _url(peer, path),
            body,
            connect_ms=streams.connect_ms,
            silence_ms=streams.upstream_silence_ms,
            headers={HOPS_HEADER: str(forwarded.hops + 1)},
        )

    def _routes(self, home: Home, hops: int) -> list[Peer]:
        """Return the peers that can answer for a key, best first."""
        peers = self._dependencies.peers.live()
        holders = [p for p in peers if home.name in p.taken_over]
        home_peers = [p for p in peers if Home(p.host, p.incarnation) == home]
        routes = [*holders, *home_peers]
        if routes and hops < MAX_HOPS:
            # The link to the home may be cut in one direction only; other
            # peers may still reach it.
            others = [p for p in peers if p not in routes and not p.leaving]
            routes += others[:MAX_RELAYS]
        return routes

    async def _recover_without_home(
        self, forwarded: _ForwardedRequest
    ) -> Outcome:
        """Recover the answer from upstreams, or return "unknown"."""
        execution = forwarded.execution
        engine = forwarded.engine
        if execution.start is not None and execution.start.upstream:
            engine = (execution.start.upstream, execution.start.generation)
        if engine is not None:
            outcome = await recover_from_engine(
                self._dependencies, execution, *engine
            )
        else:
            outcome = await recover_by_key(self._dependencies, execution)
        if outcome is not None:
            return outcome
        unknown = execution.fail("home_lost", UNKNOWN)
        return attrs.evolve(unknown, retry_after_ms=RETRY_AFTER_MS)


def _url(peer: Peer, path: str) -> str:
    return f"http://{peer.operators_address}/v1/peer/requests{path}"


def _status_outcome(
    forwarded: _ForwardedRequest, error: StreamStatusError
) -> Outcome | None:
    """Return the outcome for an error status; None to try again."""
    try:
        return decode_json(error.body, Outcome)
    except msgspec.DecodeError:
        pass
    execution = forwarded.execution
    if error.status == NOT_FOUND and execution.accepted is None:
        return execution.fail("key_missing", UNKNOWN)
    if error.status == NOT_FOUND or error.status >= SERVER_ERROR:
        return None
    return _client_error_outcome(forwarded, error)


def _client_error_outcome(
    forwarded: _ForwardedRequest, error: StreamStatusError
) -> Outcome:
    """Return the outcome for a status that reports an error of the caller."""
    try:
        code = decode_json(error.body, _Error).error
    except msgspec.DecodeError:
        code = f"status_{error.status}"
    if error.status == GONE:
        return forwarded.execution.fail(code, FAILED)
    # An earlier attempt may have started the request, whatever the answer
    # to this one.
    did_not_run = forwarded.body is not None and forwarded.attempts == 1
    if did_not_run or error.status == CONFLICT:
        return Outcome(outcome=REFUSED, reason=code)
    return forwarded.execution.fail(code, UNKNOWN)


async def _read_stream(execution: Execution, stream: Stream) -> Outcome:
    async with contextlib.aclosing(stream.events()) as events:
        async for event in events:
            if event.name == "token":
                execution.append_tokens(event.decode(Tokens))
            elif event.name == "accepted":
                execution.accept(event.decode(Accepted))
            elif event.name == "start":
                start = event.decode(Start)
                execution.answer.begin(start.generation)
                execution.begin(start)
            elif event.name == "end":
                return event.decode(Outcome)
    raise StreamInterruptedError("ended without an end")
