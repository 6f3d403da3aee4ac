"""Client for event streams, each over a connection of its own."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import AsyncGenerator
from typing import Any

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamlift._silence import SilenceTimer
from balsamlift.exceptions import BalsamliftError
from balsamlift.streams._frames import Event, EventParser, FrameError

# Each takes 4.3 KB up front: tornado creates all curl handles at once.
MAX_STREAMS = 2_048
MAX_BODY_BYTES = 1 << 40  # practically unlimited: streams have no set length
MAX_ERROR_BYTES = 1 << 20  # kept of the body of an error response
OK = 200
# Streams have no total timeout, so only connecting can time out.
_NOT_CONNECTED = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_OPERATION_TIMEDOUT}
)


class StreamError(BalsamliftError):
    """Serve as the base of errors that end a stream early."""


class StreamUnreachableError(StreamError):
    """Raise when no connection was made, so that no byte was sent."""


class StreamInterruptedError(StreamError):
    """Raise when a stream fails or goes silent after the request was sent."""


class StreamStatusError(StreamError):
    """Raise when the response has an error status instead of a stream."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        """Store the response."""
        super().__init__(f"status {status}")
        self.status = status
        self.headers = headers
        self.body = body


class StreamClient:
    """Open streams, each over a new connection.

    curl resends a request on its own when a reused connection turns out to
    be dead. That must not happen to a request that may run only once.
    """

    def __init__(self) -> None:
        """Create the curl client."""
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_STREAMS,
            max_body_size=MAX_BODY_BYTES,
        )

    def open(
        self,
        method: str,
        url: str,
        body: Any = None,
        *,
        connect_ms: int,
        silence_ms: int,
        headers: dict[str, str] | None = None,
    ) -> Stream:
        """Open a stream; errors are raised when it is read."""
        data = msgspec.json.encode(body) if method == "POST" else None
        return Stream(
            self._client,
            HTTPRequest(
                url,
                method=method,
                body=data,
                headers=headers,
                connect_timeout=connect_ms / 1_000,
                request_timeout=0,
                decompress_response=False,
                follow_redirects=False,
            ),
            silence_s=silence_ms / 1_000,
        )

    def close(self) -> None:
        """Close the client once its streams have ended."""
        self._client.close()


class Stream:
    """Read events until the stream ends, is closed, or goes silent."""

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        request: HTTPRequest,
        silence_s: float,
    ) -> None:
        """Start sending the request."""
        self._silence_s = silence_s
        self._parser = EventParser()
        self._events: deque[Event] = deque()
        self._body = bytearray()
        self._parse_error: FrameError | None = None
        self._curl: Any = None
        self._changed = asyncio.Event()
        self._is_silent = False
        self._socket: socket.socket | None = None
        self._response: HTTPResponse | None = None
        request.streaming_callback = self._on_data
        request.prepare_curl_callback = self._prepare
        self._fetch = asyncio.ensure_future(
            client.fetch(request, raise_error=False)
        )
        self._fetch.add_done_callback(self._on_end)

    async def events(self) -> AsyncGenerator[Event, None]:
        """Yield events until the server ends the stream.

        Raises `StreamUnreachableError`, `StreamInterruptedError`,
        `StreamStatusError` and, for malformed events, `FrameError`.
        """
        timer = SilenceTimer(self._silence_s, self._on_silence)
        try:
            while True:
                while self._events:
                    yield self._events.popleft()
                if self._parse_error is not None:
                    raise self._parse_error
                if self._fetch.done():
                    self._check_end()
                    return
                # The timer restarts here, so that the time a slow reader
                # takes does not count as silence.
                timer.reset()
                await self._wait_for_change()
        finally:
            timer.stop()
            self.close()

    def close(self) -> None:
        """Close the connection immediately."""
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection was never made or is already closed.
            return

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        self._is_silent = False
        await self._changed.wait()
        if self._is_silent:
            raise StreamInterruptedError("no data within the silence timeout")

    def _on_silence(self) -> None:
        self._is_silent = True
        self._changed.set()

    def _check_end(self) -> None:
        if self._fetch.cancelled():
            raise StreamInterruptedError("cancelled")
        try:
            response = self._fetch.result()
        except CurlError as error:
            # Raised even with `raise_error=False`.
            if error.errno in _NOT_CONNECTED:
                raise StreamUnreachableError(str(error)) from error
            raise StreamInterruptedError(str(error)) from error
        if response.code != OK:
            headers = dict(response.headers)
            raise StreamStatusError(response.code, headers, bytes(self._body))

    def _prepare(self, curl: Any) -> None:
        self._curl = curl
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)

    def _open_socket(self, purpose: int, address: Any) -> socket.socket:
        del purpose
        family, kind, protocol, _ = address
        self._socket = socket.socket(family, kind, protocol)
        return self._socket

    def _on_data(self, data: bytes) -> None:
        if self._parse_error is not None:
            return
        # The status is read from curl: when a short response arrives at
        # once, tornado may call the header callback after the data callback.
        if self._curl.getinfo(pycurl.RESPONSE_CODE) != OK:
            self._body += data[: MAX_ERROR_BYTES - len(self._body)]
        else:
            self._parse(data)
        self._is_silent = False
        self._changed.set()

    def _parse(self, data: bytes) -> None:
        try:
            self._events.extend(self._parser.feed(data))
        except FrameError as error:
            self._parse_error = error

    def _on_end(self, fetch: asyncio.Future[HTTPResponse]) -> None:
        if not fetch.cancelled():
            # Marks the exception as retrieved: a reader that has left the
            # stream will not.
            fetch.exception()
        self._socket = None
        self._curl = None
        self._changed.set()
