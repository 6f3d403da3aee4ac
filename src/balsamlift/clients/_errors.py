"""Errors of what clients make a process hold."""

from __future__ import annotations

from balsamlift.exceptions import BalsamliftError


class ClientMemoryError(BalsamliftError):
    """Raised when there is no memory left for a client."""


class BodyLimitError(BalsamliftError):
    """Raised when a body is larger than it may be."""
