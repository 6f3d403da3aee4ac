"""Hosts that reserve memory at the same time do not overcommit an engine."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace as Namespace
from typing import cast

import pytest
from _listed_engines import SCOPE, engines_of_one_domain
from _shared_counts import Counts, HostCounts
from _virtual_time import LoopClock, run_virtual

from balsamlift.peers import Peers, Upstreams
from balsamlift.relay import EngineTraits
from balsamlift.relay._balance import Balancer
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import (
    MemoryAllocator,
    MemoryReservation,
)
from balsamlift.relay.generations._move_reservation import (
    MOVE_FILL_LIMIT,
    reserve_for_move,
)
from balsamlift.relay.generations._placement_policy import DEFAULT_POLICY

TRAITS = EngineTraits(memory_tokens=10_000, can_move=True)
TOKENS = 1_000
MAX_LOAD = round(TRAITS.memory_tokens * MOVE_FILL_LIMIT)


async def reserve_concurrently(
    hosts: int, engines: int, used: int, seed: int
) -> list[MemoryReservation | None]:
    """Let `hosts` hosts reserve memory on engines that use `used` tokens."""
    counts = Counts(hosts)
    counts.by_host[-1] = {f"e{i}": used for i in range(engines)}
    listed = engines_of_one_domain(engines)

    async def reserve(host: int) -> MemoryReservation | None:
        balancer = Balancer(
            cast(Upstreams, listed),
            cast(Peers, HostCounts(counts, host)),
            LoopClock(),
            random.Random(seed),
            "north",
        )
        rng = random.Random(f"{seed}/{host}")
        # The hosts learn of the notice within a few milliseconds.
        await asyncio.sleep(rng.uniform(0.0, 0.005))
        context = Namespace(
            balancer=balancer,
            allocator=MemoryAllocator(balancer),
            permits=Namespace(limited=frozenset),
            rng=rng,
        )
        job = Namespace(scope=SCOPE, traits=TRAITS, tokens=TOKENS, demand=None)
        return await reserve_for_move(
            cast(GenerationContext, context), cast(Job, job), "north", ()
        )

    return await asyncio.gather(*(reserve(host) for host in range(hosts)))


@pytest.mark.parametrize("seed", range(8))
def test_concurrent_reservations_do_not_overcommit_an_engine(
    seed: int,
) -> None:
    """Twelve generations leave at once; eight engines have memory for 16.

    Guards against all twelve choosing the same engine, which has memory for
    two: eight of them were then refused after waiting for the link.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        reservations = await reserve_concurrently(
            12, engines=8, used=MAX_LOAD - 2 * TOKENS, seed=seed
        )
        assert loop.time() < 1.0  # the notice is at least 1.5 s
        placed = Counter(h.upstream.name for h in reservations if h)
        assert placed.total() == 12
        assert max(placed.values()) <= 2

    run_virtual(test)


def test_a_single_reservation_is_fast() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        (reservation,) = await reserve_concurrently(
            1, engines=2, used=MAX_LOAD - 2 * TOKENS, seed=1
        )
        assert reservation is not None
        assert reservation.tokens == TOKENS
        assert loop.time() < 0.06

    run_virtual(test)


def test_nothing_is_reserved_without_free_memory() -> None:
    async def test() -> None:
        reservations = await reserve_concurrently(
            3, engines=2, used=MAX_LOAD - TOKENS // 2, seed=1
        )
        assert reservations == [None, None, None]

    run_virtual(test)


def test_moves_may_fill_an_engine_further_than_new_generations() -> None:
    """Otherwise a generation is lost if all engines are full at a notice."""
    used = (
        round(TRAITS.memory_tokens * DEFAULT_POLICY.fill_limit) - TOKENS // 2
    )

    async def test() -> None:
        (reservation,) = await reserve_concurrently(
            1, engines=1, used=used, seed=1
        )
        assert reservation is not None

    run_virtual(test)
