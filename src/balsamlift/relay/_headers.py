"""Forwarding of headers between callers and upstreams."""

from __future__ import annotations

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from balsamlift._numbers import parse_decimal
from balsamlift.relay._header_names import BETWEEN_HOSTS, HeaderNames
from balsamlift.relay._request import Call

# Connection-specific headers (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
MAX_PRIORITY = 9  # engines accept 0 to 9; 0 is served first
_MS_PER_S = 1_000


def end_to_end_headers(
    headers: HTTPHeaders, dropped: frozenset[str]
) -> Iterable[tuple[str, str]]:
    """Yield the headers that concern more than one connection.

    Those in `dropped`, in lower case, are left out too.
    """
    connection_options = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    for name, value in headers.get_all():
        lower = name.lower()
        if (
            lower in _HOP_BY_HOP
            or lower in dropped
            or lower in connection_options
        ):
            continue
        yield name, value


def upstream_headers(
    call: Call,
    names: HeaderNames,
    upstream_id: str,
    remaining_ms: int,
    extra: Iterable[tuple[str, str]] = (),
) -> list[tuple[str, str]]:
    """Return the headers of a call to an upstream.

    `extra` replaces headers of the same name from the caller.
    """
    extra = list(extra)
    dropped = names.reserved | {name.lower() for name, _ in extra}
    headers = list(end_to_end_headers(call.request.headers, dropped))
    headers.append((names.deadline_ms, str(max(remaining_ms, 0))))
    headers.append((names.expected_incarnation, upstream_id))
    if call.workspace is not None:
        headers.append((names.workspace, call.workspace.name))
    if call.route.kind == "stream":
        headers.append((names.priority, str(min(call.priority, MAX_PRIORITY))))
    headers.extend(extra)
    return headers


def is_signed(headers: HTTPHeaders, names: HeaderNames) -> bool:
    """Return whether a response is proved to be the upstream's own."""
    return (
        names.signature in headers
        and names.request_id in headers
        and "Content-Encoding" not in headers
    )


def caller_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of an upstream's response to the caller."""
    result = HTTPHeaders()
    for name, value in end_to_end_headers(headers, BETWEEN_HOSTS):
        result.add(name, value)
    return result


def split_values(headers: HTTPHeaders, name: str) -> list[str]:
    """Return the values of a header, which may be given as a list or twice."""
    return [
        part.strip()
        for text in headers.get_list(name)
        for part in text.split(",")
    ]


def retry_after_ms(headers: HTTPHeaders) -> int | None:
    """Return the longest time that Retry-After names, None if there is none.

    It is given in seconds, with a fraction.
    """
    values = split_values(headers, "Retry-After")
    times_s = [parse_decimal(value) for value in values]
    readable_s = [time_s for time_s in times_s if time_s is not None]
    return round(max(readable_s) * _MS_PER_S) if readable_s else None
