"""Orders to engines on the platform: moving a running generation."""

from __future__ import annotations

import msgspec

from balsamlift._http import Answer, CallError, HttpClient
from balsamlift.peers import Upstream
from balsamlift.platform._names import MOVE_PATH, REPORT_PATH
from balsamlift.relay import (
    CopyError,
    CopyRefusedError,
    EngineReport,
    MemoryCopy,
    ReportError,
    RunningGeneration,
)

# 1.3 GB of a long report take 0.5 s between failure domains; several in a
# row wait for each other.
MOVE_MS = 4_000
REPORT_MS = 300
CONNECT_MS = 300
_OK = 200
_NO_ROOM = 503


class _Report(msgspec.Struct):
    """Hold the part of an engine's report that is used."""

    # Each: id of the request, tokens in memory, events made, priority.
    Runs: list[tuple[str, int, int, int]] = []
    LifecycleState: str = ""
    born: int = 0  # wall time of its start
    leaves_ms: float | None = None  # until it is gone, once it leaves


class _Moved(msgspec.Struct):
    """Hold the engine's answer to a move."""

    Handle: str = ""
    Created: int = 0  # events generated so far


class PlatformEngines:
    """Order engines over HTTP."""

    def __init__(self, http: HttpClient) -> None:
        """Call through `http`."""
        self._http = http

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return an engine's report; raise `ReportError`."""
        try:
            answer = await self._http.call(
                "GET",
                f"http://{upstream.address}{REPORT_PATH}",
                timeout_ms=REPORT_MS,
                connect_ms=CONNECT_MS,
            )
            report = answer.decode(_Report)
        except (CallError, msgspec.MsgspecError, RecursionError) as error:
            raise ReportError(upstream.name, f"no report: {error}") from error
        return EngineReport(
            runs=[
                RunningGeneration(
                    request_id=request_id, tokens=tokens, events=events
                )
                for request_id, tokens, events, _ in report.Runs
            ],
            is_leaving=report.LifecycleState not in ("", "ready"),
            started_ms=report.born,
            time_left_s=_seconds(report.leaves_ms),
        )

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
        *,
        stop: bool,
    ) -> MemoryCopy:
        """Copy the memory of a running generation; raise `CopyError`."""
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
                timeout_ms=MOVE_MS,
                connect_ms=CONNECT_MS,
                headers={"Content-Type": "application/json"},
            )
        except CallError as error:
            raise CopyError(source.name, error.message) from error
        moved = _decode(source, answer)
        if answer.status == _OK:
            return MemoryCopy(moved.Handle, source, target)
        if answer.status == _NO_ROOM:
            raise CopyRefusedError(source.name, "no room", moved.Handle)
        raise CopyError(source.name, f"status {answer.status}")


def _seconds(value_ms: float | None) -> float | None:
    return None if value_ms is None else value_ms / 1_000


def _decode(source: Upstream, answer: Answer) -> _Moved:
    if not answer.body:
        return _Moved()
    try:
        return msgspec.json.decode(answer.body, type=_Moved)
    except msgspec.MsgspecError as error:
        raise CopyError(source.name, "no answer to a move") from error
