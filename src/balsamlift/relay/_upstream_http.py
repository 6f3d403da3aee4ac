"""HTTP calls to upstreams about their state, with bounds on the answers."""

from __future__ import annotations

import asyncio
from urllib.parse import urlsplit

import msgspec

from balsamlift._http import Answer, CallError
from balsamlift.clock import Clock
from balsamlift.exceptions import UpstreamBrokenError, UpstreamUnreachableError
from balsamlift.metrics import Metrics
from balsamlift.relay._body_memory import BodyMemory, BodyMemoryError
from balsamlift.relay._connection import ResponseHead, UpstreamConnection
from balsamlift.relay._pool import ConnectionPool

MAX_ANSWER_BYTES = 1_048_576
MAX_HELD_BYTES = 8_388_608
_MS_PER_S = 1_000


class UpstreamHttp:
    """Make calls to upstreams over connections of their own.

    Unlike `HttpClient`, it takes a small part of each turn of the event loop
    whatever an upstream sends, and never sends a call again on its own.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Count connections and limits in `metrics`."""
        self._pool = ConnectionPool(clock, metrics, "engines")
        self._bodies = BodyMemory(MAX_HELD_BYTES)

    async def call(
        self,
        method: str,
        url: str,
        body: object = None,
        *,
        timeout_ms: int,
        connect_ms: int,
    ) -> Answer:
        """Make one call and return its answer, whatever the status.

        `body` is encoded as JSON. Raises `CallError`.
        """
        parts = urlsplit(url)
        try:
            connection = await self._connect(method, parts.netloc, connect_ms)
        except UpstreamUnreachableError as error:
            raise CallError(url, error.message, sent=False) from error
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await self._exchange(
                    connection, method, parts.netloc, parts.path, body
                )
        except TimeoutError as error:
            raise CallError(url, "timed out", sent=True) from error
        except UpstreamBrokenError as error:
            raise CallError(url, error.message, sent=True) from error
        finally:
            self._pool.release(connection)
            self._pool.close_stale()

    async def _connect(
        self, method: str, address: str, connect_ms: int
    ) -> UpstreamConnection:
        connect_s = connect_ms / _MS_PER_S
        if method == "GET":
            return await self._pool.open(address, address, connect_s)
        # A kept connection may close as the call arrives, which then may have
        # had an effect or not.
        return await self._pool.open_new(address, address, connect_s)

    async def _exchange(
        self,
        connection: UpstreamConnection,
        method: str,
        address: str,
        path: str,
        body: object,
    ) -> Answer:
        headers = [("Host", address)]
        data = b""
        if body is not None:
            headers.append(("Content-Type", "application/json"))
            data = msgspec.json.encode(body)
        connection.send(method, path, headers, data)
        head = await connection.read_head(lambda _: True)
        answer = await self._read_body(connection, head)
        return Answer(head.status, dict(head.headers), answer)

    async def _read_body(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> bytes:
        body = self._bodies.open(MAX_ANSWER_BYTES)
        try:
            async for chunk in connection.read_body(head):
                body.append(chunk)
            return body.join()
        except BodyMemoryError:
            raise connection.break_off("body") from None
        finally:
            body.release()
