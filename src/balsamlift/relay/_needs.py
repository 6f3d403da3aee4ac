"""How much memory of an engine a generation will take."""

from __future__ import annotations

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.relay._header_names import HeaderNames

# A typical answer has this part of the tokens that it may have at most, and
# its caller's estimate this weight beside it, in logarithms.
TYPICAL_PART = 1 / 3
HINT_WEIGHT = 0.2
# The mean of such lengths lies above the typical one.
MEAN_FACTOR = 1.12
# Where no bound is told, the estimate stands alone, with this much on top.
HINT_MARGIN = 1.3


@attrs.frozen
class Need:
    """Hold the tokens of a prompt and of the answer to expect."""

    prompt_tokens: int
    output_tokens: int  # expected
    most_output_tokens: int

    @property
    def tokens(self) -> int:
        """Return the memory to expect at the end."""
        return self.prompt_tokens + self.output_tokens


def read_need(headers: HTTPHeaders, names: HeaderNames) -> Need:
    """Return what a caller's headers say; zeros where they say nothing."""
    prompt, _, most = headers.get(names.token_usage, "").partition(",")
    prompt_tokens = _number(prompt)
    most_output = _number(most)
    hint = _number(headers.get(names.length_hint, ""))
    expected = _expect_output(hint, most_output)
    return Need(prompt_tokens, expected, most_output)


def _expect_output(hint: int, most: int) -> int:
    """Return the tokens to expect; `hint` and `most` are 0 if not told."""
    if not most:
        return int(hint * HINT_MARGIN)
    typical = most * TYPICAL_PART
    if hint:
        typical *= (hint / typical) ** HINT_WEIGHT
    return min(round(typical * MEAN_FACTOR), most)


def _number(text: str) -> int:
    text = text.strip()
    return int(text) if text.isdecimal() else 0
