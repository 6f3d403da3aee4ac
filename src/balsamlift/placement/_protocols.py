"""Protocols of the other services, as far as placement uses them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol, runtime_checkable


class Upstream(Protocol):
    """Describe an upstream as the service `upstreams` returns it."""

    @property
    def name(self) -> str:
        """Return its name."""

    @property
    def pool(self) -> str:
        """Return its pool."""

    @property
    def address(self) -> str:
        """Return its address, "IP:port"."""

    @property
    def failure_domain(self) -> str:
        """Return its failure domain."""

    @property
    def kind(self) -> str:
        """Return "engine" or "service"."""


@runtime_checkable
class UpstreamsService(Protocol):
    """List the upstreams of a pool and report changes."""

    def in_pool(self, pool: str) -> Sequence[Any]:
        """Return the usable upstreams of a pool."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of the upstreams."""


@runtime_checkable
class PeersService(Protocol):
    """Exchange in-flight counts with the other hosts."""

    def in_flight(self, upstream: str) -> int:
        """Return the total that the peers announced for an upstream."""

    def set_in_flight(self, upstream: str, n: int) -> None:
        """Announce what this host has in flight."""

    def live(self) -> Sequence[Any]:
        """Return the live peers."""


@runtime_checkable
class PresetsService(Protocol):
    """Provide the preset in force."""

    def in_force(self) -> Any:
        """Return the preset in force, with `.preset.policy`, or None."""


@runtime_checkable
class MetricsService(Protocol):
    """Record counters and durations."""

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""

    def observe_ms(self, name: str, value: float) -> None:
        """Record a duration."""


@runtime_checkable
class TimelineService(Protocol):
    """Record events of requests on the timeline."""

    def record(self, kind: str, *, request: str = "", **detail: Any) -> Any:
        """Add an event."""
