"""Estimate how much engine memory a generation will use."""

from __future__ import annotations

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift._numbers import parse_count
from balsamlift.relay._header_names import HeaderNames

# A typical answer uses this fraction of its maximum number of tokens. The
# caller's length hint is combined with it with this weight, on a logarithmic
# scale.
TYPICAL_FRACTION = 1 / 3
HINT_WEIGHT = 0.2
# The mean of these lengths is higher than the typical length.
MEAN_FACTOR = 1.12
# Without a maximum, only the hint is used, increased by this factor.
HINT_MARGIN = 1.3


@attrs.frozen
class TokenEstimate:
    """The prompt tokens and expected output tokens of a generation."""

    prompt_tokens: int
    output_tokens: int  # expected
    max_output_tokens: int

    @property
    def tokens(self) -> int:
        """Return the memory expected to be in use when it ends."""
        return self.prompt_tokens + self.output_tokens

    @property
    def most_output_tokens(self) -> int:
        """Return the most output tokens; those expected if there is no limit.

        Generations may be several times as long as expected.
        """
        return self.max_output_tokens or self.output_tokens


def read_token_estimate(
    headers: HTTPHeaders, names: HeaderNames
) -> TokenEstimate:
    """Return the estimate from a caller's headers; 0 where they are absent."""
    prompt, _, limit = headers.get(names.token_usage, "").partition(",")
    prompt_tokens = _parse_count(prompt)
    max_output = _parse_count(limit)
    hint = _parse_count(headers.get(names.length_hint, ""))
    output_tokens = _estimate_output(hint, max_output)
    return TokenEstimate(prompt_tokens, output_tokens, max_output)


def _estimate_output(hint: int, limit: int) -> int:
    """Return the expected tokens; `hint` and `limit` are 0 if absent."""
    if not limit:
        return int(hint * HINT_MARGIN)
    typical = limit * TYPICAL_FRACTION
    if hint:
        typical *= (hint / typical) ** HINT_WEIGHT
    return min(round(typical * MEAN_FACTOR), limit)


def _parse_count(text: str) -> int:
    return parse_count(text) or 0
