"""Identifiers of single runs of a daemon."""

from __future__ import annotations

import secrets

_INCARNATION_BYTES = 8


def new_incarnation() -> str:
    """Return a random identifier for one run of a daemon."""
    return secrets.token_hex(_INCARNATION_BYTES)
