"""What placement needs of the other services."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol, runtime_checkable


class Upstream(Protocol):
    """Describe an upstream, as the service `upstreams` knows it."""

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
    """List the upstreams."""

    def in_pool(self, pool: str) -> Sequence[Any]:
        """Return the usable upstreams of a pool."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of them."""


@runtime_checkable
class PeersService(Protocol):
    """Tell what the other hosts have in flight."""

    def in_flight(self, upstream: str) -> int:
        """Return what the peers announced for an upstream."""

    def set_in_flight(self, upstream: str, n: int) -> None:
        """Announce what this host has in flight."""

    def live(self) -> Sequence[Any]:
        """Return the live peers."""


@runtime_checkable
class PresetsService(Protocol):
    """Tell the preset in force."""

    def in_force(self) -> Any:
        """Return it, with `.preset.policy`, or None."""


@runtime_checkable
class MetricsService(Protocol):
    """Count and measure."""

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""

    def observe_ms(self, name: str, value: float) -> None:
        """Record a time."""


@runtime_checkable
class TimelineService(Protocol):
    """Keep the time line."""

    def record(self, kind: str, *, request: str = "", **detail: Any) -> Any:
        """Add one event."""
