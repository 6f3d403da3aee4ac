"""Run one request on plain services."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import msgspec

from balsamlift._http import Answer, CallError
from balsamlift.peers import Upstream
from balsamlift.requests._answers import (
    DONE,
    RUNNING,
    ask_key,
    read_refusal,
)
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


@attrs.frozen(kw_only=True)
class _CallAnswer:
    result: Any = None


async def run_on_services(work: Work) -> Outcome:
    """Try plain services until one yields an outcome, then return it."""
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
            work.parts.placement.release(work.ticket, upstream)


async def _run_on(work: Work, upstream: Upstream) -> Outcome:
    work.parts.placement.mark_started(work.ticket, upstream)
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
    refusal = read_refusal(answer.body)
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
    """Poll the upstream by key for a call whose response was lost."""
    while work.left_s() > 0:
        told = await ask_key(
            work.parts, upstream, work.execution.key, _silence_ms(work)
        )
        if told is not None and told.state == DONE:
            return whole_result(told.result)
        if told is None or told.state != RUNNING:
            break
        await work.parts.clock.sleep(POLL_PAUSE_S)
    raise LostError("service_silent", ended=False)
