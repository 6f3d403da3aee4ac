"""What callers ask for in the experiment: kinds, workspaces, arrivals."""

from __future__ import annotations

from collections.abc import Iterator
from math import exp, log
from random import Random

import attrs

from balsamlift.placement import PlacementRequest, Policy

PREFIX_TOKENS = 512
POOL = "drafting"


@attrs.frozen(kw_only=True)
class WorkKind:
    """Describe one kind of request; lengths are log-normal."""

    name: str
    share: float  # of the requests
    priority: int  # 0 is served first
    prompt_median: int  # beyond the shared prefix, tokens
    prompt_sigma: float
    output_median: int  # tokens
    output_sigma: float
    max_tokens: int
    deadline_ms: float
    quantile: float = 0.9

    @property
    def short(self) -> bool:
        """Tell whether it is short work."""
        return self.priority == 0


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe one of the two deployments."""

    name: str
    hosts: int
    engines: int
    kinds: tuple[WorkKind, ...]
    weights: tuple[float, ...]  # of its workspaces
    policy: Policy


@attrs.frozen(kw_only=True)
class Arrival:
    """Hold one request and the length that nobody knows."""

    at_ms: float
    ask: PlacementRequest
    output_tokens: int
    short: bool


@attrs.frozen(kw_only=True)
class Crowd:
    """Multiply the arrivals of one workspace for a while."""

    workspace: str
    start_ms: float
    end_ms: float
    factor: float


def workspace_name(index: int) -> str:
    """Return the name of a workspace."""
    return f"workspace-{index}"


def draw(
    deployment: Deployment, random: Random, at_ms: float, index: int
) -> Arrival:
    """Draw one request."""
    weights = deployment.weights
    chosen = random.choices(range(len(weights)), weights)[0]
    return draw_for(deployment, random, at_ms, index, chosen)


def draw_for(
    deployment: Deployment,
    random: Random,
    at_ms: float,
    index: int,
    workspace: int,
) -> Arrival:
    """Draw one request of a workspace."""
    shares = [kind.share for kind in deployment.kinds]
    kind = random.choices(deployment.kinds, shares)[0]
    name = workspace_name(workspace)
    # Workspaces write answers of different lengths.
    scale = 0.7 + 0.6 * workspace / len(deployment.weights)
    output = _log_normal(random, kind.output_median * scale, kind.output_sigma)
    own_prompt = _log_normal(random, kind.prompt_median, kind.prompt_sigma)
    ask = PlacementRequest(
        key=f"request-{index}",
        workspace=name,
        weight=deployment.weights[workspace],
        kind=kind.name,
        pool=POOL,
        priority=kind.priority,
        prompt_tokens=PREFIX_TOKENS + min(own_prompt, 4_096),
        prefix=f"{name}/{kind.name}",
        max_tokens=kind.max_tokens,
        quantile=kind.quantile,
        deadline_ms=kind.deadline_ms,
    )
    return Arrival(
        at_ms=at_ms,
        ask=ask,
        output_tokens=min(output, kind.max_tokens),
        short=kind.short,
    )


def arrivals(
    deployment: Deployment,
    rate_per_s: float,
    duration_ms: float,
    seed: int,
    crowd: Crowd | None = None,
) -> Iterator[Arrival]:
    """Draw Poisson arrivals in order of time."""
    random = Random(seed)
    merged = list(_steady(deployment, rate_per_s, duration_ms, random))
    if crowd is not None:
        merged += _crowd(deployment, rate_per_s, crowd, random)
    yield from sorted(merged, key=lambda arrival: arrival.at_ms)


def _steady(
    deployment: Deployment,
    rate_per_s: float,
    duration_ms: float,
    random: Random,
) -> Iterator[Arrival]:
    at_ms = 0.0
    index = 0
    while True:
        at_ms += random.expovariate(rate_per_s / 1_000)
        if at_ms >= duration_ms:
            return
        index += 1
        yield draw(deployment, random, at_ms, index)


def _crowd(
    deployment: Deployment, rate_per_s: float, crowd: Crowd, random: Random
) -> Iterator[Arrival]:
    names = [workspace_name(i) for i in range(len(deployment.weights))]
    workspace = names.index(crowd.workspace)
    part = deployment.weights[workspace] / sum(deployment.weights)
    rate = rate_per_s * part * (crowd.factor - 1) / 1_000
    at_ms = crowd.start_ms
    index = 1_000_000
    while True:
        at_ms += random.expovariate(rate)
        if at_ms >= crowd.end_ms:
            return
        index += 1
        yield draw_for(deployment, random, at_ms, index, workspace)


def _log_normal(random: Random, median: float, sigma: float) -> int:
    return max(int(exp(random.gauss(log(median), sigma))), 1)


WARISAN_PULIH = Deployment(
    name="warisan-pulih",
    hosts=7,
    engines=5,
    weights=(4.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
    policy=Policy(reserve_share=0.08),
    kinds=(
        WorkKind(
            name="report",
            share=0.5,
            priority=1,
            prompt_median=600,
            prompt_sigma=0.6,
            output_median=700,
            output_sigma=0.9,
            max_tokens=8_192,
            deadline_ms=180_000.0,
        ),
        WorkKind(
            name="tag",
            share=0.5,
            priority=0,
            prompt_median=120,
            prompt_sigma=0.5,
            output_median=30,
            output_sigma=0.6,
            max_tokens=256,
            deadline_ms=10_000.0,
        ),
    ),
)

MITAD_DEL_MUNDO = Deployment(
    name="mitad-del-mundo",
    hosts=9,
    engines=5,
    weights=(4.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
    policy=Policy(),
    kinds=(
        WorkKind(
            name="report",
            share=0.3,
            priority=1,
            prompt_median=500,
            prompt_sigma=0.6,
            output_median=500,
            output_sigma=0.9,
            max_tokens=8_192,
            deadline_ms=180_000.0,
        ),
        WorkKind(
            name="claim",
            share=0.3,
            priority=1,
            prompt_median=300,
            prompt_sigma=0.5,
            output_median=200,
            output_sigma=0.7,
            max_tokens=4_096,
            deadline_ms=60_000.0,
        ),
        WorkKind(
            name="counter",
            share=0.4,
            priority=0,
            prompt_median=60,
            prompt_sigma=0.4,
            output_median=40,
            output_sigma=0.5,
            max_tokens=256,
            deadline_ms=5_000.0,
        ),
    ),
)

DEPLOYMENTS = {d.name: d for d in (WARISAN_PULIH, MITAD_DEL_MUNDO)}
