"""One stream from an upstream or a peer, over a connection of its own."""

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

# Each takes 4.3 KB from the start: tornado makes all handles at once.
MAX_STREAMS = 2_048
MAX_BODY_BYTES = 1 << 40  # streams have no length of their own to bound
MAX_ERROR_BYTES = 1 << 20  # kept of an answer that is no stream
OK = 200
# A stream has no bound on its whole time: only connecting can time out.
_NOT_CONNECTED = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_OPERATION_TIMEDOUT}
)


class StreamError(BalsamliftError):
    """Be the base of everything that can end a stream early."""


class StreamUnreachableError(StreamError):
    """Tell that no connection was made: not a byte left."""


class StreamSilentError(StreamError):
    """Tell that bytes left and the stream ended or went silent."""


class StreamStatusError(StreamError):
    """Tell that the answer was no stream but a status and a body."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        """Keep what was answered."""
        super().__init__(f"status {status}")
        self.status = status
        self.headers = headers
        self.body = body


class StreamClient:
    """Open streams; every one gets a fresh connection.

    curl sends a request again by itself when a reused connection turns
    out dead, which must not happen to a request that may run only once.
    """

    def __init__(self) -> None:
        """Make the client."""
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
        """Begin a stream; errors come from reading it."""
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
        """Send the request."""
        self._silence_s = silence_s
        self._parser = EventParser()
        self._events: deque[Event] = deque()
        self._body = bytearray()
        self._broken: FrameError | None = None
        self._curl: Any = None
        self._news = asyncio.Event()
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
        """Yield events; end when the other side ends the stream.

        Raises `StreamUnreachableError`, `StreamSilentError`,
        `StreamStatusError` and, for what is no event, `FrameError`.
        """
        timer = SilenceTimer(self._silence_s, self._on_silence)
        try:
            while True:
                while self._events:
                    yield self._events.popleft()
                if self._broken is not None:
                    raise self._broken
                if self._fetch.done():
                    self._check_end()
                    return
                # Counted from here: a slow reader is no silent stream.
                timer.reset()
                await self._wait_for_news()
        finally:
            timer.stop()
            self.close()

    def close(self) -> None:
        """End the connection at once."""
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection was never made or is gone already.
            return

    async def _wait_for_news(self) -> None:
        self._news.clear()
        self._is_silent = False
        await self._news.wait()
        if self._is_silent:
            raise StreamSilentError("silent for too long")

    def _on_silence(self) -> None:
        self._is_silent = True
        self._news.set()

    def _check_end(self) -> None:
        if self._fetch.cancelled():
            raise StreamSilentError("cancelled")
        try:
            response = self._fetch.result()
        except CurlError as error:
            # Raised whatever `raise_error` says.
            if error.errno in _NOT_CONNECTED:
                raise StreamUnreachableError(str(error)) from error
            raise StreamSilentError(str(error)) from error
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
        if self._broken is not None:
            return
        # Asked of curl: tornado's header callback may come after the data
        # when a short answer arrives at once.
        if self._curl.getinfo(pycurl.RESPONSE_CODE) != OK:
            self._body += data[: MAX_ERROR_BYTES - len(self._body)]
        else:
            self._take(data)
        self._is_silent = False
        self._news.set()

    def _take(self, data: bytes) -> None:
        try:
            self._events.extend(self._parser.feed(data))
        except FrameError as error:
            self._broken = error

    def _on_end(self, fetch: asyncio.Future[HTTPResponse]) -> None:
        if not fetch.cancelled():
            fetch.exception()  # seen: who left the stream will not ask
        self._socket = None
        self._curl = None
        self._news.set()
