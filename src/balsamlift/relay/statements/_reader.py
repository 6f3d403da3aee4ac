"""Read what upstreams say about themselves in the heads of responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import attrs
from loguru import logger

from balsamlift.metrics import Metrics
from balsamlift.peers import LeavingNotices, RateLimits, Upstream
from balsamlift.relay._connection import ResponseHead
from balsamlift.relay._header_names import HeaderNames
from balsamlift.relay._headers import is_signed, split_values
from balsamlift.relay.statements._brittle_pools import BrittlePools
from balsamlift.relay.statements._retry_after import RetryAfterTracker
from balsamlift.relay.statements._send_audit import SendAudit, SendPath

log = logger.bind(part="upstreams")

MISDIRECTED_REQUEST = 421  # the address now belongs to another upstream
INTERNAL_SERVER_ERROR = 500
_ASKING_STATUSES = frozenset({429, 503})  # whose Retry-After is for hosts
MAX_INVALID = 100  # upstreams whose invalid values are logged
UNREADABLE_RETRY_AFTER_S = 1.0

_Header = Literal["rate_limit", "leaving", "retry_after"]
_INVALID_MESSAGES: dict[_Header, str] = {
    "rate_limit": "rate limit is not a rate",
    "leaving": "leaving notice is not valid",
    "retry_after": "Retry-After is not a time",
}


@attrs.frozen(kw_only=True)
class StatementDecoders:
    """Decoders of header values, which return None for invalid ones.

    That an upstream is leaving is said by the header itself, so that of its
    value only whether it is a known one matters.
    """

    rate_limit: Callable[[str], float | None]  # requests per second
    is_known_notice: Callable[[str], bool]
    retry_after: Callable[[str], float | None]  # seconds


class StatementReader:
    """Record what responses say, in the reading that binds this host."""

    def __init__(
        self,
        names: HeaderNames,
        decoders: StatementDecoders,
        limits: RateLimits,
        notices: LeavingNotices,
        retry_after: RetryAfterTracker,
        brittle_pools: BrittlePools,
        audit: SendAudit,
        metrics: Metrics,
    ) -> None:
        """Record in `limits`, `notices`, `retry_after`, `brittle_pools`."""
        self._names = names
        self._decoders = decoders
        self._limits = limits
        self._notices = notices
        self._retry_after = retry_after
        self._brittle_pools = brittle_pools
        self._audit = audit
        self._metrics = metrics
        self._invalid: set[tuple[_Header, str]] = set()

    def record_send(
        self, request_id: str, upstream: Upstream, path: SendPath
    ) -> None:
        """Count a request that is sent despite a statement of an upstream."""
        if self._limits.find(upstream.name) is not None:
            self._metrics.count("relay.sends_rate_limited")
        self._audit.record_send(request_id, upstream, path)

    def record_response(
        self, upstream: Upstream, head: ResponseHead, sent_s: float
    ) -> None:
        """Record what the response to a request sent at `sent_s` says.

        A misdirected request was answered by another upstream.
        """
        if head.status == MISDIRECTED_REQUEST:
            return
        name = upstream.name
        self._record_rate_limit(name, head, sent_s)
        if self._has_notice(head):
            self._audit.record_notice(upstream)
            self._record_notice(name, head)
        self._record_brittle(upstream, head)
        if head.status in _ASKING_STATUSES:
            self._record_retry_after(name, head)
        self._retry_after.record_response(name, sent_s)

    def _record_rate_limit(
        self, upstream: str, head: ResponseHead, sent_s: float
    ) -> None:
        """Record the rate limit that a response names, or none.

        Only a signed answer ends a limit: a refusal or an error may come from
        a part of the upstream that does not know the limit.
        """
        texts = split_values(head.headers, self._names.rate_limit)
        if not texts:
            if self._is_answer(head):
                self._limits.record(upstream, None, sent_s)
            return
        limits_per_s = self._decode(
            "rate_limit", self._decoders.rate_limit, upstream, texts
        )
        if limits_per_s:
            self._limits.record(upstream, min(limits_per_s), sent_s)

    def _has_notice(self, head: ResponseHead) -> bool:
        """Return whether a response has the header, whatever its value."""
        return (
            self._names.leaving in head.headers
            and not self._is_unsigned_success(head)
        )

    def _record_notice(self, upstream: str, head: ResponseHead) -> None:
        """Record a notice; a value that is not known does not take it back."""
        text = head.headers[self._names.leaving]
        if not self._decoders.is_known_notice(text):
            self._report_invalid("leaving", upstream, text)
        self._notices.record(upstream, "answer")

    def _record_brittle(self, upstream: Upstream, head: ResponseHead) -> None:
        """Record that an upstream is brittle, whatever number it names."""
        texts = split_values(head.headers, self._names.brittle)
        if texts and not self._is_unsigned_success(head):
            self._brittle_pools.record(upstream, texts[0])
        elif self._is_answer(head):
            self._brittle_pools.record_silence(upstream)

    def _record_retry_after(self, upstream: str, head: ResponseHead) -> None:
        """Record the longest time named, a short one if none is readable."""
        texts = split_values(head.headers, "Retry-After")
        if not texts:
            return
        times_s = self._decode(
            "retry_after", self._decoders.retry_after, upstream, texts
        )
        self._retry_after.record(
            upstream, max(times_s, default=UNREADABLE_RETRY_AFTER_S)
        )

    def _decode(
        self,
        header: _Header,
        decode: Callable[[str], float | None],
        upstream: str,
        texts: list[str],
    ) -> list[float]:
        """Return the values that can be read; report the others."""
        values = []
        for text in texts:
            value = decode(text)
            if value is None:
                self._report_invalid(header, upstream, text)
            else:
                values.append(value)
        return values

    def _is_answer(self, head: ResponseHead) -> bool:
        return (
            head.status < INTERNAL_SERVER_ERROR
            and self._names.not_executed not in head.headers
            and is_signed(head.headers, self._names)
        )

    def _is_unsigned_success(self, head: ResponseHead) -> bool:
        """Return whether a response may consist of any bytes."""
        is_success = 200 <= head.status < 300
        return is_success and not is_signed(head.headers, self._names)

    def _report_invalid(
        self, header: _Header, upstream: str, text: str
    ) -> None:
        self._metrics.count(f"relay.{header}s_invalid")
        key = header, upstream
        if key in self._invalid or len(self._invalid) >= MAX_INVALID:
            return
        self._invalid.add(key)
        log.bind(upstream=upstream, named=text[:40]).warning(
            _INVALID_MESSAGES[header]
        )
