"""Decide who runs, when and where."""

from balsamlift.placement._policy import Policy

__all__ = ["Policy"]
