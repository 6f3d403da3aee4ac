"""Parse numbers that others write into headers."""

from __future__ import annotations

import re

# "1e400" or "2, 3" is none.
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?")
_COUNT = re.compile(r"[0-9]{1,15}")  # far below 64 bits, also in products


def parse_count(text: str) -> int | None:
    """Return a decimal number of up to 15 digits, or None if it is none."""
    text = text.strip()
    return int(text) if _COUNT.fullmatch(text) else None


def parse_decimal(text: str) -> float | None:
    """Return a decimal number without a sign, or None if it is none."""
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else None
