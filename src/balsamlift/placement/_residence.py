"""Learn how long the generations of a pool hold their memory.

Answers a load that exceeds the memory of a pool: the time tells how fast
memory becomes free.
"""

from __future__ import annotations

import attrs

# Expected duration of a generation on heavily loaded engines: a fixed part,
# until its first event, and a part per output token.
EXPECTED_START_MS = 1_000.0
EXPECTED_TOKEN_MS = 12.0
# The expected duration counts like this many generations.
PRIOR_GENERATIONS = 2.0
# The mean is over about this many of the last generations.
AVERAGED_GENERATIONS = 64.0


def expected_run_ms(output_tokens: int) -> float:
    """Return the expected duration of a generation, before any has ended."""
    return EXPECTED_START_MS + output_tokens * EXPECTED_TOKEN_MS


@attrs.frozen(kw_only=True)
class Residence:
    """Hold how long memory is held, and how long a run takes.

    The least that is certain is 0 before any generation has ended, and
    approaches the mean as more do: an estimate is no reason to refuse.
    """

    mean_ms: float  # that a token is held
    least_mean_ms: float
    least_run_ms: float  # of the request asked for


@attrs.define
class _Sums:
    """Hold sums over generations that have ended, the latest weighing most."""

    generations: float = 0.0
    tokens: float = 0.0
    held_token_ms: float = 0.0
    expected_token_ms: float = 0.0

    def add(self, tokens: int, expected_ms: float, held_ms: float) -> None:
        """Add one generation."""
        decay = 1.0 - 1.0 / AVERAGED_GENERATIONS
        self.generations = self.generations * decay + 1.0
        self.tokens = self.tokens * decay + tokens
        self.held_token_ms = self.held_token_ms * decay + tokens * held_ms
        self.expected_token_ms = (
            self.expected_token_ms * decay + tokens * expected_ms
        )


class ResidenceTimes:
    """Average how long memory is held, for each pool."""

    def __init__(self) -> None:
        """Start without any generation."""
        self._sums: dict[str, _Sums] = {}

    def record(
        self, pool: str, tokens: int, expected_ms: float, held_ms: float
    ) -> None:
        """Record a generation that has released its `tokens`."""
        sums = self._sums.setdefault(pool, _Sums())
        sums.add(max(tokens, 1), expected_ms, max(held_ms, 0.0))

    def of(self, pool: str, expected_ms: float) -> Residence:
        """Return the times of a pool, for a run expected to take so long."""
        sums = self._sums.get(pool)
        if sums is None:
            return Residence(
                mean_ms=expected_ms, least_mean_ms=0.0, least_run_ms=0.0
            )
        certainty = sums.generations / (sums.generations + PRIOR_GENERATIONS)
        least_mean_ms = certainty * sums.held_token_ms / sums.tokens
        pace = sums.held_token_ms / max(sums.expected_token_ms, 1.0)
        return Residence(
            mean_ms=least_mean_ms + (1.0 - certainty) * expected_ms,
            least_mean_ms=least_mean_ms,
            least_run_ms=certainty * pace * expected_ms,
        )
