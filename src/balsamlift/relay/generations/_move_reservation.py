"""Reserve memory for generations that leave an engine at the same time.

When an engine gives notice, the hosts of all its generations look for another
engine at once and choose the same one. Reservations become known to the other
hosts some milliseconds later, so each is checked again after that time. If
the engine is overcommitted, every host that sees this releases its
reservation and chooses again after a random delay.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from balsamlift.peers import Upstream
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation

# Generations that leave an engine may fill another one further than new ones:
# they are lost without memory, whereas new ones can be retried. The engine
# refuses what does not actually fit.
MOVE_FILL_LIMIT = 1.1
# Time until the counts of hosts that chose simultaneously are known.
SETTLE_S = 0.03
# Maximum random delay before choosing again, so that hosts which released the
# same engine return one at a time.
MAX_RETRY_DELAY_S = 0.15
# After this many conflicts, the next reservation is kept unchecked: time for
# the copy runs out, and the engine itself refuses what does not fit.
MAX_CONFLICTS = 4


async def reserve_for_move(
    context: GenerationContext,
    job: Job,
    near_domain: str,
    tried: Collection[str],
) -> MemoryReservation | None:
    """Reserve memory that is not overcommitted; None if there is none.

    Prefers the failure domain `near_domain` and excludes engines in `tried`.
    """
    max_load = job.traits.memory_tokens * MOVE_FILL_LIMIT
    for _ in range(MAX_CONFLICTS):
        reservation = await _reserve_best(context, job, near_domain, tried)
        if reservation is None:
            return None
        if context.balancer.load(reservation.upstream.name) <= max_load:
            return reservation
        reservation.release()
        await asyncio.sleep(context.rng.uniform(0.0, MAX_RETRY_DELAY_S))
    return await _reserve_best(context, job, near_domain, tried)


def _find(
    context: GenerationContext,
    job: Job,
    near_domain: str,
    tried: Collection[str],
) -> Upstream | None:
    return context.allocator.find(
        job.scope,
        job.traits,
        job.tokens,
        tried,
        near_domain=near_domain,
        fill_limit=MOVE_FILL_LIMIT,
        demand=job.demand,
    )


async def _reserve_best(
    context: GenerationContext,
    job: Job,
    near_domain: str,
    tried: Collection[str],
) -> MemoryReservation | None:
    """Reserve the best engine and wait until other reservations are known.

    Engines with a rate limit come last: a move needs a permit in time.
    """
    balancer = context.balancer
    await balancer.refresh()
    limited = context.permits.limited()
    upstream = _find(context, job, near_domain, {*tried, *limited})
    if upstream is None and limited:
        upstream = _find(context, job, near_domain, tried)
    if upstream is None:
        return None
    reservation = context.allocator.reserve(upstream, job.tokens)
    try:
        await asyncio.sleep(SETTLE_S)
        await balancer.refresh()
    except asyncio.CancelledError:
        reservation.release()
        raise
    return reservation
