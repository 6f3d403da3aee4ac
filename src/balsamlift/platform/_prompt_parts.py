"""Decode the header that lists the parts of a prompt."""

from __future__ import annotations

from hashlib import blake2b

# Later parts of a longer list are ignored.
MAX_PARTS = 64
DIGEST_BYTES = 8


def decode_prompt_parts(text: str) -> tuple[str, ...]:
    """Return digests of the parts that other requests may share, in order.

    The value lists "ID:TOKENS" entries, with the ID in hexadecimal. The last
    part belongs to the request or its session and is left out.
    """
    entries = [entry for entry in map(str.strip, text.split(",")) if entry]
    parts = (_digest(entry) for entry in entries[:-1][:MAX_PARTS])
    return tuple(dict.fromkeys(parts))


def _digest(entry: str) -> str:
    part = entry.partition(":")[0].strip().lower().lstrip("0")
    return blake2b(part.encode(), digest_size=DIGEST_BYTES).hexdigest()
