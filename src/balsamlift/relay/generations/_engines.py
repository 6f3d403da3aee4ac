"""Interface for engine reports and copies of generation memory."""

from __future__ import annotations

from typing import Protocol

import attrs

from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream


class CopyError(UpstreamError):
    """Raised when the memory of a generation was not copied."""


class CopyRefusedError(CopyError):
    """Raised when the target has no memory for a copy or is being evacuated.

    If the generation was stopped for the copy, `handle` names its memory at
    the source.
    """

    def __init__(self, upstream: str, reason: str, handle: str = "") -> None:
        """Store the handle, which is empty if the generation still runs."""
        super().__init__(upstream, reason)
        self.handle = handle


class CopyRejectedError(CopyError):
    """Raised when an engine rejected a copy, without effect on the run.

    The run goes on, or it had ended before.
    """


class ReportError(UpstreamError):
    """Raised when an engine returned no report."""


@attrs.frozen
class MemoryCopy:
    """Memory of a generation that a resumed request continues from."""

    handle: str
    source: Upstream
    target: Upstream  # holds the memory; equals `source` if it was not copied


@attrs.frozen
class RunningGeneration:
    """State of one running generation, as reported by its engine."""

    request_id: str
    tokens: int  # in engine memory
    events: int  # produced so far


@attrs.frozen
class EngineReport:
    """State of an engine as it reported it, about 100 ms old."""

    runs: list[RunningGeneration]
    is_leaving: bool
    started_ms: int = 0  # wall time of the engine's start; 0: unknown
    time_left_s: float | None = None  # until it exits, if known


class EngineClient(Protocol):
    """Client for engine reports and for copies between engines."""

    async def report(self, upstream: Upstream) -> EngineReport:
        """Return the report of an engine.

        Raises `ReportError`.
        """

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
        *,
        stop: bool,
    ) -> MemoryCopy:
        """Copy the memory of a running generation to another engine.

        A repeated copy transfers only what is new since the last one. With
        `stop`, the generation stops first. Raises `CopyError`; the generation
        may have stopped then, unless it is a `CopyRejectedError` or a
        `CopyRefusedError` without a handle.
        """
