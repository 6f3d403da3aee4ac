"""Estimate how many tokens of a prompt belong to its shared prefix."""

from __future__ import annotations

from collections import OrderedDict

import attrs

MIN_PROMPTS = 8  # seen before the estimate is used
MAX_PREFIXES = 2_048  # kept; the least recently used is evicted


@attrs.define
class _PrefixStats:
    min_tokens: int
    count: int = 0


class PrefixLengths:
    """Estimate each prefix as the shortest prompt seen that starts with it."""

    def __init__(self) -> None:
        """Start without observations."""
        self._stats: OrderedDict[str, _PrefixStats] = OrderedDict()

    def observe(self, prefix: str, prompt_tokens: int) -> None:
        """Record the length of a prompt that starts with `prefix`."""
        if not prefix:
            return
        stats = self._stats.setdefault(prefix, _PrefixStats(prompt_tokens))
        stats.min_tokens = min(stats.min_tokens, prompt_tokens)
        stats.count += 1
        self._stats.move_to_end(prefix)
        if len(self._stats) > MAX_PREFIXES:
            self._stats.popitem(last=False)

    def shared_tokens(self, prefix: str) -> int:
        """Return the estimated tokens of a prefix; 0 after too few prompts."""
        stats = self._stats.get(prefix)
        if stats is None or stats.count < MIN_PROMPTS:
            return 0
        return stats.min_tokens
