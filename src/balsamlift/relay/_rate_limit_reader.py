"""Read the rate limits that upstreams name in their responses."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from balsamlift.metrics import Metrics
from balsamlift.peers import RateLimits
from balsamlift.relay._connection import ResponseHead
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._headers import is_signed

log = logger.bind(part="upstreams")

MISDIRECTED_REQUEST = 421  # the address now belongs to another upstream
INTERNAL_SERVER_ERROR = 500
MAX_INVALID = 100  # upstreams whose invalid limit has been logged


class RateLimitReader:
    """Record what responses name; invalid limits change nothing."""

    def __init__(
        self,
        names: HeaderNames,
        decode: Callable[[str], float | None],
        limits: RateLimits,
        metrics: Metrics,
    ) -> None:
        """Record in `limits`; `decode` returns requests per second or None."""
        self._names = names
        self._decode = decode
        self._limits = limits
        self._metrics = metrics
        self._invalid: set[str] = set()

    def record_send(self, upstream: str) -> None:
        """Count a request that is sent to an upstream with a limit."""
        if self._limits.find(upstream) is not None:
            self._metrics.count("relay.sends_rate_limited")

    def record_response(
        self, upstream: str, head: ResponseHead, sent_s: float
    ) -> None:
        """Record the limit that the response to a request names, or none.

        Only a signed answer ends a limit: a refusal or an error may come from
        a part of the upstream that does not know the limit.
        """
        if head.status == MISDIRECTED_REQUEST:
            return
        text = head.headers.get(self._names.rate_limit)
        if text is None:
            if self._is_answer(head):
                self._limits.record(upstream, None, sent_s)
            return
        limit_per_s = self._decode(text)
        if limit_per_s is None:
            self._report_invalid(upstream, text)
        else:
            self._limits.record(upstream, limit_per_s, sent_s)

    def _is_answer(self, head: ResponseHead) -> bool:
        return (
            head.status < INTERNAL_SERVER_ERROR
            and self._names.not_executed not in head.headers
            and is_signed(head.headers, self._names)
        )

    def _report_invalid(self, upstream: str, text: str) -> None:
        self._metrics.count("relay.rate_limits_invalid")
        if upstream in self._invalid or len(self._invalid) >= MAX_INVALID:
            return
        self._invalid.add(upstream)
        log.bind(upstream=upstream, named=text[:40]).warning(
            "rate limit is not a rate"
        )
