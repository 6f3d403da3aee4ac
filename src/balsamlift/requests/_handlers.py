"""HTTP handlers for requests, on the callers' and the peers' routes."""

from __future__ import annotations

import asyncio
import math
from contextlib import AbstractContextManager, nullcontext
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import HTTPError, stream_request_body

from balsamlift._http import CLOCK_HEADER
from balsamlift._silence import SilenceTimer
from balsamlift.clients import drop
from balsamlift.exceptions import RefusedError
from balsamlift.requests._base_handlers import (
    METHOD_NOT_ALLOWED,
    JsonErrorHandler,
)
from balsamlift.requests._errors import (
    AnswerExpiredError,
    BadQueryError,
    BodyTooLargeError,
    IndexPastEndError,
    StreamsFullError,
)
from balsamlift.requests._execution import Execution
from balsamlift.requests._forwarder import HOPS_HEADER, MAX_HOPS
from balsamlift.requests._messages import decode_request
from balsamlift.requests._service import Requests
from balsamlift.requests._slots import Slots
from balsamlift.streams import (
    HEARTBEAT,
    REFUSED,
    UNKNOWN,
    WHOLE,
    Accepted,
    Outcome,
    Start,
    encode_event,
    encode_raw_event,
)

OUTCOME_STATUS = {REFUSED: 503, UNKNOWN: 504}
BEARER = "Bearer "
FRAMES_PER_YIELD = 32
RETRY_AFTER_S = 1
MAX_INDEX_DIGITS = 12


@stream_request_body
class RequestsHandler(JsonErrorHandler):
    """Submit, read or cancel one request.

    The rest of a body over the limit is read and discarded: closing the
    connection at once would reset it before the caller has read the error.
    """

    def initialize(
        self, requests: Requests, slots: Slots | None = None
    ) -> None:
        """Store the service and the slots for callers' streams.

        Without slots the handler serves peers, which have already checked
        the token and the limits.
        """
        self._requests = requests
        self._is_peer = slots is None
        self._slots = slots
        self._timeline = requests.dependencies.timeline
        self._closed = False
        self._body = bytearray()
        self._body_bytes = 0

    def prepare(self) -> None:
        """Advance the logical clock to the caller's timestamp."""
        self._timeline.observe(self.request.headers.get(CLOCK_HEADER, ""))

    def data_received(self, chunk: bytes) -> None:
        """Buffer the body up to its limit."""
        self._body_bytes += len(chunk)
        if not self._is_too_large():
            self._body += chunk

    def on_connection_close(self) -> None:
        """Record that the connection is closed, and free the body."""
        super().on_connection_close()
        self._closed = True
        drop(self._body)

    async def post(self, key: str | None) -> None:
        """Submit a request and stream its answer."""
        if key is not None:
            raise HTTPError(METHOD_NOT_ALLOWED)
        if self._is_too_large():
            raise BodyTooLargeError(f"expected at most {self._limit()} bytes")
        body = decode_request(bytes(self._body))
        self._body.clear()
        self._authorize(body.workspace)
        with self._stream_slot():
            execution = self._requests.submit(body, self._hops())
            _check_index(execution, 0)
            await self._deliver(execution, 0)

    async def get(self, key: str | None) -> None:
        """Stream an answer, starting at the index in `from`."""
        if key is None:
            raise HTTPError(METHOD_NOT_ALLOWED)
        workspace = self.query("workspace")
        self._authorize(workspace)
        first_index = self._index()
        with self._stream_slot():
            execution = self._requests.follow(
                key, workspace, first_index, self._engine(), self._hops()
            )
            _check_index(execution, first_index)
            await self._deliver(execution, first_index)

    async def delete(self, key: str | None) -> None:
        """Cancel a request."""
        if key is None:
            raise HTTPError(METHOD_NOT_ALLOWED)
        workspace = self.query("workspace")
        self._authorize(workspace)
        cancelled = await self._requests.cancel(key, workspace)
        self.reply(200, msgspec.json.encode({"cancelled": cancelled}))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error as a refused outcome or as a typed JSON error."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, StreamsFullError):
            self.set_header("Retry-After", RETRY_AFTER_S)
        if not isinstance(error, RefusedError):
            super().write_error(status_code, **kwargs)
            return
        outcome = Outcome(
            outcome=REFUSED,
            reason=error.reason,
            retry_after_ms=error.retry_after_ms,
        )
        self._reply_outcome(outcome)

    def reply(self, status: int, body: bytes) -> None:
        """Send encoded JSON with this host's clock in a header."""
        self.set_header(CLOCK_HEADER, self._timeline.stamp())
        super().reply(status, body)

    def _limit(self) -> int:
        return self._requests.dependencies.settings.limits.body_bytes

    def _is_too_large(self) -> bool:
        # A peer has already applied the limit to what it forwards.
        return not self._is_peer and self._body_bytes > self._limit()

    def _stream_slot(self) -> AbstractContextManager[None]:
        return self._slots.acquire() if self._slots else nullcontext()

    def _authorize(self, workspace: str) -> None:
        if self._is_peer:
            return
        header = self.request.headers.get("Authorization", "")
        self._requests.authorize(workspace, header.removeprefix(BEARER))

    def _hops(self) -> int:
        if not self._is_peer:
            return 0
        hops = self.request.headers.get(HOPS_HEADER, "1")
        return int(hops) if hops in ("0", "1", "2") else MAX_HOPS

    def _index(self) -> int:
        text = self.get_query_argument("from", "0")
        if not text.isdecimal() or len(text) > MAX_INDEX_DIGITS:
            raise BadQueryError("from: expected an index of 0 or more")
        return int(text)

    def _engine(self) -> tuple[str, str] | None:
        upstream = self.get_query_argument("upstream", "")
        generation = self.get_query_argument("generation", "")
        return (upstream, generation) if upstream and generation else None

    async def _deliver(self, execution: Execution, first_index: int) -> None:
        execution.watch()
        try:
            await execution.wait_settled(self._heartbeat_s())
            if _ended_without_start(execution):
                assert execution.outcome is not None
                self._reply_outcome(execution.outcome)
                return
            await _Delivery(self, execution, first_index).run()
        except StreamClosedError:
            self._timeline.record("caller_lost", request=execution.key)
        except TimeoutError:
            self._timeline.record("caller_lost", request=execution.key)
            self._drop_connection()
        finally:
            execution.unwatch()

    def _drop_connection(self) -> None:
        # finish() would wait for the caller to read, and would end the
        # truncated stream as if it were complete.
        self.detach().close()

    def _heartbeat_s(self) -> float:
        return (
            self._requests.dependencies.settings.streams.heartbeat_ms / 1_000
        )

    def _reply_outcome(self, outcome: Outcome) -> None:
        if outcome.retry_after_ms is not None:
            seconds = math.ceil(outcome.retry_after_ms / 1_000)
            self.set_header("Retry-After", str(seconds))
        self.reply(
            OUTCOME_STATUS[outcome.outcome], msgspec.json.encode(outcome)
        )

    async def send(self, frame: bytes) -> None:
        """Send one frame; a slow caller delays only its own stream.

        Raises `StreamClosedError` when the connection is closed and
        `TimeoutError` when the caller does not read.
        """
        if self._closed:
            raise StreamClosedError
        self.write(frame)
        flushed = self.flush()
        if flushed.done():
            flushed.result()  # raises StreamClosedError
            return
        timeout_s = (
            self._requests.dependencies.settings.streams.abandon_ms / 1_000
        )
        async with asyncio.timeout(timeout_s):
            await flushed

    def begin_stream(self) -> None:
        """Set the headers of a server-sent event stream."""
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-store")
        self.set_header(CLOCK_HEADER, self._timeline.stamp())

    def heartbeat_s(self) -> float:
        """Return the interval after which an idle stream gets a heartbeat."""
        return self._heartbeat_s()


class _Delivery:
    """Write one execution to one caller, starting at an index."""

    def __init__(
        self, handler: RequestsHandler, execution: Execution, index: int
    ) -> None:
        self._handler = handler
        self._execution = execution
        self._index = index
        self._accepted: Accepted | None = None
        self._start: Start | None = None
        self._heartbeat_is_due = False
        self._timer: SilenceTimer | None = None

    async def run(self) -> None:
        """Write frames up to and including the outcome."""
        self._handler.begin_stream()
        self._timer = SilenceTimer(
            self._handler.heartbeat_s(), self._on_silence
        )
        try:
            await self._write_all()
        finally:
            self._timer.stop()

    async def _write_all(self) -> None:
        execution = self._execution
        execution.delivered = max(execution.delivered, self._index)
        while True:
            changed = execution.changed
            if self._heartbeat_is_due:
                await self._send_frame(HEARTBEAT)
            await self._write_header_frames()
            await self._write_tokens()
            if changed is not execution.changed:
                continue
            if execution.outcome is not None:
                await self._write_end(execution.outcome)
                return
            await changed.wait()

    async def _write_header_frames(self) -> None:
        execution = self._execution
        if self._accepted is not execution.accepted and execution.accepted:
            self._accepted = execution.accepted
            await self._send("accepted", self._accepted)
        if self._start is not execution.start and execution.start:
            self._start = execution.start
            await self._send("start", self._start)

    async def _write_tokens(self) -> None:
        execution = self._execution
        if execution.is_withheld:
            return
        frames = execution.answer.frames_from(self._index)
        # Sent one at a time, so that a caller that does not read costs the
        # memory of one frame only.
        for count, (index_after, data) in enumerate(frames, 1):
            # Counted before sending: tokens that may have reached a caller
            # cannot be replaced by those of another generation.
            execution.delivered = max(execution.delivered, index_after)
            self._index = index_after
            await self._send_frame(encode_raw_event("token", data))
            if count % FRAMES_PER_YIELD == 0:
                # Replaying a long answer must not block the event loop.
                await asyncio.sleep(0)

    async def _write_end(self, outcome: Outcome) -> None:
        await self._send("end", outcome)
        # Wait until all is sent: a daemon that stops closes the connection.
        await self._handler.finish()

    def _on_silence(self) -> None:
        self._heartbeat_is_due = True
        self._execution.notify()

    async def _send(self, name: str, body: Any) -> None:
        await self._send_frame(encode_event(name, body))

    async def _send_frame(self, frame: bytes) -> None:
        assert self._timer is not None
        self._timer.reset()
        self._heartbeat_is_due = False
        await self._handler.send(frame)


def _ended_without_start(execution: Execution) -> bool:
    if execution.outcome is None or execution.start is not None:
        return False
    return execution.outcome.outcome in OUTCOME_STATUS


def _check_index(execution: Execution, first_index: int) -> None:
    dropped_outcome = execution.outcome if execution.answer_dropped else None
    if dropped_outcome is None and execution.answer.first_index > 0:
        return  # the home checks the index
    end = (
        dropped_outcome.tokens
        if dropped_outcome
        else execution.answer.next_index
    )
    if first_index > end:
        raise IndexPastEndError(f"expected at most {end}")
    # A service's result has no tokens, so index 0 never has all of it.
    has_all = first_index >= max(end, 1)
    if dropped_outcome and dropped_outcome.outcome == WHOLE and not has_all:
        raise AnswerExpiredError("the answer is no longer kept")
