"""Serve a Tornado application to clients whose memory is counted."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.web import Application

from balsamlift._fair_stream import READ_CHUNK_BYTES, ReadQueue
from balsamlift._listening import accept_connections
from balsamlift.clients._errors import ClientMemoryError
from balsamlift.clients._fair_counted_stream import (
    FairCountedStream,
    open_stream,
)
from balsamlift.clients._memory import HEADER_BYTES, ClientMemory
from balsamlift.clients._work_limit import WorkLimit

MAX_HEAD_BYTES = 65_536


class WebServer:
    """HTTP server of a Tornado application."""

    def __init__(
        self,
        name: str,
        application: Application,
        memory: ClientMemory,
        max_body_bytes: int,
        max_work_us_per_s: float | None = None,
    ) -> None:
        """Close connections whose requests have longer bodies.

        Requests wait while they have used more than `max_work_us_per_s` of
        processor time together; None sets no limit.
        """
        work = None
        if max_work_us_per_s is not None:
            work = WorkLimit(memory.clock, max_work_us_per_s)
        self._name = name
        self._memory = memory
        self._end_accepting: list[Callable[[], None]] = []
        self._sockets: list[socket.socket] = []
        self._server = HTTPServer(
            _CountingDelegate(application, work),
            max_body_size=max_body_bytes,
            max_header_size=MAX_HEAD_BYTES,
            chunk_size=READ_CHUNK_BYTES,
        )
        self._read_queue = ReadQueue()
        self._max_buffer_bytes = max_body_bytes + MAX_HEAD_BYTES

    def start(self, sockets: list[socket.socket]) -> None:
        """Start accepting connections."""
        self._sockets = sockets
        self._end_accepting = [
            accept_connections(listener, self._accept) for listener in sockets
        ]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for end in self._end_accepting:
            end()
        for listener in self._sockets:
            listener.close()
        await self._server.close_all_connections()

    def _accept(self, connection: socket.socket, address: Any) -> None:
        stream = open_stream(
            connection,
            self._memory,
            self._name,
            self._read_queue,
            self._max_buffer_bytes,
        )
        if stream is not None:
            self._server.handle_stream(stream, address)


class _CountingDelegate(HTTPServerConnectionDelegate):
    """Passes requests to an application, and counts what they hold."""

    def __init__(
        self, application: Application, work: WorkLimit | None
    ) -> None:
        self._application = application
        self._work = work

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        stream = request_conn.stream
        assert isinstance(stream, FairCountedStream)
        stream.expect_request()
        return _CountedRequest(
            self._application.start_request(server_conn, request_conn),
            stream,
            self._work,
        )


class _CountedRequest(HTTPMessageDelegate):
    """Passes one request on, and marks when it begins to run."""

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        stream: FairCountedStream,
        work: WorkLimit | None,
    ) -> None:
        self._delegate = delegate
        self._stream = stream
        self._work = work
        self._is_passed_on = False

    async def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if self._work is not None:
            await self._wait_for(self._work)
        if self._stream.closed():
            return
        lines = sum(1 for _ in headers.get_all())
        try:
            self._stream.holding.take(lines * HEADER_BYTES)
        except ClientMemoryError:
            self._stream.close()
            return
        self._is_passed_on = True
        self._stream.free_request = self.on_connection_close
        passing_on = self._delegate.headers_received(start_line, headers)
        if passing_on is not None:
            await passing_on

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    async def _wait_for(self, work: WorkLimit) -> None:
        """Wait until it may run, or until its connection is closed."""
        turn = asyncio.create_task(work.wait())
        self._stream.free_request = turn.cancel
        try:
            await turn
        except asyncio.CancelledError:
            if not self._stream.closed():
                raise

    def finish(self) -> None:
        if not self._is_passed_on:
            return
        self._stream.free_request = None
        self._stream.holding.is_running = True
        self._delegate.finish()

    def on_connection_close(self) -> None:
        if self._is_passed_on:
            self._is_passed_on = False
            self._delegate.on_connection_close()
