"""Send a single request to one host without the client library."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import attrs
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    HTTPTimeoutError,
    SimpleAsyncHTTPClient,
)

ATTEMPT_TIMEOUT_S = 60.0


@attrs.define
class Attempt:
    """One request to one host and the answer that its sender received."""

    key: str
    kind: str
    outcome: str = ""  # "lost": the connection ended before any outcome
    reason: str = ""
    retry_after_ms: int = 0
    digest: str = ""
    result: Any = None
    tokens: list[str] = attrs.field(factory=list)
    generations: set[str] = attrs.field(factory=set)
    out_of_order: bool = False
    ended: bool = False

    def apply_event(self, event: str, data: dict[str, Any]) -> None:
        """Update this attempt with one event of the stream."""
        if event == "token":
            self._add_tokens(data)
        elif event == "end":
            self._set_outcome(data)

    def _add_tokens(self, data: dict[str, Any]) -> None:
        self.generations.add(data["generation"])
        if data["index"] != len(self.tokens):
            self.out_of_order = True
        self.tokens.extend(data["tokens"])

    def _set_outcome(self, data: dict[str, Any]) -> None:
        self.outcome = data.get("outcome", "error")
        self.reason = data.get("reason", "")
        self.retry_after_ms = data.get("retry_after_ms") or 0
        self.digest = data.get("digest", "")
        self.result = data.get("result")
        self.ended = True


def digest_tokens(tokens: list[str]) -> str:
    """Return the digest of an answer, as docs/PROTOCOLS.md defines it."""
    digest = hashlib.sha256()
    for token in tokens:
        digest.update(token.encode() + b"\0")
    return digest.hexdigest()


class _EventParser:
    """Parse a byte stream into server-sent events."""

    def __init__(self, attempt: Attempt) -> None:
        self._attempt = attempt
        self._buffer = b""

    def feed(self, chunk: bytes) -> None:
        *blocks, self._buffer = (self._buffer + chunk).split(b"\n\n")
        for block in blocks:
            fields = dict(
                line.split(": ", 1)
                for line in block.decode().splitlines()
                if ": " in line
            )
            if "event" in fields:
                data = json.loads(fields.get("data", "{}"))
                self._attempt.apply_event(fields["event"], data)


async def send(
    attempt: Attempt, address: str, body: dict[str, Any]
) -> Attempt:
    """Send `body` to the host at `address` and read the answer to its end."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    parser = _EventParser(attempt)
    received: list[bytes] = []

    def on_chunk(chunk: bytes) -> None:
        received.append(chunk)
        parser.feed(chunk)

    request = HTTPRequest(
        f"http://{address}/v1/requests",
        method="POST",
        body=json.dumps(body),
        request_timeout=ATTEMPT_TIMEOUT_S,
        streaming_callback=on_chunk,
    )
    try:
        await client.fetch(request)
    except HTTPClientError as error:
        if not isinstance(error, HTTPTimeoutError | HTTPStreamClosedError):
            _set_error(attempt, b"".join(received))
    except (TimeoutError, OSError):
        pass
    finally:
        client.close()
    if not attempt.ended:
        attempt.outcome = "lost"
        attempt.ended = True
    return attempt


def _set_error(attempt: Attempt, body: bytes) -> None:
    """Record the body of an answer with a 4xx or 5xx status."""
    try:
        attempt.apply_event("end", json.loads(body))
    except ValueError:
        attempt.reason = body.decode(errors="replace")
