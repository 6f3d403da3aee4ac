"""Exchange of one request and one response with one upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from typing import Literal

import attrs

from balsamlift.clients import (
    AnswerBody,
    BodyLimitError,
    ClientMemoryError,
    Holding,
)
from balsamlift.clock import Clock
from balsamlift.exceptions import (
    AnswerMemoryError,
    ResponseLimitError,
    UpstreamBrokenError,
    UpstreamRestrictedError,
    UpstreamUnreachableError,
)
from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._catch_up import CatchUp
from balsamlift.relay._connection import ResponseHead, UpstreamConnection
from balsamlift.relay._framing import declared_length
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._headers import is_signed, upstream_headers
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay._reaching import CONNECT_TIMEOUT_S, try_connection
from balsamlift.relay._refusals import NOT_RUN_STATUSES
from balsamlift.relay._request import Call
from balsamlift.relay.health import Reachability, UnansweredRequests
from balsamlift.relay.shutdown import Shutdown
from balsamlift.relay.statements import (
    MISDIRECTED_REQUEST,
    Restrictions,
    SendPath,
    StatementReader,
)

# Time without a response after which the link to an upstream is suspected, and
# the same for the first event of a generation.
SILENCE_S, STREAM_SILENCE_S = 0.4, 1.0
# Part of a call's remaining time in which a connection has to open.
CONNECT_FRACTION = 0.2
# The listening port of a process that crashes may be closed a little later.
END_CHECK_DELAY_S = 0.02

Disposition = Literal["answer", "failure", "not_executed"]


@attrs.frozen
class Reply:
    """The head of a response, and the connection that its body arrives on."""

    upstream: Upstream
    connection: UpstreamConnection
    head: ResponseHead
    disposition: Disposition

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.head.status < 300


class Exchange:
    """Sends calls on pooled connections and classifies the responses."""

    def __init__(
        self,
        pool: ConnectionPool,
        names: HeaderNames,
        clock: Clock,
        statements: StatementReader,
        restrictions: Restrictions,
        reachability: Reachability,
        unanswered: UnansweredRequests,
        metrics: Metrics,
        shutdown: Shutdown,
        catch_up: CatchUp,
        is_leaving: Callable[[str], bool],
    ) -> None:
        """Create a client that acquires connections from `pool`."""
        self._unanswered = unanswered
        self._metrics = metrics
        self._pool = pool
        self._names = names
        self._clock = clock
        self._statements = statements
        self._restrictions = restrictions
        self._reachability = reachability
        self._shutdown = shutdown
        self._catch_up = catch_up
        self._is_leaving = is_leaving

    async def send(
        self,
        call: Call,
        attempt: Attempt,
        upstream: Upstream,
        extra: Iterable[tuple[str, str]] = (),
        *,
        path: SendPath = "chosen",
    ) -> Reply:
        """Send a call and return the head of its response.

        Raises `UpstreamUnreachableError` when nothing was sent, e.g. because
        the upstream is leaving since it was chosen, and
        `UpstreamBrokenError` when the request may have run. Cancellation
        closes the connection, so that the upstream stops.
        """
        was_held = await self._catch_up.wait()
        if was_held and path != "resumed" and self._is_leaving(upstream.name):
            raise UpstreamRestrictedError(upstream.name, "leaving")
        connection = await self._acquire(
            upstream, self._connect_timeout_s(call)
        )
        restriction = self._find_restriction(attempt, upstream, path)
        if restriction is not None:
            self._pool.release(connection)
            raise UpstreamRestrictedError(upstream.name, restriction)
        may_have_run_before = attempt.may_have_run
        sent_s = self._clock.monotonic()
        attempt.record_send(upstream.name, sent_s)
        self._statements.record_send(call.request_id, upstream, path)
        headers = upstream_headers(
            call, self._names, upstream.id, self._remaining_ms(call), extra
        )
        request = self._unanswered.open(upstream)
        connection.send(
            call.method,
            call.request.target,
            headers,
            call.request.body,
            request,
        )
        is_kept = connection.is_kept
        silence = asyncio.get_running_loop().call_later(
            STREAM_SILENCE_S if call.route.kind == "stream" else SILENCE_S,
            self._reachability.record_failure,
            upstream,
            "kept connection silent" if is_kept else "new connection silent",
        )
        try:
            head = await connection.read_head(
                lambda head: self._is_response_to(head, call)
            )
        except asyncio.CancelledError:
            if call.route.kind != "stream":
                request.give_up()
            connection.close()
            raise
        except ResponseLimitError:
            self._reachability.record_contact(upstream)
            raise
        except UpstreamBrokenError:
            self._reachability.record_failure(
                upstream,
                "kept connection broken"
                if is_kept
                else "new connection broken",
            )
            raise
        finally:
            silence.cancel()
        self._reachability.record_contact(upstream)
        self._statements.record_response(upstream, head, sent_s)
        disposition = self._classify(head)
        if disposition == "not_executed":
            attempt.record_not_executed(may_have_run_before)
        reply = Reply(upstream, connection, head, disposition)
        self._require_signature(reply)
        return reply

    def _find_restriction(
        self, attempt: Attempt, upstream: Upstream, path: SendPath
    ) -> str | None:
        """Return what forbids to send a call now, or None."""
        if not self._shutdown.may_begin(attempt):
            return "not called by a host that is leaving"
        return self._restrictions.at_send(upstream, path)

    async def _acquire(
        self, upstream: Upstream, connect_timeout_s: float
    ) -> UpstreamConnection:
        with self._recording_failure(upstream):
            connection = await self._pool.acquire(upstream, connect_timeout_s)
        if not connection.is_kept:
            self._reachability.record_contact(upstream)
        return connection

    async def probe(self, upstream: Upstream) -> None:
        """Open a connection, to see whether it opens; keep it for later."""
        with (
            suppress(UpstreamUnreachableError),
            self._recording_failure(upstream),
        ):
            connection = await self._pool.open_new(
                upstream.name, upstream.address, CONNECT_TIMEOUT_S
            )
            self._reachability.record_contact(upstream)
            connection.keep()
            self._pool.release(connection)

    @contextmanager
    def _recording_failure(self, upstream: Upstream) -> Iterator[None]:
        """Record a connection that does not open."""
        try:
            yield
        except UpstreamUnreachableError as error:
            self._reachability.record_failure(
                upstream,
                "no connection" if error.is_silent else "connection refused",
            )
            raise

    async def read_full_body(
        self, reply: Reply, max_bytes: int, memory: Holding | None
    ) -> bytearray:
        """Return the complete body, which counts in `memory`.

        Raises `UpstreamBrokenError` if it breaks off or exceeds `max_bytes`,
        and `AnswerMemoryError`.
        """
        body = AnswerBody(memory, max_bytes)
        try:
            await body.reserve(declared_length(reply.head.headers))
            async for chunk in reply.connection.read_body(reply.head):
                body.append(chunk)
            await self.confirm_end(reply)
            self._pool.release(reply.connection)
            return body.keep()
        except BodyLimitError:
            raise reply.connection.break_off("body") from None
        except ClientMemoryError as error:
            reply.connection.close()
            raise AnswerMemoryError from error
        except BaseException:
            reply.connection.close()
            raise
        finally:
            body.release()

    async def confirm_end(self, reply: Reply) -> None:
        """Check that a response that ended with its connection is complete.

        One with neither a length nor chunks ends with its connection, as does
        one that is broken off by the end of its upstream, planned or not.
        Raises `UpstreamBrokenError` unless the upstream still accepts
        connections.
        """
        if not reply.connection.is_ended_by_close:
            return
        await self._clock.sleep(END_CHECK_DELAY_S)
        answer = await try_connection(reply.connection.address)
        self._metrics.count(f"relay.ended_by_close.{answer}")
        if answer == "accepts":
            return
        raise UpstreamBrokenError(
            reply.upstream.name,
            "refuses connections as its answer ended"
            if answer == "refuses"
            else "silent as its answer ended",
        )

    def release_connection(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after a complete response."""
        self._pool.release(connection)

    def _connect_timeout_s(self, call: Call) -> float:
        """Return a time that leaves others enough of the call's."""
        remaining_s = call.timeout_at_s - self._clock.monotonic()
        return min(CONNECT_TIMEOUT_S, remaining_s * CONNECT_FRACTION)

    def _remaining_ms(self, call: Call) -> int:
        return int((call.timeout_at_s - self._clock.monotonic()) * 1_000)

    def _is_response_to(self, head: ResponseHead, call: Call) -> bool:
        """Return whether a response belongs to a call, by its request id."""
        response_id = head.headers.get(self._names.request_id)
        return response_id is None or response_id == call.request_id

    def _classify(self, head: ResponseHead) -> Disposition:
        if (
            head.status == MISDIRECTED_REQUEST
            or self._names.not_executed in head.headers
        ):
            return "not_executed"
        if head.status >= 500 or head.status in NOT_RUN_STATUSES:
            return "failure"
        return "answer"

    def _require_signature(self, reply: Reply) -> None:
        """Close the connection of a successful response without a signature.

        Raises `UpstreamBrokenError` in that case.
        """
        if reply.is_success and not is_signed(reply.head.headers, self._names):
            reply.connection.close()
            raise UpstreamBrokenError(
                reply.upstream.name, "a success without its signature"
            )
