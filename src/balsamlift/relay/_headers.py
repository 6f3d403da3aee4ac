"""Headers that are passed on, dropped and added in both directions."""

from __future__ import annotations

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from balsamlift.relay._request import Call
from balsamlift.relay._wire import HeaderNames

# Of one connection only (RFC 9110, section 7.6.1).
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
MOST_PRIORITY = 9  # engines know 0 to 9, 0 first


def _passed_on(
    headers: HTTPHeaders, dropped: frozenset[str]
) -> Iterable[tuple[str, str]]:
    named = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    for name, value in headers.get_all():
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in dropped or lower in named:
            continue
        yield name, value


def upstream_headers(
    call: Call,
    names: HeaderNames,
    upstream_id: str,
    left_ms: int,
    extra: Iterable[tuple[str, str]] = (),
) -> list[tuple[str, str]]:
    """Return the headers of a call as an upstream gets them.

    `extra` goes before the caller's copies of the same names.
    """
    extra = list(extra)
    dropped = names.reserved | {name.lower() for name, _ in extra}
    headers = list(_passed_on(call.request.headers, dropped))
    headers.append((names.deadline_ms, str(max(left_ms, 0))))
    headers.append((names.expected_incarnation, upstream_id))
    if call.workspace is not None:
        headers.append((names.workspace, call.workspace.name))
    if call.route.kind == "stream":
        headers.append(
            (names.priority, str(min(call.priority, MOST_PRIORITY)))
        )
    headers.extend(extra)
    return headers


def caller_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of an upstream's answer as the caller gets them."""
    result = HTTPHeaders()
    for name, value in _passed_on(headers, frozenset()):
        result.add(name, value)
    return result
