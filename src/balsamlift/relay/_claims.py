"""Claim room for what leaves an engine, while other hosts do the same.

All that runs on an engine looks for room elsewhere in the moment of its
notice, on as many hosts, and each sees the same engine as the best. What is
held is known to the others some milliseconds later. So a claim is looked at
once more when that time is over: where too much was held, all that see it
give it back and choose again, each after a pause of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from balsamlift.relay._generation_context import GenerationContext
from balsamlift.relay._job import Job
from balsamlift.relay._rooms import Holding

# What leaves may fill an engine further than newcomers, which can come back:
# without room it is lost. The engine refuses what does not fit in fact.
FILLED_BY_MOVES_PART = 1.1
# Until the counts of hosts that chose at the same time are known.
SETTLE_S = 0.03
# The pause before another choice is drawn up to this, so that those which gave
# back the same engine come one at a time.
AGAIN_S = 0.15
# After so many claims in vain, what is held is kept as it is: the engine
# judges by itself, and time for the copy runs out.
MOST_IN_VAIN = 4


async def claim_room(
    tools: GenerationContext, job: Job, near: str, tried: Collection[str]
) -> Holding | None:
    """Hold room that no other claim goes beyond; None where there is none.

    Looks in the failure domain `near` first, and at none of those `tried`.
    """
    most = job.traits.memory_tokens * FILLED_BY_MOVES_PART
    for _ in range(MOST_IN_VAIN):
        holding = await _hold_best(tools, job, near, tried)
        if holding is None:
            return None
        if tools.balancer.load(holding.upstream.name) <= most:
            return holding
        holding.release()
        await asyncio.sleep(tools.rng.uniform(0.0, AGAIN_S))
    return await _hold_best(tools, job, near, tried)


async def _hold_best(
    tools: GenerationContext, job: Job, near: str, tried: Collection[str]
) -> Holding | None:
    """Hold the best room there is, until what others hold is known."""
    balancer = tools.balancer
    await balancer.refresh()
    upstream = tools.rooms.find(
        job.scope,
        job.traits,
        job.tokens,
        tried,
        near=near,
        filled_part=FILLED_BY_MOVES_PART,
    )
    if upstream is None:
        return None
    holding = tools.rooms.hold(upstream, job.tokens)
    try:
        await asyncio.sleep(SETTLE_S)
        await balancer.refresh()
    except asyncio.CancelledError:
        holding.release()
        raise
    return holding
