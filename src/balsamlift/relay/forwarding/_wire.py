"""The headers of a forwarded request, which only hosts read and write."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.relay._attempt import Attempt
from balsamlift.relay._headers import end_to_end_headers
from balsamlift.relay._request import Call, CallerRequest, Origin

HOST = "Balsamlift-Forwarded-By"
SENDS = "Balsamlift-Sends"
# The most that forwarding adds to the head of a request.
FORWARDED_HEAD_BYTES = 1_024
_OWN = frozenset({HOST.lower(), SENDS.lower()})


def forwarded_headers(
    call: Call,
    attempt: Attempt,
    host: str,
    deadline: tuple[str, str],
) -> Iterable[tuple[str, str]]:
    """Return the caller's headers, with the `deadline` that is left."""
    dropped = _OWN | {deadline[0].lower()}
    yield from end_to_end_headers(call.request.headers, dropped)
    yield deadline
    yield HOST, host
    yield SENDS, str(attempt.sends)


def unwrap_request(request: CallerRequest) -> CallerRequest:
    """Return the request as its caller sent it, with its origin."""
    headers = HTTPHeaders()
    for name, value in request.headers.get_all():
        if name.lower() not in _OWN:
            headers.add(name, value)
    sends = request.headers.get(SENDS, "")
    origin = Origin(
        host=request.headers.get(HOST, ""),
        sends=int(sends) if sends.isdecimal() else 0,
    )
    return attrs.evolve(request, headers=headers, origin=origin)
