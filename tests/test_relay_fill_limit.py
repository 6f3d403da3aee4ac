"""How far new generations may fill the engines of a busy pool.

Runs in virtual time, with the rates and sizes of the larger deployments:
prompts of about 3,000 tokens, answers of 30 to 1,800 tokens that are estimated
only roughly, and engines with memory for six generations, most of it in use.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from typing import cast

import attrs
import pytest
from _listed_engines import SCOPE, engines_of_one_domain
from _shared_counts import SingleHost

from balsamlift.clock import SystemClock
from balsamlift.peers import Peers, Upstreams
from balsamlift.relay import EngineTraits
from balsamlift.relay._balance import Balancer
from balsamlift.relay.generations._memory_allocator import (
    MemoryAllocator,
    MemoryReservation,
)
from balsamlift.relay.generations._placement_policy import DEFAULT_POLICY

MEMORY_TOKENS = 21_800
TRAITS = EngineTraits(memory_tokens=MEMORY_TOKENS)
TOKEN_S = 0.0087
TARGET_S = 1.8
ENGINES = 18
ARRIVALS_PER_S = 15.5
LENGTH_S = 120.0
EXPECTED_OUTPUT_TOKENS = 670  # the mean, regardless of the actual length


@attrs.define(eq=False)
class Running:
    """A generation that runs on an engine."""

    prompt_tokens: int
    output_tokens: int
    started_s: float
    reservation: MemoryReservation

    def tokens(self, now_s: float) -> float:
        """Return the memory that it actually uses."""
        generated = (now_s - self.started_s) / TOKEN_S
        return self.prompt_tokens + min(generated, self.output_tokens)


@attrs.frozen
class Request:
    """A generation that waits for memory."""

    requested_s: float
    prompt_tokens: int
    output_tokens: int


@attrs.define
class Results:
    """Counts of requested, admitted and overflowing generations."""

    requested: int = 0
    admitted: int = 0
    overflows: int = 0  # samples of an engine that exceeded its memory


class Pool:
    """All engines, with new generations placed up to a fill limit."""

    def __init__(self, fill_limit: float, seed: int) -> None:
        self.results = Results()
        self._fill_limit = fill_limit
        self._balancer = Balancer(
            cast(Upstreams, engines_of_one_domain(ENGINES)),
            cast(Peers, SingleHost()),
            SystemClock(),
            random.Random(seed),
            "north",
        )
        self._allocator = MemoryAllocator(self._balancer)
        self._running: set[Running] = set()
        self._ends: list[tuple[float, int, Running]] = []
        self._numbers = itertools.count()
        self._waiting: list[Request] = []

    def add(self, request: Request) -> None:
        """Add a generation, after ending those that are complete by then."""
        while self._ends and self._ends[0][0] <= request.requested_s:
            ended_s, _, ended = heapq.heappop(self._ends)
            self._running.remove(ended)
            ended.reservation.release()
            self._start_waiting(ended_s)
        self.results.requested += 1
        self._waiting.append(request)
        self._start_waiting(request.requested_s)
        self._sample_memory(request.requested_s)

    def _start_waiting(self, now_s: float) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            is_late = now_s - request.requested_s > TARGET_S
            if not is_late and not self._start(request, now_s):
                self._waiting.append(request)

    def _start(self, request: Request, now_s: float) -> bool:
        expected = request.prompt_tokens + EXPECTED_OUTPUT_TOKENS
        upstream = self._allocator.find(
            SCOPE, TRAITS, expected, fill_limit=self._fill_limit
        )
        if upstream is None:
            return False
        reservation = MemoryReservation(self._balancer, upstream, expected)
        running = Running(
            request.prompt_tokens, request.output_tokens, now_s, reservation
        )
        self._running.add(running)
        end_s = now_s + request.output_tokens * TOKEN_S
        heapq.heappush(self._ends, (end_s, next(self._numbers), running))
        self.results.admitted += 1
        return True

    def _sample_memory(self, now_s: float) -> None:
        used: Counter[str] = Counter()
        for running in self._running:
            name = running.reservation.upstream.name
            used[name] += round(running.tokens(now_s))
        self.results.overflows += sum(
            tokens > MEMORY_TOKENS for tokens in used.values()
        )


def simulate(fill_limit: float, seed: int) -> Results:
    """Run for two minutes; what waits longer than its target is refused."""
    rng = random.Random(seed)
    pool = Pool(fill_limit, seed)
    now_s = 0.0
    while now_s < LENGTH_S:
        now_s += rng.expovariate(ARRIVALS_PER_S)
        prompt = min(rng.lognormvariate(math.log(2_900), 0.35), 6_000)
        output = min(rng.lognormvariate(math.log(600), 0.65), 1_800)
        pool.add(Request(now_s, round(prompt), round(output)))
    return pool.results


@pytest.mark.parametrize("seed", range(3))
def test_a_busy_pool_serves_nearly_all_in_time(seed: int) -> None:
    """With a fill limit of 0.9, 56 to 99 of about 1,870 wait in vain.

    With 1.0, 5 to 17 do: not all generations are near their ends at the same
    time. With 1.1, an engine has exceeded its memory in 8 to 18% of all
    samples; with 1.0, in 1 to 4%.
    """
    results = simulate(DEFAULT_POLICY.fill_limit, seed)
    assert results.admitted >= 0.985 * results.requested
    assert results.overflows <= 0.05 * results.requested * ENGINES
    cautious = simulate(0.9, seed)
    assert cautious.admitted < 0.985 * cautious.requested
