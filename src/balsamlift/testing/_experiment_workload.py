"""Workload of the experiment: request kinds, workspaces and arrivals."""

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
    """Describe one kind of request; its lengths are log-normal."""

    name: str
    share: float  # of the requests
    priority: int  # 0 is served first
    prompt_median: int  # tokens beyond the shared prefix
    prompt_sigma: float
    output_median: int  # tokens
    output_sigma: float
    max_tokens: int
    deadline_ms: float
    quantile: float = 0.9

    @property
    def short(self) -> bool:
        """Return whether it is short work, which has the first priority."""
        return self.priority == 0


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe the size, the workload and the policy of a deployment."""

    name: str
    hosts: int
    engines: int
    kinds: tuple[WorkKind, ...]
    weights: tuple[float, ...]  # one per workspace
    policy: Policy


@attrs.frozen(kw_only=True)
class Arrival:
    """Hold one request and its output length, unknown to the scheduler."""

    at_ms: float
    placement_request: PlacementRequest
    output_tokens: int
    short: bool


@attrs.frozen(kw_only=True)
class FlashCrowd:
    """Multiply the arrivals of one workspace between two times."""

    workspace: str
    start_ms: float
    end_ms: float
    factor: float


def workspace_name(index: int) -> str:
    """Return the name of the workspace at `index`."""
    return f"workspace-{index}"


def draw_arrival(
    deployment: Deployment, random: Random, at_ms: float, index: int
) -> Arrival:
    """Draw one request of a workspace chosen by weight."""
    weights = deployment.weights
    chosen = random.choices(range(len(weights)), weights)[0]
    return draw_workspace_arrival(deployment, random, at_ms, index, chosen)


def draw_workspace_arrival(
    deployment: Deployment,
    random: Random,
    at_ms: float,
    index: int,
    workspace: int,
) -> Arrival:
    """Draw one request of the workspace at the index `workspace`."""
    shares = [kind.share for kind in deployment.kinds]
    kind = random.choices(deployment.kinds, shares)[0]
    name = workspace_name(workspace)
    # The workspaces get answers of different lengths.
    scale = 0.7 + 0.6 * workspace / len(deployment.weights)
    output = _log_normal(random, kind.output_median * scale, kind.output_sigma)
    own_prompt = _log_normal(random, kind.prompt_median, kind.prompt_sigma)
    placement_request = PlacementRequest(
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
        placement_request=placement_request,
        output_tokens=min(output, kind.max_tokens),
        short=kind.short,
    )


def arrivals(
    deployment: Deployment,
    rate_per_s: float,
    duration_ms: float,
    seed: int,
    crowd: FlashCrowd | None = None,
) -> Iterator[Arrival]:
    """Yield Poisson arrivals, and those of a crowd, in order of time."""
    random = Random(seed)
    merged = list(_steady(deployment, rate_per_s, duration_ms, random))
    if crowd is not None:
        merged += _flash_crowd(deployment, rate_per_s, crowd, random)
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
        yield draw_arrival(deployment, random, at_ms, index)


def _flash_crowd(
    deployment: Deployment,
    rate_per_s: float,
    crowd: FlashCrowd,
    random: Random,
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
        yield draw_workspace_arrival(
            deployment, random, at_ms, index, workspace
        )


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
