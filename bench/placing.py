"""Compare ways to choose an engine, on loads unlike one another.

Run: python bench/placing.py [--seeds=N] [--length=SECONDS]. Prints JSON: by
load and policy, the part of generations that are in time (first token and
pauses), late and refused, and preemptions; a mean over seeds and its standard
error. One host has all in flight, so that what it knows of load is exact;
engines are the stand-ins' model, in virtual time. Each few seconds some
engines are replaced by empty ones, and their work goes on elsewhere, where all
that it has so far is read again.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import json
import random
import statistics
import sys
from collections.abc import Callable
from typing import cast

import attrs

from balsamlift.clock import SystemClock
from balsamlift.peers import HostRank, Peers, Upstream, Upstreams
from balsamlift.relay import EngineTraits
from balsamlift.relay._balance import Balancer, prefill_key
from balsamlift.relay._memory_allocator import (
    MemoryAllocator,
    MemoryReservation,
)
from balsamlift.relay._placement_policy import PlacementPolicy
from balsamlift.relay._scope import Scope
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import EngineParameters, Work

POOL = "model"
WARM_UP_S = 8.0
COOL_DOWN_S = 20.0  # for what was asked to end
REPLACED_EACH_S = 3.3
REPLACED_PART = 0.17


@attrs.frozen(kw_only=True)
class Kind:
    """One kind of generation."""

    per_s: float
    prompt_tokens: int
    output_tokens: int  # the mean
    spread: float  # deviation of the logarithm of the output
    target_s: float
    priority: int


@attrs.frozen(kw_only=True)
class LoadLaw:
    """One deployment's engines and work."""

    engines: int
    memory_tokens: int
    kinds: tuple[Kind, ...]
    replaces: bool = True
    pause_s: float = 0.18


LONG = Kind(
    per_s=13.1,
    prompt_tokens=3_000,
    output_tokens=750,
    spread=0.78,
    target_s=1.8,
    priority=1,
)
SHORT = Kind(
    per_s=25.6,
    prompt_tokens=2_200,
    output_tokens=11,
    spread=0.42,
    target_s=1.5,
    priority=0,
)
LAWS = {
    "long prompts": LoadLaw(
        engines=28, memory_tokens=21_896, kinds=(LONG, SHORT)
    ),
    "long prompts, a third fewer engines": LoadLaw(
        engines=19, memory_tokens=21_896, kinds=(LONG, SHORT)
    ),
    "long answers": LoadLaw(
        engines=5,
        memory_tokens=34_484,
        kinds=(
            attrs.evolve(LONG, per_s=1.75, output_tokens=930),
            attrs.evolve(SHORT, per_s=2.43),
        ),
    ),
    "short bursts": LoadLaw(
        engines=24,
        memory_tokens=21_896,
        kinds=(attrs.evolve(SHORT, per_s=60.0, output_tokens=30),),
        replaces=False,
    ),
}
STANDARD = PlacementPolicy()
POLICIES = {
    "stands": STANDARD,
    "prompts not weighed": attrs.evolve(STANDARD, prefill_weight=0.0),
    "prompts weighed 4": attrs.evolve(STANDARD, prefill_weight=4.0),
    "prompts weighed 10": attrs.evolve(STANDARD, prefill_weight=10.0),
    "filled to 0.9": attrs.evolve(STANDARD, fill_limit=0.9),
    "filled to 1.1": attrs.evolve(STANDARD, fill_limit=1.1),
}


class NoOthers:
    """One host, which has all in flight."""

    counts_basis = "heard"

    def in_flight(self, upstream: str) -> int:
        """Return what others have there: nothing."""
        return 0

    def set_in_flight(self, upstream: str, n: int) -> None:
        """Tell nobody."""

    def send_counts(self) -> None:
        """Tell nobody."""

    def rank_for(self, subject: str) -> HostRank:
        """Return the first place of one."""
        return HostRank(0, 1)


class Engines:
    """The engines that are there now."""

    def __init__(self) -> None:
        """Begin with none."""
        self.live: list[Upstream] = []

    def in_pool(self, pool: str) -> list[Upstream]:
        """Return all."""
        return list(self.live)

    def evacuated(self, pool: str) -> list[Upstream]:
        """Return none."""
        return []

    def all(self) -> list[Upstream]:
        """Return all."""
        return self.live

    def on_change(self, callback: Callable[[], None]) -> None:
        """Tell of no change."""


@attrs.define(eq=False)
class Generation:
    """One generation, from its request to its last token."""

    kind: Kind
    asked_s: float
    output_tokens: int
    holding: MemoryReservation | None = None
    unread: MemoryReservation | None = None
    made_tokens: int = 0
    seen_s: float | None = None
    is_late: bool = False


class Day:
    """Play one load under one policy."""

    def __init__(
        self,
        law: LoadLaw,
        policy: PlacementPolicy,
        seed: int,
        length_s: float,
    ) -> None:
        """Begin with empty engines."""
        self._law = law
        self._length_s = length_s
        self._rng = random.Random(seed)
        self._names = itertools.count()
        self._engines = Engines()
        self._balancer = Balancer(
            cast(Upstreams, self._engines),
            cast(Peers, NoOthers()),
            SystemClock(),
            random.Random(seed),
            "north",
        )
        self._rooms = MemoryAllocator(self._balancer, policy)
        self._models: dict[str, EngineModel] = {}
        self._running: dict[str, dict[str, Generation]] = {}
        self._queue: list[tuple[int, int, Generation]] = []
        self._agenda: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._busy: set[str] = set()
        self.counts = dict.fromkeys(
            ("asked", "in time", "late", "refused", "preempted"), 0
        )

    def play(self) -> dict[str, float]:
        """Return what became of what was asked after the warm-up."""
        for _ in range(self._law.engines):
            self._come_up()
        for kind in self._law.kinds:
            self._at(0.0, functools.partial(self._ask, kind))
        if self._law.replaces:
            self._at(REPLACED_EACH_S, self._replace)
        while self._agenda and self._agenda[0][0] < self._length_s:
            now_s, _, act = heapq.heappop(self._agenda)
            act(now_s)
        asked = max(self.counts["asked"], 1)
        return {name: n / asked for name, n in self.counts.items()}

    def _at(self, when_s: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._agenda, (when_s, next(self._numbers), act))

    def _come_up(self) -> None:
        name = f"e{next(self._names)}"
        self._engines.live.append(
            Upstream(
                name=name,
                pool=POOL,
                kind="service",
                address=name,
                failure_domain="north",
            )
        )
        self._models[name] = EngineModel(
            EngineParameters(
                memory_tokens=self._law.memory_tokens,
                step_base_ms=7.0,
                step_per_sequence_ms=0.12,
                step_per_1k_context_ms=0.004,
                prefill_tokens_per_ms=14.0,
                prefill_tokens_per_step=112,
                max_running=24,
            )
        )
        self._running[name] = {}

    def _replace(self, now_s: float) -> None:
        """Take engines away; what ran there is asked for anew elsewhere."""
        number = round(len(self._engines.live) * REPLACED_PART)
        for upstream in self._rng.sample(self._engines.live, number):
            self._engines.live.remove(upstream)
            del self._models[upstream.name]
            for generation in self._running.pop(upstream.name).values():
                self._let_go(generation)
                self._queue_up(generation)
            self._come_up()
        self._place(now_s)
        self._at(now_s + REPLACED_EACH_S, self._replace)

    def _ask(self, kind: Kind, now_s: float) -> None:
        self._at(
            now_s + self._rng.expovariate(kind.per_s),
            functools.partial(self._ask, kind),
        )
        mu = -(kind.spread**2) / 2
        factor = self._rng.lognormvariate(mu, kind.spread)
        output = max(round(kind.output_tokens * factor), 1)
        self._count_at(now_s, "asked")
        self._queue_up(Generation(kind, now_s, output))
        self._place(now_s)

    def _queue_up(self, generation: Generation) -> None:
        place = -generation.kind.priority, next(self._numbers)
        heapq.heappush(self._queue, (*place, generation))

    def _place(self, now_s: float) -> None:
        while self._queue:
            generation = self._queue[0][2]
            kind = generation.kind
            is_new = generation.seen_s is None
            if is_new and now_s - generation.asked_s > kind.target_s:
                heapq.heappop(self._queue)
                self._count(generation, "refused")
                continue
            if not self._begin(generation, now_s):
                return
            heapq.heappop(self._queue)

    def _begin(self, generation: Generation, now_s: float) -> bool:
        kind = generation.kind
        tokens = kind.prompt_tokens + kind.output_tokens
        traits = EngineTraits(memory_tokens=self._law.memory_tokens)
        upstream = self._rooms.find(Scope(POOL), traits, tokens)
        if upstream is None:
            return False
        name = upstream.name
        work = Work(
            key=str(next(self._numbers)),
            prompt_tokens=kind.prompt_tokens + generation.made_tokens,
            output_tokens=generation.output_tokens - generation.made_tokens,
            priority=kind.priority,
        )
        if not self._models[name].submit(work):
            return False
        generation.holding = MemoryReservation(
            self._balancer, upstream, tokens
        )
        generation.unread = MemoryReservation(
            self._balancer, upstream, kind.prompt_tokens, prefill_key
        )
        self._running[name][work.key] = generation
        if name not in self._busy:
            self._busy.add(name)
            self._at(now_s, lambda later_s: self._step(name, later_s))
        return True

    def _step(self, name: str, now_s: float) -> None:
        model = self._models.get(name)
        if model is None or model.idle:
            self._busy.discard(name)
            return
        step = model.step()
        ended_s = now_s + max(step.duration_ms, 1.0) / 1_000
        self._at(ended_s, lambda later_s: self._step(name, later_s))
        self._count_at(now_s, "preempted", len(step.preempted_keys))
        running = self._running[name]
        for key in step.token_keys:
            self._take_token(running[key], ended_s)
        for key in step.finished_keys:
            generation = running.pop(key)
            self._let_go(generation)
            outcome = "late" if generation.is_late else "in time"
            self._count(generation, outcome)
        if step.finished_keys:
            self._place(ended_s)

    def _take_token(self, generation: Generation, now_s: float) -> None:
        if generation.seen_s is None:
            waited_s = now_s - generation.asked_s
            generation.is_late = waited_s > generation.kind.target_s
        elif now_s - generation.seen_s > self._law.pause_s:
            generation.is_late = True
        generation.seen_s = now_s
        generation.made_tokens += 1
        if generation.unread is not None:
            generation.unread.release()
            generation.unread = None

    def _let_go(self, generation: Generation) -> None:
        for holding in (generation.holding, generation.unread):
            if holding is not None:
                holding.release()
        generation.holding = generation.unread = None

    def _count(self, generation: Generation, outcome: str) -> None:
        self._count_at(generation.asked_s, outcome)

    def _count_at(self, asked_s: float, outcome: str, n: int = 1) -> None:
        if WARM_UP_S <= asked_s < self._length_s - COOL_DOWN_S:
            self.counts[outcome] += n


def main() -> None:
    """Print the table."""
    options = dict(word.lstrip("-").split("=") for word in sys.argv[1:])
    seeds = int(options.get("seeds", 3))
    length_s = float(options.get("length", 60.0))
    table = {
        law_name: {
            policy_name: _measure(law, policy, seeds, length_s)
            for policy_name, policy in POLICIES.items()
        }
        for law_name, law in LAWS.items()
    }
    print(json.dumps(table, indent=1))


def _measure(
    law: LoadLaw, policy: PlacementPolicy, seeds: int, length_s: float
) -> dict[str, list[float]]:
    """Return mean and standard error of each part."""
    days = [Day(law, policy, seed, length_s).play() for seed in range(seeds)]
    result = {}
    for name in days[0]:
        values = [day[name] for day in days]
        error = statistics.stdev(values) / len(values) ** 0.5
        result[name] = [round(statistics.mean(values), 4), round(error, 4)]
    return result


if __name__ == "__main__":
    main()
