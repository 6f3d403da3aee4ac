"""Rate limits that upstreams name in their answers, as one host keeps them."""

import asyncio

import pytest
from _relay_helpers import USAGE, run, stream

from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaStandIn,
)

PATHS = [("/view/1", "plain"), ("/order/1", "plain"), ("/draft/1", "model")]
LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# The platform tolerates this much beyond what the limit allows.
TOLERATED_FACTOR, TOLERATED_EXTRA = 1.5, 5
CALLS = 60  # within the window


def most_tolerated(limit_per_s: float) -> float:
    """Return the most requests that may arrive within `WINDOW_S`."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_EXTRA


def make_stand_ins(pool: str, number: int) -> list[ReplicaStandIn]:
    stand_ins = [
        ReplicaStandIn(f"{pool}-{n}", pool, HEADER_NAMES)
        for n in range(number)
    ]
    if pool == "model":
        for stand_in in stand_ins:
            stand_in.behave = stream
    return stand_ins


async def call_until_limit_is_named(
    world: RelayHarness, path: str, limited: ReplicaStandIn
) -> None:
    while not limited.arrivals:
        await world.call(path, headers=USAGE)
    limited.arrivals.clear()


@pytest.mark.parametrize(("path", "pool"), PATHS)
def test_an_upstream_gets_no_more_than_the_rate_limit_it_names(
    path: str, pool: str
) -> None:
    async def test() -> None:
        limited, other = make_stand_ins(pool, 2)
        limited.rate_limit = str(LIMIT_PER_S)
        async with RelayHarness([limited, other]) as world:
            world.configure()
            await call_until_limit_is_named(world, path, limited)
            calls = [
                world.call(path, f"r{n}", headers=USAGE) for n in range(CALLS)
            ]
            answers = await asyncio.gather(*calls)
            assert [answer.status for answer in answers] == [200] * CALLS
            assert len(limited.arrivals) <= most_tolerated(LIMIT_PER_S)

    run(test())
