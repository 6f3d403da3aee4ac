"""Simulate placement policies on different load profiles and compare them.

Run: python bench/placing.py [--seeds=N] [--length=SECONDS]. Prints JSON: for
each load and policy, the fraction of generations that are in time (first
token and pauses), late and refused, and preemptions; each as the mean over
the seeds and its standard error. One host places every generation, so that
its view of the load is exact. Engines are the model of the stand-ins, in
virtual time. Every few seconds some engines are replaced by empty ones; their
generations continue elsewhere, where the prompt and the tokens generated so
far are prefilled again.
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
from balsamlift.relay._balance import Balancer
from balsamlift.relay._count_keys import prefill_key
from balsamlift.relay._scope import Scope
from balsamlift.relay.generations._memory_allocator import (
    MemoryAllocator,
    MemoryReservation,
)
from balsamlift.relay.generations._placement_policy import PlacementPolicy
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import EngineParameters, Work

POOL = "model"
WARM_UP_S = 8.0
COOL_DOWN_S = 20.0  # in which requested generations end
REPLACE_INTERVAL_S = 3.3
REPLACED_FRACTION = 0.17


@attrs.frozen(kw_only=True)
class Kind:
    """Arrival rate and sizes of one kind of generation."""

    rate_per_s: float
    prompt_tokens: int
    output_tokens: int  # the mean
    spread: float  # standard deviation of the logarithm of the output
    target_s: float
    priority: int


@attrs.frozen(kw_only=True)
class LoadProfile:
    """Engines and work of one simulated deployment."""

    engines: int
    memory_tokens: int
    kinds: tuple[Kind, ...]
    replaces: bool = True
    pause_s: float = 0.18


LONG = Kind(
    rate_per_s=13.1,
    prompt_tokens=3_000,
    output_tokens=750,
    spread=0.78,
    target_s=1.8,
    priority=1,
)
SHORT = Kind(
    rate_per_s=25.6,
    prompt_tokens=2_200,
    output_tokens=11,
    spread=0.42,
    target_s=1.5,
    priority=0,
)
PROFILES = {
    "long prompts": LoadProfile(
        engines=28, memory_tokens=21_896, kinds=(LONG, SHORT)
    ),
    "long prompts, a third fewer engines": LoadProfile(
        engines=19, memory_tokens=21_896, kinds=(LONG, SHORT)
    ),
    "long answers": LoadProfile(
        engines=5,
        memory_tokens=34_484,
        kinds=(
            attrs.evolve(LONG, rate_per_s=1.75, output_tokens=930),
            attrs.evolve(SHORT, rate_per_s=2.43),
        ),
    ),
    "short bursts": LoadProfile(
        engines=24,
        memory_tokens=21_896,
        kinds=(attrs.evolve(SHORT, rate_per_s=60.0, output_tokens=30),),
        replaces=False,
    ),
}
DEFAULT_POLICY = PlacementPolicy()
POLICIES = {
    "stands": DEFAULT_POLICY,
    "prompts not weighed": attrs.evolve(DEFAULT_POLICY, prefill_weight=0.0),
    "prompts weighed 4": attrs.evolve(DEFAULT_POLICY, prefill_weight=4.0),
    "prompts weighed 10": attrs.evolve(DEFAULT_POLICY, prefill_weight=10.0),
    "filled to 0.9": attrs.evolve(DEFAULT_POLICY, fill_limit=0.9),
    "filled to 1.1": attrs.evolve(DEFAULT_POLICY, fill_limit=1.1),
}


class SingleHostPeers:
    """Peers of the only host, which has every generation in flight."""

    counts_basis = "heard"

    def in_flight(self, upstream: str) -> int:
        """Return the number in flight on other hosts: zero."""
        return 0

    def set_in_flight(self, upstream: str, n: int) -> None:
        """Do nothing, as there are no peers."""

    def send_counts(self) -> None:
        """Do nothing, as there are no peers."""

    def rank_for(self, subject: str) -> HostRank:
        """Return the rank of the only host."""
        return HostRank(0, 1)


class LiveEngines:
    """Upstream list of the engines that run at present."""

    def __init__(self) -> None:
        """Start with no engines."""
        self.live: list[Upstream] = []

    def in_pool(self, pool: str) -> list[Upstream]:
        """Return all engines, as there is one pool."""
        return list(self.live)

    def evacuated(self, pool: str) -> list[Upstream]:
        """Return an empty list, as no engine is evacuated."""
        return []

    def leaving_by_notice(self, pool: str) -> list[Upstream]:
        """Return an empty list, as no engine gives notice."""
        return []

    def last_resorts(self, pool: str, max_age_s: float) -> list[Upstream]:
        """Return an empty list, as no engine gives notice."""
        return []

    def all(self) -> list[Upstream]:
        """Return all engines."""
        return self.live

    def on_change(self, callback: Callable[[], None]) -> None:
        """Ignore the callback, as changes are not reported."""


@attrs.define(eq=False)
class Generation:
    """State of a generation from its request to its last token."""

    kind: Kind
    requested_s: float
    output_tokens: int
    reservation: MemoryReservation | None = None
    unread_prompt: MemoryReservation | None = None
    generated_tokens: int = 0
    last_token_s: float | None = None
    is_late: bool = False


class Simulation:
    """Simulate one load profile under one policy."""

    def __init__(
        self,
        profile: LoadProfile,
        policy: PlacementPolicy,
        seed: int,
        length_s: float,
    ) -> None:
        """Start with no engines and an empty queue."""
        self._profile = profile
        self._length_s = length_s
        self._rng = random.Random(seed)
        self._names = itertools.count()
        self._engines = LiveEngines()
        self._balancer = Balancer(
            cast(Upstreams, self._engines),
            cast(Peers, SingleHostPeers()),
            SystemClock(),
            random.Random(seed),
            "north",
        )
        self._allocator = MemoryAllocator(self._balancer, policy)
        self._models: dict[str, EngineModel] = {}
        self._running_generations: dict[str, dict[str, Generation]] = {}
        self._queue: list[tuple[int, int, Generation]] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._busy: set[str] = set()
        self.counts = dict.fromkeys(
            ("asked", "in time", "late", "refused", "preempted"), 0
        )

    def run(self) -> dict[str, float]:
        """Return each outcome as a fraction of the measured requests."""
        for _ in range(self._profile.engines):
            self._add_engine()
        for kind in self._profile.kinds:
            self._schedule(0.0, functools.partial(self._request, kind))
        if self._profile.replaces:
            self._schedule(REPLACE_INTERVAL_S, self._replace)
        while self._events and self._events[0][0] < self._length_s:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
        asked = max(self.counts["asked"], 1)
        return {name: n / asked for name, n in self.counts.items()}

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _add_engine(self) -> None:
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
                memory_tokens=self._profile.memory_tokens,
                step_base_ms=7.0,
                step_per_sequence_ms=0.12,
                step_per_1k_context_ms=0.004,
                prefill_tokens_per_ms=14.0,
                prefill_tokens_per_step=112,
                max_running=24,
            )
        )
        self._running_generations[name] = {}

    def _replace(self, now_s: float) -> None:
        """Remove engines and queue their generations for other engines."""
        number = round(len(self._engines.live) * REPLACED_FRACTION)
        for upstream in self._rng.sample(self._engines.live, number):
            self._engines.live.remove(upstream)
            del self._models[upstream.name]
            for generation in self._running_generations.pop(
                upstream.name
            ).values():
                self._release(generation)
                self._enqueue(generation)
            self._add_engine()
        self._dispatch_queue(now_s)
        self._schedule(now_s + REPLACE_INTERVAL_S, self._replace)

    def _request(self, kind: Kind, now_s: float) -> None:
        self._schedule(
            now_s + self._rng.expovariate(kind.rate_per_s),
            functools.partial(self._request, kind),
        )
        mu = -(kind.spread**2) / 2
        factor = self._rng.lognormvariate(mu, kind.spread)
        output = max(round(kind.output_tokens * factor), 1)
        self._count_requested_at(now_s, "asked")
        self._enqueue(Generation(kind, now_s, output))
        self._dispatch_queue(now_s)

    def _enqueue(self, generation: Generation) -> None:
        order = -generation.kind.priority, next(self._sequence)
        heapq.heappush(self._queue, (*order, generation))

    def _dispatch_queue(self, now_s: float) -> None:
        while self._queue:
            generation = self._queue[0][2]
            kind = generation.kind
            is_new = generation.last_token_s is None
            if is_new and now_s - generation.requested_s > kind.target_s:
                heapq.heappop(self._queue)
                self._count(generation, "refused")
                continue
            if not self._start(generation, now_s):
                return
            heapq.heappop(self._queue)

    def _start(self, generation: Generation, now_s: float) -> bool:
        kind = generation.kind
        tokens = kind.prompt_tokens + kind.output_tokens
        traits = EngineTraits(memory_tokens=self._profile.memory_tokens)
        upstream = self._allocator.find(Scope(POOL), traits, tokens)
        if upstream is None:
            return False
        name = upstream.name
        work = Work(
            key=str(next(self._sequence)),
            prompt_tokens=kind.prompt_tokens + generation.generated_tokens,
            output_tokens=generation.output_tokens
            - generation.generated_tokens,
            priority=kind.priority,
        )
        if not self._models[name].submit(work):
            return False
        generation.reservation = MemoryReservation(
            self._balancer, upstream, tokens
        )
        generation.unread_prompt = MemoryReservation(
            self._balancer, upstream, kind.prompt_tokens, prefill_key
        )
        self._running_generations[name][work.key] = generation
        if name not in self._busy:
            self._busy.add(name)
            self._schedule(now_s, lambda later_s: self._step(name, later_s))
        return True

    def _step(self, name: str, now_s: float) -> None:
        model = self._models.get(name)
        if model is None or model.idle:
            self._busy.discard(name)
            return
        step = model.step()
        step_end_s = now_s + max(step.duration_ms, 1.0) / 1_000
        self._schedule(step_end_s, lambda later_s: self._step(name, later_s))
        self._count_requested_at(now_s, "preempted", len(step.preempted_keys))
        running = self._running_generations[name]
        for key in step.token_keys:
            self._take_token(running[key], step_end_s)
        for key in step.finished_keys:
            generation = running.pop(key)
            self._release(generation)
            outcome = "late" if generation.is_late else "in time"
            self._count(generation, outcome)
        if step.finished_keys:
            self._dispatch_queue(step_end_s)

    def _take_token(self, generation: Generation, now_s: float) -> None:
        if generation.last_token_s is None:
            waited_s = now_s - generation.requested_s
            generation.is_late = waited_s > generation.kind.target_s
        elif now_s - generation.last_token_s > self._profile.pause_s:
            generation.is_late = True
        generation.last_token_s = now_s
        generation.generated_tokens += 1
        if generation.unread_prompt is not None:
            generation.unread_prompt.release()
            generation.unread_prompt = None

    def _release(self, generation: Generation) -> None:
        for reservation in (generation.reservation, generation.unread_prompt):
            if reservation is not None:
                reservation.release()
        generation.reservation = generation.unread_prompt = None

    def _count(self, generation: Generation, outcome: str) -> None:
        self._count_requested_at(generation.requested_s, outcome)

    def _count_requested_at(
        self, requested_s: float, outcome: str, n: int = 1
    ) -> None:
        if WARM_UP_S <= requested_s < self._length_s - COOL_DOWN_S:
            self.counts[outcome] += n


def main() -> None:
    """Print the outcomes by profile and policy."""
    options = dict(word.lstrip("-").split("=") for word in sys.argv[1:])
    seeds = int(options.get("seeds", 3))
    length_s = float(options.get("length", 60.0))
    table = {
        profile_name: {
            policy_name: _measure(profile, policy, seeds, length_s)
            for policy_name, policy in POLICIES.items()
        }
        for profile_name, profile in PROFILES.items()
    }
    print(json.dumps(table, indent=1))


def _measure(
    profile: LoadProfile, policy: PlacementPolicy, seeds: int, length_s: float
) -> dict[str, list[float]]:
    """Return the mean and the standard error of each fraction."""
    runs = [
        Simulation(profile, policy, seed, length_s).run()
        for seed in range(seeds)
    ]
    result = {}
    for name in runs[0]:
        values = [run[name] for run in runs]
        error = statistics.stdev(values) / len(values) ** 0.5
        result[name] = [round(statistics.mean(values), 4), round(error, 4)]
    return result


if __name__ == "__main__":
    main()
