"""One HTTP client for every part, on tornado's curl client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from balsamlift.exceptions import BalsamliftError

T = TypeVar("T")

CLOCK_HEADER = "X-Balsamlift-Clock"
# Each takes 4.3 KB from the start: tornado makes all handles at once.
MAX_CLIENTS = 512
_NOT_SENT = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}
)


class CallError(BalsamliftError):
    """Tell that a call got no answer.

    `sent` is false only when certainly no byte of it left.
    """

    def __init__(self, url: str, message: str, *, sent: bool) -> None:
        """Keep the address called and whether bytes may have left."""
        super().__init__(f"{url}: {message}")
        self.url = url
        self.reason = message
        self.sent = sent


@attrs.frozen
class Answer:
    """Hold the answer to one call."""

    status: int
    headers: dict[str, str]
    body: bytes

    def decode(self, kind: type[T]) -> T:
        """Return the JSON body as a `kind`; raise `msgspec` errors."""
        return msgspec.json.decode(self.body, type=kind)


def _no_stamp() -> str:
    return ""


def _ignore_stamp(stamp: str) -> None:
    del stamp


class HttpClient:
    """Make calls, each with its own bound on silence."""

    def __init__(
        self,
        stamp: Callable[[], str] = _no_stamp,
        observe: Callable[[str], None] = _ignore_stamp,
        most_calls: int = MAX_CLIENTS,
    ) -> None:
        """Stamp each call and observe each answer's stamp.

        Of more than `most_calls` at once, some wait.
        """
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=most_calls
        )
        self._stamp = stamp
        self._observe = observe

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

        `body` is encoded as JSON unless it is bytes. With `fresh` no open
        connection is used again. Raises `CallError`.
        """
        data = _encode(body) if method in ("POST", "PUT") else None
        sent = dict(headers or {})
        sent[CLOCK_HEADER] = self._stamp()
        request = HTTPRequest(
            url,
            method=method,
            body=data,
            headers=sent,
            connect_timeout=connect_ms / 1_000,
            request_timeout=timeout_ms / 1_000,
            decompress_response=False,
            follow_redirects=False,
            prepare_curl_callback=_use_fresh if fresh else None,
        )
        response = await self._fetch(request)
        return Answer(
            response.code, dict(response.headers), response.body or b""
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise _call_error(request.url, error) from error
        if isinstance(response.error, CurlError):
            raise _call_error(request.url, response.error)
        if response.code == 599:
            raise CallError(request.url, str(response.error), sent=True)
        self._observe(response.headers.get(CLOCK_HEADER, ""))
        return response

    def close(self) -> None:
        """Close every connection."""
        self._client.close()


def _encode(body: Any) -> bytes:
    if isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _use_fresh(curl: Any) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _call_error(url: str, error: CurlError) -> CallError:
    return CallError(url, str(error), sent=error.errno not in _NOT_SENT)
