"""HTTP calls to engines: reports, and copies of running generations."""

from __future__ import annotations

from typing import Annotated

import msgspec

from balsamlift._http import Answer, CallError
from balsamlift.peers import Integer, Number, Upstream
from balsamlift.platform._names import HEADERS, MOVE_PATH, REPORT_PATH
from balsamlift.relay import (
    CopyError,
    CopyRefusedError,
    CopyRejectedError,
    EngineReport,
    MemoryCopy,
    ReportError,
    RunningGeneration,
    UpstreamHttp,
)

# The 1.3 GB of a long report take 0.5 s to copy between failure domains, and
# several copies in a row wait for each other.
MOVE_TIMEOUT_MS = 4_000
REPORT_TIMEOUT_MS = 300
CONNECT_TIMEOUT_MS = 300
_OK = 200
_SERVICE_UNAVAILABLE = 503


MAX_HANDLE_CHARACTERS = 500
# It becomes part of a header.
_Handle = Annotated[
    str,
    msgspec.Meta(pattern=r"\A[!-~]*\Z", max_length=MAX_HANDLE_CHARACTERS),
]


class _Report(msgspec.Struct):
    """Represent the fields in use of an engine's report."""

    # Request id, tokens in memory, events generated, priority of each.
    Runs: list[tuple[str, Integer, Integer, Integer]] = []
    LifecycleState: str = ""
    born: Integer = 0  # wall time of its start
    leaves_ms: Number | None = None  # until it stops, if it is leaving


class _MoveAnswer(msgspec.Struct):
    """Represent an engine's answer to a request to copy a generation."""

    Handle: _Handle = ""
    Created: Integer = 0  # events generated so far


class PlatformEngines:
    """Call engines over HTTP."""

    def __init__(self, http: UpstreamHttp) -> None:
        """Send calls through `http`."""
        self._http = http

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return an engine's report; raise `ReportError` if there is none."""
        try:
            answer = await self._http.call(
                "GET",
                f"http://{upstream.address}{REPORT_PATH}",
                timeout_ms=REPORT_TIMEOUT_MS,
                connect_ms=CONNECT_TIMEOUT_MS,
            )
            report = answer.decode(_Report)
        except (CallError, msgspec.MsgspecError) as error:
            raise ReportError(
                upstream.name, f"cannot get report: {error}"
            ) from error
        return EngineReport(
            runs=[
                RunningGeneration(
                    request_id=request_id, tokens=tokens, events=events
                )
                for request_id, tokens, events, _ in report.Runs
            ],
            is_leaving=_says_leaving(report, answer),
            started_ms=report.born,
            time_left_s=_ms_to_s(report.leaves_ms),
        )

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
        *,
        stop: bool,
    ) -> MemoryCopy:
        """Copy the memory of a running generation from `source` to `target`.

        With `stop`, the generation stops first. Raises `CopyRefusedError` if
        there is no room, `CopyRejectedError` if the engine does not run it or
        copies it already, and `CopyError` for any other failure.
        """
        body: dict[str, str | bool] = {
            "InstanceId": request_id,
            "To": target.address,
        }
        if stop:
            body["Last"] = True
        try:
            answer = await self._http.call(
                "POST",
                f"http://{source.address}{MOVE_PATH}",
                body,
                timeout_ms=MOVE_TIMEOUT_MS,
                connect_ms=CONNECT_TIMEOUT_MS,
            )
        except CallError as error:
            raise CopyError(source.name, error.message) from error
        moved = _decode_move_answer(source, answer)
        if answer.status == _OK:
            return MemoryCopy(moved.Handle, source, target)
        if answer.status == _SERVICE_UNAVAILABLE:
            raise CopyRefusedError(source.name, "no room", moved.Handle)
        if 400 <= answer.status < 500:
            raise CopyRejectedError(source.name, f"status {answer.status}")
        raise CopyError(source.name, f"status {answer.status}")


def _says_leaving(report: _Report, answer: Answer) -> bool:
    is_draining = report.LifecycleState not in ("", "ready")
    return is_draining or HEADERS.leaving in answer.headers


def _ms_to_s(value_ms: float | None) -> float | None:
    return None if value_ms is None else value_ms / 1_000


def _decode_move_answer(source: Upstream, answer: Answer) -> _MoveAnswer:
    if not answer.body:
        return _MoveAnswer()
    try:
        return answer.decode(_MoveAnswer)
    except msgspec.MsgspecError as error:
        raise CopyError(
            source.name, "invalid answer to a copy request"
        ) from error
