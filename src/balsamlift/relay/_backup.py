"""A second engine that keeps the memory of a generation as it grows."""

from __future__ import annotations

from balsamlift.peers import Upstream
from balsamlift.relay._generation_context import GenerationContext
from balsamlift.relay._job import Job
from balsamlift.relay._rooms import Holding


class Backup:
    """Hold room for the copy of one generation at a time.

    Engines crash without notice, or leave before all copies are away.
    """

    def __init__(self, tools: GenerationContext, job: Job) -> None:
        """Begin with none."""
        self._tools = tools
        self._job = job
        self._holding: Holding | None = None

    def choose(self, source: Upstream) -> None:
        """Find an engine with room for a copy, other than `source`."""
        self.release()
        job = self._job
        if not job.traits.can_back_up:
            return
        self._holding = self._tools.rooms.hold_backup(
            job.scope, source, job.traits, job.tokens
        )

    @property
    def upstream(self) -> str:
        """Return the name of the engine that keeps the copy; "": none."""
        return self._holding.upstream.name if self._holding else ""

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers that name it to the engine at work."""
        if self._holding is None:
            return []
        names = self._tools.names
        return [(names.backup_address, self._holding.upstream.address)]

    def take(self) -> Upstream | None:
        """Return the engine that has the copy, if it stays, and let go."""
        holding = self._holding
        self.release()
        if holding is None:
            return None
        if not self._tools.upstreams.may_take_work(holding.upstream.name):
            return None
        return holding.upstream

    def release(self) -> None:
        """Give the room back."""
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.release()
