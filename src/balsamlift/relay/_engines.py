"""What the relay asks of engines, besides generating."""

from __future__ import annotations

from typing import Protocol

import attrs

from balsamlift.exceptions import UpstreamError
from balsamlift.peers import Upstream


class CopyError(UpstreamError):
    """Tell that the memory of a generation was not copied."""


class CopyRefusedError(CopyError):
    """Tell that there was no room, or no way, for the copy.

    Where the generation was stopped for it, `handle` names its memory at
    the source.
    """

    def __init__(self, upstream: str, reason: str, handle: str = "") -> None:
        """Keep the handle; empty: the generation still runs."""
        super().__init__(upstream, reason)
        self.handle = handle


class ReportError(UpstreamError):
    """Tell that an engine gave no report."""


@attrs.frozen
class Copy:
    """Hold the name of a copied generation, for the request that goes on."""

    handle: str
    source: Upstream
    target: Upstream  # where it lies; the source itself if it never left


@attrs.frozen
class Run:
    """Hold what an engine tells of one generation that it runs."""

    request_id: str
    tokens: int  # in its memory
    events: int  # made so far


@attrs.frozen
class Report:
    """Hold what an engine tells of itself, as it was some 100 ms ago."""

    runs: list[Run]
    is_leaving: bool
    started_ms: int = 0  # wall time of the engine's start; 0: not told
    leaves_s: float | None = None  # from then until it is gone, if it knows


class EngineCalls(Protocol):
    """Ask engines, and move generations between them."""

    async def report(self, upstream: Upstream) -> Report:
        """Return an engine's report; raise `ReportError`."""

    async def copy(
        self,
        source: Upstream,
        request_id: str,
        target: Upstream,
        *,
        stop: bool,
    ) -> Copy:
        """Copy the memory of a running generation to another engine.

        Copies what is new when it was copied before. With `stop` the
        generation stops first. Raises `CopyError`.
        """
