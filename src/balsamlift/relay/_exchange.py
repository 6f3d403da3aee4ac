"""Send one call to one upstream, and tell what its answer means."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Literal

import attrs

from balsamlift.clock import Clock
from balsamlift.exceptions import UpstreamBrokenError
from balsamlift.peers import Upstream
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._connection import Head, UpstreamConnection
from balsamlift.relay._headers import upstream_headers
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay._request import Call
from balsamlift.relay._wire import HeaderNames

Meaning = Literal["answer", "failure", "not_executed"]

MOVED = 421  # the address has been given to another upstream


@attrs.frozen
class Reply:
    """Hold the head of an answer, and the connection its body comes on."""

    upstream: Upstream
    connection: UpstreamConnection
    head: Head
    meaning: Meaning

    @property
    def is_success(self) -> bool:
        """Tell whether the upstream says that it did what was asked."""
        return 200 <= self.head.status < 300


class Exchange:
    """Send calls on kept connections."""

    def __init__(
        self, pool: ConnectionPool, names: HeaderNames, clock: Clock
    ) -> None:
        """Take connections from `pool`."""
        self._pool = pool
        self._names = names
        self._clock = clock

    async def send(
        self,
        call: Call,
        attempt: Attempt,
        upstream: Upstream,
        extra: Iterable[tuple[str, str]] = (),
    ) -> Reply:
        """Send a call and return the head of its answer.

        Raises `UpstreamUnreachableError` when nothing was sent and
        `UpstreamBrokenError` when it may have run. A cancellation closes
        the connection, so that the upstream stops.
        """
        connection = await self._pool.take(upstream)
        ran_before = attempt.may_have_run
        attempt.sending()
        headers = upstream_headers(
            call, self._names, upstream.id, self._left_ms(call), extra
        )
        connection.send(
            call.method, call.request.target, headers, call.request.body
        )
        try:
            head = await connection.read_head(
                lambda head: self._is_own(head, call)
            )
        except asyncio.CancelledError:
            connection.close()
            raise
        meaning = self._meaning(head)
        if meaning == "not_executed":
            attempt.not_executed(ran_before)
        reply = Reply(upstream, connection, head, meaning)
        self._check(reply)
        return reply

    async def read_whole(self, reply: Reply, most_bytes: int) -> bytes:
        """Return the body; raise `UpstreamBrokenError`."""
        parts: list[bytes] = []
        size = 0
        try:
            async for part in reply.connection.read_body(reply.head):
                size += len(part)
                if size > most_bytes:
                    raise UpstreamBrokenError(
                        reply.upstream.name, f"over {most_bytes} bytes"
                    )
                parts.append(part)
        except BaseException:
            reply.connection.close()
            raise
        self._pool.give_back(reply.connection)
        return b"".join(parts)

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was read to its end."""
        self._pool.give_back(connection)

    def _left_ms(self, call: Call) -> int:
        return int((call.give_up_s - self._clock.monotonic()) * 1_000)

    def _is_own(self, head: Head, call: Call) -> bool:
        """Tell whether an answer is to this call, by the id it repeats."""
        answered = head.headers.get(self._names.request_id)
        return answered is None or answered == call.request_id

    def _meaning(self, head: Head) -> Meaning:
        if head.status == MOVED or self._names.not_executed in head.headers:
            return "not_executed"
        return "failure" if head.status >= 500 else "answer"

    def _check(self, reply: Reply) -> None:
        """Close what claims success without the upstream's signature."""
        headers = reply.head.headers
        is_sound = (
            self._names.signature in headers
            and self._names.request_id in headers
            and "Content-Encoding" not in headers
        )
        if reply.is_success and not is_sound:
            reply.connection.close()
            raise UpstreamBrokenError(
                reply.upstream.name, "a success without its signature"
            )
