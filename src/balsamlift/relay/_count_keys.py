"""Keys of counts that hosts share about each upstream."""

from __future__ import annotations


def backup_key(upstream: str) -> str:
    """Return the key that counts memory reserved there for backups."""
    return f"{upstream}/backups"


def prefill_key(upstream: str) -> str:
    """Return the key that counts prompt tokens not yet processed there."""
    return f"{upstream}/prefill"


def link_key(upstream: str) -> str:
    """Return the key that counts copies in progress from there."""
    return f"{upstream}/link"
