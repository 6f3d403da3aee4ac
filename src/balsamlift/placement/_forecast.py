"""Forecast the memory that running generations will hold."""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt
from statistics import NormalDist

import attrs

from balsamlift.placement._lengths import survival

# How far ahead to look, in tokens per generation.
AHEAD_TOKENS = (0, 64, 192, 448, 960, 1_984, 4_032)
# A generation counts as gone when this little of its memory is expected.
GONE_SHARE = 0.05


@attrs.frozen
class Others:
    """Hold what the other hosts told: their peak, spread like ours."""

    tokens: float = 0.0
    shape: tuple[float, ...] = (1.0,) * len(AHEAD_TOKENS)


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

    @property
    def shape(self) -> tuple[float, ...]:
        """Return the mean at each step ahead over the highest."""
        peak = self.peak
        if not peak:
            return (1.0,) * len(AHEAD_TOKENS)
        return tuple(mean / peak for mean in self.means)

    def highest(self, add: Profile, others: Others, quantile: float) -> float:
        """Return the highest memory while `add` is likely to run.

        In tokens, with `add` in it, at a quantile.
        """
        z = deviations(quantile)
        peak = self.peak
        inflation = (peak + others.tokens) / peak if peak else 1.0
        highest = 0.0
        for step, mine in enumerate(add.means):
            if mine <= add.now * GONE_SHARE:
                continue
            mean = self.means[step] + others.tokens * others.shape[step]
            spread = z * sqrt(self.variances[step] * inflation)
            highest = max(highest, mean + mine + spread)
        return highest


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
