"""A crowded pool of engines: how far newcomers may fill it.

Played in virtual time with lengths, sizes and rates as on the larger
deployments: prompts of some 3,000 tokens, answers of 30 to 1,800 that are
expected only roughly, engines with room for six, most of them in use.
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

from balsamlift.clock import SystemClock
from balsamlift.peers import CountsBasis, Peers, Place, Upstreams
from balsamlift.relay import EngineTraits
from balsamlift.relay._balance import Balancer
from balsamlift.relay._placing import STANDARD
from balsamlift.relay._rooms import Holding, Rooms

MEMORY_TOKENS = 21_800
TRAITS = EngineTraits(memory_tokens=MEMORY_TOKENS)
TOKEN_S = 0.0087
TARGET_S = 1.8
ENGINES = 18
ARRIVALS_PER_S = 15.5
LENGTH_S = 120.0
EXPECTED_OUTPUT_TOKENS = 670  # the mean, whatever an answer turns out to be


class NoOthers:
    """One host, which has all in flight."""

    def in_flight(self, upstream: str) -> int:
        return 0

    def set_in_flight(self, upstream: str, n: int) -> None:
        pass

    def send_counts(self) -> None:
        pass

    counts_basis: CountsBasis = "heard"

    def place_for(self, subject: str) -> Place:
        return Place(0, 1)


@attrs.define(eq=False)
class Running:
    """One generation on an engine."""

    prompt_tokens: int
    output_tokens: int
    began_s: float
    holding: Holding

    def tokens(self, now_s: float) -> float:
        """Return the memory that it has in fact."""
        made = (now_s - self.began_s) / TOKEN_S
        return self.prompt_tokens + min(made, self.output_tokens)


@attrs.frozen
class Asked:
    """One generation that waits for room."""

    asked_s: float
    prompt_tokens: int
    output_tokens: int


@attrs.define
class Day:
    """What callers and engines saw."""

    asked: int = 0
    in_time: int = 0
    overflows: int = 0  # looks at an engine that had no memory left


class Pool:
    """All engines, filled up to a part of their memory."""

    def __init__(self, filled_part: float, seed: int) -> None:
        self.day = Day()
        self._filled_part = filled_part
        self._balancer = Balancer(
            cast(Upstreams, engines_of_one_domain(ENGINES)),
            cast(Peers, NoOthers()),
            SystemClock(),
            random.Random(seed),
            "north",
        )
        self._rooms = Rooms(self._balancer)
        self._running: set[Running] = set()
        self._ends: list[tuple[float, int, Running]] = []
        self._numbers = itertools.count()
        self._waiting: list[Asked] = []

    def ask(self, asked: Asked) -> None:
        """Take one more, after all that ended before."""
        while self._ends and self._ends[0][0] <= asked.asked_s:
            ended_s, _, ended = heapq.heappop(self._ends)
            self._running.remove(ended)
            ended.holding.release()
            self._place(ended_s)
        self.day.asked += 1
        self._waiting.append(asked)
        self._place(asked.asked_s)
        self._look(asked.asked_s)

    def _place(self, now_s: float) -> None:
        waiting, self._waiting = self._waiting, []
        for asked in waiting:
            is_late = now_s - asked.asked_s > TARGET_S
            if not is_late and not self._begin(asked, now_s):
                self._waiting.append(asked)

    def _begin(self, asked: Asked, now_s: float) -> bool:
        expected = asked.prompt_tokens + EXPECTED_OUTPUT_TOKENS
        upstream = self._rooms.find(
            SCOPE, TRAITS, expected, filled_part=self._filled_part
        )
        if upstream is None:
            return False
        holding = Holding(self._balancer, upstream, expected)
        running = Running(
            asked.prompt_tokens, asked.output_tokens, now_s, holding
        )
        self._running.add(running)
        end_s = now_s + asked.output_tokens * TOKEN_S
        heapq.heappush(self._ends, (end_s, next(self._numbers), running))
        self.day.in_time += 1
        return True

    def _look(self, now_s: float) -> None:
        used: Counter[str] = Counter()
        for running in self._running:
            name = running.holding.upstream.name
            used[name] += round(running.tokens(now_s))
        self.day.overflows += sum(
            tokens > MEMORY_TOKENS for tokens in used.values()
        )


def play(filled_part: float, seed: int) -> Day:
    """Ask for two minutes; what waits beyond its target is refused."""
    rng = random.Random(seed)
    pool = Pool(filled_part, seed)
    now_s = 0.0
    while now_s < LENGTH_S:
        now_s += rng.expovariate(ARRIVALS_PER_S)
        prompt = min(rng.lognormvariate(math.log(2_900), 0.35), 6_000)
        output = min(rng.lognormvariate(math.log(600), 0.65), 1_800)
        pool.ask(Asked(now_s, round(prompt), round(output)))
    return pool.day


@pytest.mark.parametrize("seed", range(3))
def test_a_crowded_pool_serves_nearly_all_in_time(seed: int) -> None:
    """Filled to 0.9 of what is expected, 56 to 99 of some 1,870 wait in vain.

    With all of it, 5 to 17 do: not all generations are near their ends at the
    same time. Filled to 1.1, an engine has no memory left at 8 to 18% of all
    looks, to 1.0 at 1 to 4%.
    """
    day = play(STANDARD.filled_part, seed)
    assert day.in_time >= 0.985 * day.asked
    assert day.overflows <= 0.05 * day.asked * ENGINES
    cautious = play(0.9, seed)
    assert cautious.in_time < 0.985 * cautious.asked
