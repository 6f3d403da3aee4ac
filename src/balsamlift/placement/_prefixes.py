"""Learn how many tokens of a prompt its shared prefix takes."""

from __future__ import annotations

from collections import OrderedDict

import attrs

ENOUGH = 8  # prompts before the estimate is used
PREFIXES = 2_048  # kept; the least recently used goes first


@attrs.define
class _Seen:
    least_tokens: int
    count: int = 0


class PrefixLengths:
    """Bound each prefix by the shortest prompt seen that begins with it."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self._seen: OrderedDict[str, _Seen] = OrderedDict()

    def observe(self, prefix: str, prompt_tokens: int) -> None:
        """Record one prompt."""
        if not prefix:
            return
        seen = self._seen.setdefault(prefix, _Seen(prompt_tokens))
        seen.least_tokens = min(seen.least_tokens, prompt_tokens)
        seen.count += 1
        self._seen.move_to_end(prefix)
        if len(self._seen) > PREFIXES:
            self._seen.popitem(last=False)

    def shared_tokens(self, prefix: str) -> int:
        """Return the tokens to take as shared; 0 while too few were seen."""
        seen = self._seen.get(prefix)
        if seen is None or seen.count < ENOUGH:
            return 0
        return seen.least_tokens
