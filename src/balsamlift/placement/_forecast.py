"""Forecast the memory that running generations will hold."""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt
from statistics import NormalDist

import attrs

from balsamlift.placement._lengths import survival

# Forecast steps, in tokens that each generation produces from now on.
AHEAD_TOKENS = (0, 64, 192, 448, 960, 1_984, 4_032)
# A generation counts as finished at a step where its expected memory is at
# most this share of its present memory.
FINISHED_SHARE = 0.05


@attrs.frozen
class PeerLoad:
    """Hold the memory announced by the other hosts.

    They announce only their peak; `shape` distributes it over the steps
    like this host's own memory.
    """

    tokens: float = 0.0
    shape: tuple[float, ...] = (1.0,) * len(AHEAD_TOKENS)


@attrs.frozen
class MemoryProfile:
    """Hold the mean and the variance of memory at each forecast step."""

    means: tuple[float, ...] = (0.0,) * len(AHEAD_TOKENS)
    variances: tuple[float, ...] = (0.0,) * len(AHEAD_TOKENS)

    @property
    def now(self) -> float:
        """Return the memory held now, in tokens."""
        return self.means[0]

    @property
    def peak(self) -> float:
        """Return the highest mean over the steps, in tokens."""
        return max(self.means)

    def plus(self, other: MemoryProfile) -> MemoryProfile:
        """Return the sum of two independent profiles."""
        return MemoryProfile(
            tuple(map(sum, zip(self.means, other.means, strict=True))),
            tuple(map(sum, zip(self.variances, other.variances, strict=True))),
        )

    @property
    def shape(self) -> tuple[float, ...]:
        """Return the mean at each step, relative to the peak."""
        peak = self.peak
        if not peak:
            return (1.0,) * len(AHEAD_TOKENS)
        return tuple(mean / peak for mean in self.means)

    def peak_at_quantile(
        self, demand: MemoryProfile, peer_load: PeerLoad, quantile: float
    ) -> float:
        """Return the peak memory with `demand` added, at a quantile.

        In tokens, over the steps at which `demand` is likely to run.
        """
        z = z_score(quantile)
        peak = self.peak
        inflation = (peak + peer_load.tokens) / peak if peak else 1.0
        peak_tokens = 0.0
        for step, demand_tokens in enumerate(demand.means):
            if demand_tokens <= demand.now * FINISHED_SHARE:
                continue
            mean = self.means[step] + peer_load.tokens * peer_load.shape[step]
            margin = z * sqrt(self.variances[step] * inflation)
            peak_tokens = max(peak_tokens, mean + demand_tokens + margin)
        return peak_tokens


def generation_profile(
    prompt_tokens: int, produced: int, points: list[int]
) -> MemoryProfile:
    """Return the profile of a generation that has `produced` tokens."""
    means = []
    variances = []
    for ahead in AHEAD_TOKENS:
        probability = survival(points, produced, ahead) if ahead else 1.0
        held = prompt_tokens + produced + ahead
        means.append(probability * held)
        variances.append(probability * (1.0 - probability) * held * held)
    return MemoryProfile(tuple(means), tuple(variances))


def total_profile(profiles: Iterable[MemoryProfile]) -> MemoryProfile:
    """Return the sum of independent profiles."""
    total = MemoryProfile()
    for profile in profiles:
        total = total.plus(profile)
    return total


_Z_SCORES: dict[float, float] = {}


def z_score(quantile: float) -> float:
    """Return the z-score of a quantile of the normal distribution."""
    if quantile not in _Z_SCORES:
        bounded = min(max(quantile, 0.001), 0.9999)
        _Z_SCORES[quantile] = NormalDist().inv_cdf(bounded)
    return _Z_SCORES[quantile]
