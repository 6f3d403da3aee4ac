"""Keep a copy of a generation's memory on a second engine as it grows."""

from __future__ import annotations

from balsamlift.peers import Upstream
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation


class Backup:
    """Reserve memory for a copy of one generation, on one engine at a time.

    Guards against engines that crash without notice or terminate before all
    their generations have been moved.
    """

    def __init__(self, context: GenerationContext, job: Job) -> None:
        """Start without a backup."""
        self._context = context
        self._job = job
        self._reservation: MemoryReservation | None = None

    def choose(self, source: Upstream) -> None:
        """Choose an engine other than `source` that has memory for a copy.

        An engine with a rate limit might not take the generation over.
        """
        self.release()
        job = self._job
        if not job.traits.can_back_up:
            return
        self._reservation = self._context.allocator.reserve_backup(
            job.scope,
            {source.name, *self._context.permits.limited()},
            job.traits,
            job.tokens,
        )

    @property
    def upstream(self) -> str:
        """Return the name of the backup engine, or "" if there is none."""
        return self._reservation.upstream.name if self._reservation else ""

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers that name the backup to the running engine."""
        if self._reservation is None:
            return []
        names = self._context.names
        return [(names.backup_address, self._reservation.upstream.address)]

    def take(self) -> Upstream | None:
        """Return the backup engine if it stays; release its memory."""
        reservation = self._reservation
        self.release()
        if reservation is None:
            return None
        if not self._context.upstreams.may_take_work(
            reservation.upstream.name
        ):
            return None
        return reservation.upstream

    def replace_by(self, other: Backup) -> None:
        """Release this memory and hold that of another backup."""
        self.release()
        self._reservation, other._reservation = other._reservation, None

    def release(self) -> None:
        """Release the reserved memory."""
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            reservation.release()
