"""Pass the response of another host on to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator

import attrs
from tornado.iostream import StreamClosedError

from balsamlift.clients import (
    AnswerBody,
    BodyLimitError,
    ClientMemoryError,
    drop,
)
from balsamlift.exceptions import UpstreamBrokenError
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._connection import ResponseHead, UpstreamConnection
from balsamlift.relay._framing import declared_length
from balsamlift.relay._headers import caller_headers
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay._refusals import give_up, instead_of_failure
from balsamlift.relay._request import Call, Responder
from balsamlift.relay._response_limits import MAX_RESPONSE_BYTES
from balsamlift.relay._whole_answer import pass_on_whole


@attrs.frozen
class ForwardedReply:
    """The head of a response that another host passes on."""

    host: str
    head: ResponseHead
    connection: UpstreamConnection
    _pool: ConnectionPool

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.head.status < 300

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `UpstreamBrokenError` if it is truncated.

        Hosts send a length or chunks: an end by the connection alone is
        none, e.g. of a host that was killed.
        """
        async for chunk in self.connection.read_body(self.head):
            yield chunk
        if self.connection.is_ended_by_close:
            raise UpstreamBrokenError(self.host, "answer without an end")
        self._pool.release(self.connection)

    def close(self) -> None:
        """Close the connection unless the response has ended."""
        if not self.connection.is_reusable():
            self.connection.close()


async def pass_on(
    reply: ForwardedReply, call: Call, attempt: Attempt, responder: Responder
) -> str:
    """Respond as another host did; return the outcome for the log."""
    try:
        if call.route.kind == "stream" and reply.is_success:
            return await _pass_on_events(reply, responder)
        return await _pass_on_whole(reply, call, attempt, responder)
    finally:
        reply.close()


async def _pass_on_events(reply: ForwardedReply, responder: Responder) -> str:
    """Pass each event on as it comes; the other host sends whole ones."""
    head = reply.head
    try:
        await responder.start(
            head.status, head.reason, caller_headers(head.headers)
        )
        async for chunk in reply.read_body():
            await responder.write(chunk)
    except UpstreamBrokenError:
        responder.abort()
        return "host that carried it broke off"
    except StreamClosedError:
        return "caller gone"
    responder.finish()
    return "whole"


async def _pass_on_whole(
    reply: ForwardedReply, call: Call, attempt: Attempt, responder: Responder
) -> str:
    """Pass a response on once it is complete."""
    held = AnswerBody(call.request.memory, MAX_RESPONSE_BYTES)
    try:
        await held.reserve(declared_length(reply.head.headers))
        async for chunk in reply.read_body():
            held.append(chunk)
        body = held.keep()
    except (UpstreamBrokenError, BodyLimitError, ClientMemoryError):
        refusal = give_up(attempt, "host that carried it broke off")
        responder.refuse(refusal)
        return refusal.reason
    finally:
        held.release()
    head = reply.head
    instead = instead_of_failure(call, attempt, head.status, head.headers)
    if instead is not None:  # of a host that believes its upstream
        drop(body)
        responder.refuse(instead)
        return instead.reason
    return await pass_on_whole(head, body, responder, call)
