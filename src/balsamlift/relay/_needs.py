"""How much memory of an engine a generation will take."""

from __future__ import annotations

import attrs
from tornado.httputil import HTTPHeaders

from balsamlift.relay._wire import HeaderNames

# Callers' own estimates are right at the median and often far off; with this
# much on top, about two in three answers stay below.
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
    expected = int(hint * HINT_MARGIN) if hint else most_output
    if most_output:
        expected = min(expected, most_output)
    return Need(prompt_tokens, expected, most_output)


def _number(text: str) -> int:
    text = text.strip()
    return int(text) if text.isdecimal() else 0
