"""Hosts that look for room in the same moment do not take the same."""

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
from balsamlift.relay._claims import FILLED_BY_MOVES_PART, claim_room
from balsamlift.relay._generation_context import GenerationContext
from balsamlift.relay._job import Job
from balsamlift.relay._placing import STANDARD
from balsamlift.relay._rooms import Holding, Rooms

TRAITS = EngineTraits(memory_tokens=10_000, can_move=True)
TOKENS = 1_000
MOST = round(TRAITS.memory_tokens * FILLED_BY_MOVES_PART)


async def claim_at_once(
    claims: int, engines: int, used: int, seed: int
) -> list[Holding | None]:
    """Have so many hosts look for room on engines that are that full."""
    counts = Counts(claims)
    counts.by_host[-1] = {f"e{i}": used for i in range(engines)}
    listed = engines_of_one_domain(engines)

    async def claim(host: int) -> Holding | None:
        balancer = Balancer(
            cast(Upstreams, listed),
            cast(Peers, HostCounts(counts, host)),
            LoopClock(),
            random.Random(seed),
            "north",
        )
        rng = random.Random(f"{seed}/{host}")
        # The word of a notice comes to all within a few milliseconds.
        await asyncio.sleep(rng.uniform(0.0, 0.005))
        tools = Namespace(balancer=balancer, rooms=Rooms(balancer), rng=rng)
        job = Namespace(scope=SCOPE, traits=TRAITS, tokens=TOKENS)
        return await claim_room(
            cast(GenerationContext, tools), cast(Job, job), "north", ()
        )

    return await asyncio.gather(*(claim(host) for host in range(claims)))


@pytest.mark.parametrize("seed", range(8))
def test_claims_at_once_do_not_fill_an_engine_beyond_its_memory(
    seed: int,
) -> None:
    """Twelve generations leave at once; eight engines have room for 16.

    Before, all twelve held the same engine, which has room for two: eight of
    them were refused after their turn at the link had come.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        holdings = await claim_at_once(
            12, engines=8, used=MOST - 2 * TOKENS, seed=seed
        )
        assert loop.time() < 1.0  # of a notice of 1.5 s and more
        placed = Counter(h.upstream.name for h in holdings if h)
        assert placed.total() == 12
        assert max(placed.values()) <= 2

    run_virtual(test)


def test_a_claim_alone_takes_a_moment() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        (holding,) = await claim_at_once(
            1, engines=2, used=MOST - 2 * TOKENS, seed=1
        )
        assert holding is not None
        assert holding.tokens == TOKENS
        assert loop.time() < 0.06

    run_virtual(test)


def test_nothing_is_held_where_there_is_no_room() -> None:
    async def test() -> None:
        holdings = await claim_at_once(
            3, engines=2, used=MOST - TOKENS // 2, seed=1
        )
        assert holdings == [None, None, None]

    run_virtual(test)


def test_what_leaves_finds_room_where_newcomers_do_not() -> None:
    """Else all engines are full as one gives notice, and it is lost."""
    used = round(TRAITS.memory_tokens * STANDARD.filled_part) - TOKENS // 2

    async def test() -> None:
        (holding,) = await claim_at_once(1, engines=1, used=used, seed=1)
        assert holding is not None

    run_virtual(test)
