"""Token texts and output lengths, derived from seeds."""

from __future__ import annotations

import hashlib
import math
import random
import re

from balsamlift.testing._settings import DEFAULT_KIND, LengthSettings

_FORCED_LENGTH = re.compile(r"\[length=(\d+)\]")


def token_text(salt: str, index: int) -> str:
    """Return the token at `index`, the same for the same salt."""
    digest = hashlib.blake2b(f"{salt}:{index}".encode(), digest_size=3)
    return digest.hexdigest() + " "


def draw_length(
    lengths: dict[str, LengthSettings], kind: str, prompt: str, seed: str
) -> int:
    """Return the output length: forced by the prompt, or drawn by kind."""
    forced = _FORCED_LENGTH.search(prompt)
    if forced:
        return max(1, int(forced[1]))
    default = lengths.get(DEFAULT_KIND, LengthSettings())
    length = lengths.get(kind, default)
    normal = random.Random(seed).gauss(0.0, length.sigma)
    return max(1, round(length.median * math.exp(normal)))


def count_tokens(prompt: str) -> int:
    """Estimate the tokens of a prompt at four characters per token."""
    return 1 + len(prompt) // 4
