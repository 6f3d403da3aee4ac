"""The headers of a forwarded request, which only hosts read and write."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift._numbers import parse_count
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._headers import end_to_end_headers
from balsamlift.relay._request import Call, CallerRequest, Origin, Resume

HOST = "Balsamlift-Forwarded-By"
SENDS = "Balsamlift-Sends"
# The most that forwarding adds to the head of a request.
FORWARDED_HEAD_BYTES = 1_024
RESUME_AT = "Balsamlift-Resume-At"
RESUME_SOURCE = "Balsamlift-Resume-Source"
LAST_EVENT = "Balsamlift-Last-Event"
_OWN = frozenset(
    name.lower()
    for name in (HOST, SENDS, RESUME_AT, RESUME_SOURCE, LAST_EVENT)
)


def forwarded_headers(
    call: Call,
    attempt: Attempt,
    host: str,
    extra: Collection[tuple[str, str]],
) -> Iterable[tuple[str, str]]:
    """Return the caller's headers; `extra` replaces those of the same name."""
    dropped = _OWN | {name.lower() for name, _ in extra}
    yield from end_to_end_headers(call.request.headers, dropped)
    yield from extra
    yield HOST, host
    yield SENDS, str(attempt.sends)


def resume_headers(resume: Resume) -> Iterable[tuple[str, str]]:
    """Return the headers by which another host goes on."""
    yield RESUME_AT, resume.upstream
    yield RESUME_SOURCE, resume.source
    yield LAST_EVENT, str(resume.last_event)


def unwrap_request(request: CallerRequest) -> CallerRequest:
    """Return the request as its caller sent it, with its origin."""
    headers = HTTPHeaders()
    for name, value in request.headers.get_all():
        if name.lower() not in _OWN:
            headers.add(name, value)
    origin = Origin(
        host=request.headers.get(HOST, ""),
        sends=_parse_number(request.headers.get(SENDS, ""), 0),
        resume=_parse_resume(request.headers),
    )
    return attrs.evolve(request, headers=headers, origin=origin)


def _parse_resume(headers: HTTPHeaders) -> Resume | None:
    if RESUME_AT not in headers or RESUME_SOURCE not in headers:
        return None
    return Resume(
        upstream=headers[RESUME_AT],
        source=headers[RESUME_SOURCE],
        last_event=_parse_number(headers.get(LAST_EVENT, ""), -1),
    )


def _parse_number(text: str, default: int) -> int:
    number = parse_count(text)
    return default if number is None else number
