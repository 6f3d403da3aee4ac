"""Run one request on plain services."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import msgspec

from balsamlift._http import Answer, CallError
from balsamlift.peers import Upstream
from balsamlift.requests._work import (
    LostError,
    NotRunError,
    Work,
    next_upstream,
    note_dispatch,
    note_not_run,
)
from balsamlift.streams import UNKNOWN, WHOLE, Outcome

POLL_PAUSE_S = 0.25
OK = 200
SERVER_ERROR = 500
DONE = "done"
RUNNING = "running"


@attrs.frozen(kw_only=True)
class _CallAnswer:
    result: Any = None


@attrs.frozen(kw_only=True)
class _Refusal:
    ran: bool = True
    reason: str = "status"
    retry_after_ms: int = 0


@attrs.frozen(kw_only=True)
class _KeyState:
    state: str
    result: Any = None


async def run_on_services(work: Work) -> Outcome:
    """Try plain services until there is an outcome."""
    while True:
        upstream = await next_upstream(work)
        if isinstance(upstream, Outcome):
            if work.execution.dispatched:
                return work.execution.fail("no_service_left")
            return upstream
        note_dispatch(work, upstream)
        try:
            return await _run_on(work, upstream)
        except NotRunError as error:
            note_not_run(work, upstream, error)
        except LostError as error:
            work.note_lost(upstream)
            work.record(
                "service_lost", upstream=upstream.name, reason=error.reason
            )
            if not work.idempotent:
                return work.execution.fail(error.reason, UNKNOWN)
        finally:
            work.parts.placement.released(work.ticket, upstream)


async def _run_on(work: Work, upstream: Upstream) -> Outcome:
    work.parts.placement.started(work.ticket, upstream)
    body = work.body
    call = {
        "key": body.key,
        "workspace": body.workspace,
        "kind": body.kind,
        "payload": body.payload,
        "idempotent": work.idempotent,
    }
    try:
        answer = await work.parts.http.call(
            "POST",
            f"http://{upstream.address}/v1/calls",
            call,
            timeout_ms=_silence_ms(work),
            connect_ms=work.parts.settings.streams.connect_ms,
            fresh=True,
        )
    except CallError as error:
        if not error.sent:
            raise NotRunError("unreachable") from error
        return await _ask_by_key(work, upstream)
    return _outcome(work, answer)


def _silence_ms(work: Work) -> int:
    silence_ms = work.parts.settings.streams.upstream_silence_ms
    return max(1, min(silence_ms, int(work.left_s() * 1_000)))


def _outcome(work: Work, answer: Answer) -> Outcome:
    if answer.status == OK:
        return whole_result(answer.decode(_CallAnswer).result)
    try:
        refusal = answer.decode(_Refusal)
    except msgspec.DecodeError:
        refusal = _Refusal()
    if not refusal.ran:
        raise NotRunError(refusal.reason, refusal.retry_after_ms)
    reason = f"service_status_{answer.status}"
    if answer.status < SERVER_ERROR:
        return work.execution.fail(reason)
    raise LostError(reason, ended=False)


def whole_result(result: Any) -> Outcome:
    """Return the outcome that carries a service's result."""
    encoded = msgspec.json.encode(result)
    digest = hashlib.sha256(encoded).hexdigest()
    return Outcome(outcome=WHOLE, digest=digest, result=result)


async def _ask_by_key(work: Work, upstream: Upstream) -> Outcome:
    """Learn by key what became of a call whose answer is lost."""
    url = f"http://{upstream.address}/v1/keys/{work.execution.key}"
    while upstream.tells_by_key and work.left_s() > 0:
        try:
            answer = await work.parts.http.call(
                "GET", url, timeout_ms=_silence_ms(work), fresh=True
            )
            state = answer.decode(_KeyState)
        except (CallError, msgspec.DecodeError):
            break
        if state.state == DONE:
            return whole_result(state.result)
        if state.state != RUNNING:
            # Absent proves nothing: the call may still be on its way.
            break
        await work.parts.clock.sleep(POLL_PAUSE_S)
    raise LostError("service_silent", ended=False)
