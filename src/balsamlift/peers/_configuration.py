"""How far this host has folded the configuration."""

from __future__ import annotations

from contextlib import suppress
from typing import Protocol, runtime_checkable

from balsamlift.exceptions import ServiceMissingError
from balsamlift.kernel import Kernel

# Presets, or the routes of a deployment that has no presets.
SERVICES = ("presets", "routing")


@runtime_checkable
class Configuration(Protocol):
    """Tell up to which offset, and whether that is the end of the log."""

    @property
    def offset(self) -> int:
        """Return the offset."""

    @property
    def caught_up(self) -> bool:
        """Tell whether the end of the log was reached."""


class NoConfiguration:
    """Stand in where there are no presets."""

    offset = 0
    caught_up = False


class ConfigurationFinder:
    """Find the presets late: they may be registered after the peers."""

    def __init__(self) -> None:
        """Begin with none."""
        self._kernel: Kernel | None = None
        self._found: Configuration | None = None

    def start(self, kernel: Kernel) -> None:
        """Look there."""
        self._kernel = kernel

    def find(self) -> Configuration:
        """Return the presets, or what stands in for them."""
        if self._found is not None:
            return self._found
        if self._kernel is None:
            return NoConfiguration()
        kind: type[Configuration] = Configuration  # type: ignore[type-abstract]
        for name in SERVICES:
            with suppress(ServiceMissingError):
                self._found = self._kernel.find(name, kind)
                return self._found
        return NoConfiguration()
