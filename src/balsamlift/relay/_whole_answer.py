"""Pass an answer that is held in full on to its caller."""

from __future__ import annotations

from balsamlift.clients import drop
from balsamlift.relay._connection import ResponseHead
from balsamlift.relay._header_names import ANSWERED_BY_HEADER
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._request import Call, Responder


async def pass_on_whole(
    head: ResponseHead,
    body: bytearray,
    responder: Responder,
    call: Call,
    upstream: str = "",
) -> str:
    """Send an answer, then free its body; return the outcome for the log.

    A host that forwarded the call is told of `upstream`, so that it does not
    take an answer without a signature for one of this host.
    """
    headers = caller_headers(head.headers)
    headers["Content-Length"] = str(len(body))
    if upstream and call.request.origin is not None:
        headers[ANSWERED_BY_HEADER] = upstream
    try:
        await responder.start(head.status, head.reason, headers)
        if body and call.method != "HEAD":
            await responder.write(body)
    finally:
        drop(body)
    responder.finish()
    return f"answered {head.status}"
