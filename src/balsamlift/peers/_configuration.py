"""Find how far this host has read the log of the configuration."""

from __future__ import annotations

from contextlib import suppress
from typing import Protocol, runtime_checkable

from balsamlift.exceptions import ServiceMissingError
from balsamlift.kernel import Kernel

# The presets, or the routes in deployments without presets.
SERVICES = ("presets", "routing")


@runtime_checkable
class Configuration(Protocol):
    """Report the position reached in the log of the configuration."""

    @property
    def offset(self) -> int:
        """Return the offset that was reached."""

    @property
    def caught_up(self) -> bool:
        """Return whether the end of the log was reached."""


class NoConfiguration:
    """Report offset 0 where no configuration service is registered."""

    offset = 0
    caught_up = False


class ConfigurationFinder:
    """Look up the configuration service on first use.

    It may be registered after the peers.
    """

    def __init__(self) -> None:
        """Start without a kernel; `find` then finds nothing."""
        self._kernel: Kernel | None = None
        self._found: Configuration | None = None

    def start(self, kernel: Kernel) -> None:
        """Look up services in `kernel` from now on."""
        self._kernel = kernel

    def find(self) -> Configuration:
        """Return the configuration service, or `NoConfiguration`."""
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
