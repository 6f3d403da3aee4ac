"""HTTP client of all packages, based on tornado's curl client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamlift._json import decode_json
from balsamlift._streaming import StallLimits, StreamedBody, Transfer
from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import BalsamliftError

T = TypeVar("T")

CLOCK_HEADER = "X-Balsamlift-Clock"
# Each handle takes 4.3 KB from the start, as tornado creates all at once.
MAX_CLIENTS = 512
_NOT_SENT = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}
)
# Bounds the total time of an answer that does not stall, on top of the
# first-byte timeout.
MAX_READ_S = 60.0


class CallError(BalsamliftError):
    """Raised when a call got no answer.

    `sent` is false only when it is certain that no byte was sent.
    """

    def __init__(self, url: str, message: str, *, sent: bool) -> None:
        """Store the URL, the cause and whether bytes may have been sent."""
        super().__init__(f"{url}: {message}")
        self.url = url
        self.reason = message
        self.sent = sent


@attrs.frozen
class Answer:
    """Hold the status, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self, kind: type[T]) -> T:
        """Return the JSON body decoded as `kind`; raise `msgspec` errors."""
        return decode_json(self.body, kind)


_HEAD_ENDS = ("\r\n", "\n")


class _HeadWatch:
    """Track whether the head of an answer is complete.

    curl takes a connection that closes within a head for a whole answer.
    """

    def __init__(self) -> None:
        """Start before the status line."""
        self.is_complete = False

    def process(self, line: str) -> None:
        """Process one line, also of an interim response or a trailer."""
        if line.startswith("HTTP/"):
            self.is_complete = False
        elif line in _HEAD_ENDS:
            self.is_complete = True


def _no_stamp() -> str:
    return ""


def _ignore_stamp(stamp: str) -> None:
    del stamp


class HttpClient:
    """Make HTTP calls, each with its own timeouts."""

    def __init__(
        self,
        stamp: Callable[[], str] = _no_stamp,
        observe: Callable[[str], None] = _ignore_stamp,
        max_calls: int = MAX_CLIENTS,
        clock: Clock | None = None,
    ) -> None:
        """Send `stamp()` with each call, pass an answer's stamp to `observe`.

        Calls beyond `max_calls` at once wait in a queue.
        """
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=max_calls
        )
        self._stamp = stamp
        self._observe = observe
        self._clock = clock or SystemClock()

    async def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        *,
        timeout_ms: int,
        connect_ms: int = 1_000,
        headers: dict[str, str] | None = None,
        fresh: bool = False,
    ) -> Answer:
        """Make one call and return its answer, whatever the status.

        `body` is encoded as JSON unless it is bytes. With `fresh` the
        call uses a new connection. Raises `CallError`.
        """
        request = self._build_request(method, url, body, connect_ms, headers)
        request.request_timeout = timeout_ms / 1_000
        request.prepare_curl_callback = _use_new_connection if fresh else None
        response = await self._fetch(request)
        return Answer(
            response.code, dict(response.headers), response.body or b""
        )

    async def read(
        self,
        url: str,
        limits: StallLimits,
        *,
        connect_ms: int = 1_000,
        headers: dict[str, str] | None = None,
        fresh: bool = False,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> Answer:
        """Make a GET call whose answer may be of any size, and return it.

        Calls `on_chunk` with each chunk of the body as it arrives.
        `limits` bounds its pauses and its rate, `MAX_READ_S` its total time.
        Raises `CallError`, also for a stall.
        """
        body = StreamedBody(limits, self._clock)
        transfer = Transfer()

        def handle_chunk(chunk: bytes) -> None:
            body.append(chunk)
            if on_chunk is not None:
                on_chunk(chunk)

        def prepare(curl: Any) -> None:
            transfer.attach(curl)
            if fresh:
                _use_new_connection(curl)

        request = self._build_request("GET", url, None, connect_ms, headers)
        request.request_timeout = MAX_READ_S + limits.first_byte_ms / 1_000
        request.streaming_callback = handle_chunk
        request.prepare_curl_callback = prepare
        fetch = asyncio.ensure_future(self._fetch(request))
        try:
            await self._wait_for_end_or_stall(fetch, body)
        finally:
            if not fetch.done():
                transfer.abort()
                fetch.add_done_callback(_consume_exception)
        if not fetch.done():
            message = f"stalled after {body.size} bytes"
            raise CallError(url, message, sent=True)
        response = fetch.result()
        return Answer(response.code, dict(response.headers), body.join())

    async def _wait_for_end_or_stall(
        self, fetch: asyncio.Future[HTTPResponse], body: StreamedBody
    ) -> None:
        """Return when the call has ended or its body has stalled."""
        while not fetch.done():
            left_s = body.deadline_s - self._clock.monotonic()
            if left_s <= 0:
                return
            await asyncio.wait([fetch], timeout=left_s)

    def _build_request(
        self,
        method: str,
        url: str,
        body: Any,
        connect_ms: int,
        headers: dict[str, str] | None,
    ) -> HTTPRequest:
        sent = dict(headers or {})
        sent[CLOCK_HEADER] = self._stamp()
        return HTTPRequest(
            url,
            method=method,
            body=_encode(body) if method in ("POST", "PUT") else None,
            headers=sent,
            connect_timeout=connect_ms / 1_000,
            decompress_response=False,
            follow_redirects=False,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        watch = _HeadWatch()
        request.header_callback = watch.process
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise _call_error(request.url, error) from error
        if isinstance(response.error, CurlError):
            raise _call_error(request.url, response.error)
        if response.code == 599:
            raise CallError(request.url, str(response.error), sent=True)
        if not watch.is_complete:
            raise CallError(request.url, "stopped in its head", sent=True)
        self._observe(response.headers.get(CLOCK_HEADER, ""))
        return response

    def close(self) -> None:
        """Close every connection."""
        self._client.close()


def _encode(body: Any) -> bytes:
    if isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _consume_exception(fetch: asyncio.Future[HTTPResponse]) -> None:
    """Keep asyncio from logging the failure of an aborted call."""
    if not fetch.cancelled():
        fetch.exception()


def _use_new_connection(curl: Any) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _call_error(url: str, error: CurlError) -> CallError:
    return CallError(url, str(error), sent=error.errno not in _NOT_SENT)
