"""Forecast the memory that running generations will hold."""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt
from statistics import NormalDist

import attrs

from balsamlift.placement._lengths import survival

# How far ahead to look, in tokens per generation.
AHEAD_TOKENS = (0, 64, 192, 448, 960, 1_984, 4_032)


@attrs.frozen
class Profile:
    """Hold the mean and the variance of memory, per step ahead."""

    means: tuple[float, ...] = (0.0,) * len(AHEAD_TOKENS)
    variances: tuple[float, ...] = (0.0,) * len(AHEAD_TOKENS)

    @property
    def now(self) -> float:
        """Return the tokens held at this moment."""
        return self.means[0]

    @property
    def peak(self) -> float:
        """Return the highest mean, in tokens."""
        return max(self.means)

    def plus(self, other: Profile) -> Profile:
        """Return the sum of two independent profiles."""
        return Profile(
            tuple(map(sum, zip(self.means, other.means, strict=True))),
            tuple(map(sum, zip(self.variances, other.variances, strict=True))),
        )

    def at_quantile(
        self, quantile: float, *, scale: float = 1.0, others: float = 0.0
    ) -> float:
        """Return the highest memory at a quantile, in tokens.

        `others` are tokens of other hosts, as uncertain as ours are;
        `scale` turns counted into held tokens.
        """
        z = deviations(quantile)
        inflation = (self.peak + others) / self.peak if self.peak else 1.0
        return max(
            scale * (mean + others + z * sqrt(variance * inflation))
            for mean, variance in zip(self.means, self.variances, strict=True)
        )


def generation_profile(
    prompt_tokens: int, produced: int, points: list[int]
) -> Profile:
    """Return the profile of one generation that is at `produced`."""
    means = []
    variances = []
    for ahead in AHEAD_TOKENS:
        chance = survival(points, produced, ahead) if ahead else 1.0
        held = prompt_tokens + produced + ahead
        means.append(chance * held)
        variances.append(chance * (1.0 - chance) * held * held)
    return Profile(tuple(means), tuple(variances))


def total_profile(profiles: Iterable[Profile]) -> Profile:
    """Return the sum of independent profiles."""
    total = Profile()
    for profile in profiles:
        total = total.plus(profile)
    return total


_DEVIATIONS: dict[float, float] = {}


def deviations(quantile: float) -> float:
    """Return how many standard deviations above the mean a quantile is."""
    if quantile not in _DEVIATIONS:
        bounded = min(max(quantile, 0.001), 0.9999)
        _DEVIATIONS[quantile] = NormalDist().inv_cdf(bounded)
    return _DEVIATIONS[quantile]
