"""Run one request on plain services."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import msgspec

from balsamlift._http import Answer, CallError
from balsamlift.peers import Upstream
from balsamlift.requests._dispatch import (
    Dispatch,
    ExecutionLostError,
    NotRunError,
    choose_upstream,
    record_dispatch,
    record_not_run,
)
from balsamlift.requests._upstream_responses import (
    DONE,
    RUNNING,
    decode_refusal,
    fetch_key_state,
)
from balsamlift.streams import UNKNOWN, WHOLE, Outcome

POLL_PAUSE_S = 0.25
OK = 200
SERVER_ERROR = 500


@attrs.frozen(kw_only=True)
class _CallAnswer:
    result: Any = None


async def run_on_services(dispatch: Dispatch) -> Outcome:
    """Try plain services until one yields an outcome, then return it."""
    while True:
        upstream = await choose_upstream(dispatch)
        if isinstance(upstream, Outcome):
            if dispatch.execution.dispatched:
                return dispatch.execution.fail("no_service_left")
            return upstream
        record_dispatch(dispatch, upstream)
        try:
            return await _run_on(dispatch, upstream)
        except NotRunError as error:
            record_not_run(dispatch, upstream, error)
        except ExecutionLostError as error:
            dispatch.mark_lost(upstream)
            dispatch.record(
                "service_lost", upstream=upstream.name, reason=error.reason
            )
            if not dispatch.idempotent:
                return dispatch.execution.fail(error.reason, UNKNOWN)
        finally:
            dispatch.dependencies.placement.release(dispatch.ticket, upstream)


async def _run_on(dispatch: Dispatch, upstream: Upstream) -> Outcome:
    dispatch.dependencies.placement.mark_started(dispatch.ticket, upstream)
    body = dispatch.body
    call_body = {
        "key": body.key,
        "workspace": body.workspace,
        "kind": body.kind,
        "payload": body.payload,
        "idempotent": dispatch.idempotent,
    }
    try:
        answer = await dispatch.dependencies.http.call(
            "POST",
            f"http://{upstream.address}/v1/calls",
            call_body,
            timeout_ms=_timeout_ms(dispatch),
            connect_ms=dispatch.dependencies.settings.streams.connect_ms,
            fresh=True,
        )
    except CallError as error:
        if not error.sent:
            raise NotRunError("unreachable") from error
        return await _poll_by_key(dispatch, upstream)
    return _outcome(dispatch, answer)


def _timeout_ms(dispatch: Dispatch) -> int:
    silence_ms = dispatch.dependencies.settings.streams.upstream_silence_ms
    return max(1, min(silence_ms, int(dispatch.remaining_s() * 1_000)))


def _outcome(dispatch: Dispatch, answer: Answer) -> Outcome:
    if answer.status == OK:
        return result_outcome(answer.decode(_CallAnswer).result)
    refusal = decode_refusal(answer.body)
    if not refusal.ran:
        raise NotRunError(refusal.reason, refusal.retry_after_ms)
    reason = f"service_status_{answer.status}"
    if answer.status < SERVER_ERROR:
        return dispatch.execution.fail(reason)
    raise ExecutionLostError(reason, ended=False)


def result_outcome(result: Any) -> Outcome:
    """Return the outcome that carries a service's result."""
    encoded = msgspec.json.encode(result)
    digest = hashlib.sha256(encoded).hexdigest()
    return Outcome(outcome=WHOLE, digest=digest, result=result)


async def _poll_by_key(dispatch: Dispatch, upstream: Upstream) -> Outcome:
    """Poll the upstream by key for a call whose response was lost."""
    while dispatch.remaining_s() > 0:
        key_state = await fetch_key_state(
            dispatch.dependencies,
            upstream,
            dispatch.execution.key,
            _timeout_ms(dispatch),
        )
        if key_state is not None and key_state.state == DONE:
            return result_outcome(key_state.result)
        if key_state is None or key_state.state != RUNNING:
            break
        await dispatch.dependencies.clock.sleep(POLL_PAUSE_S)
    raise ExecutionLostError("service_silent", ended=False)
