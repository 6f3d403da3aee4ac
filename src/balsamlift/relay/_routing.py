"""Route lookup in the newest configuration that this host has received."""

from __future__ import annotations

import random
from collections.abc import Callable
from math import inf

import attrs
from loguru import logger

from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import NotConfiguredError
from balsamlift.kernel import Kernel
from balsamlift.relay._configuration import (
    Configuration,
    Route,
    Service,
    Workspace,
)
from balsamlift.relay._scope import intersect_regions

log = logger.bind(part="routing")


@attrs.frozen
class RoutingTable:
    """One configuration, indexed for lookup by requests."""

    configuration: Configuration
    services: dict[str, Service]
    _routes: dict[str, dict[str, Route]]  # by host name, then path prefix
    _workspaces: dict[str, Workspace]  # by API key
    weights: dict[str, float]  # of workspaces, by name
    _shortest_targets_ms: dict[tuple[str, int], int] = attrs.field(
        factory=dict, init=False, eq=False
    )

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Return whether callers must send the API key of a workspace."""
        return bool(self.configuration.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Every prefix ends with a slash, so the cost is one dictionary lookup
        per path segment, independent of the number of routes.
        """
        routes = self._routes.get(host.lower())
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def regions_of(self, host: str) -> frozenset[str] | None:
        """Return where all routes of a host name may run; None: anywhere."""
        routes = self._routes.get(host.lower(), {})
        return intersect_regions(*(route.regions for route in routes.values()))

    def shortest_target_ms(self, service: str, priority: int) -> int:
        """Return the shortest target of its streams up to that priority.

        Returns 0 if there is none.
        """
        key = service, priority
        if key not in self._shortest_targets_ms:
            targets_ms = (
                route.target_ms
                for route in self.configuration.routes
                if route.kind == "stream" and route.priority <= priority
                if any(share.service == service for share in route.services)
            )
            self._shortest_targets_ms[key] = min(targets_ms, default=0)
        return self._shortest_targets_ms[key]

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or None."""
        return self._workspaces.get(key)


def compile_table(configuration: Configuration) -> RoutingTable:
    """Return the routing table of a configuration."""
    routes: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
    return RoutingTable(
        configuration,
        {service.name: service for service in configuration.services},
        routes,
        {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        },
        {each.name: each.weight for each in configuration.workspaces},
    )


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services at random, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    names = [share.service for share in route.services]
    weights = [share.weight for share in route.services]
    if not any(weights):
        return names[0]
    return rng.choices(names, weights)[0]


def _unknown_age_s() -> float:
    return inf


class Routing:
    """The newest configuration that this host has received.

    The version never decreases: an older configuration from a slow source
    or a lagging peer is ignored.
    """

    name = "routing"

    def __init__(self, clock: Clock | None = None) -> None:
        """Start without a configuration."""
        self.clock = clock or SystemClock()
        self._newest_reported = 0  # newest version reported by other hosts
        self._reported_at_s = 0.0
        self._age_source: Callable[[], float] = _unknown_age_s
        self.max_age_s = inf
        self._table: RoutingTable | None = None
        self._on_change: list[Callable[[RoutingTable], None]] = []
        self.encoded = b""  # as received, for forwarding to peers
        self.rejected = b""  # the invalid record received last
        self.caught_up = False

    async def start(self, kernel: Kernel) -> None:
        """Do nothing; routing depends on no other service."""

    async def stop(self) -> None:
        """Do nothing; routing holds no task or connection."""

    @property
    def offset(self) -> int:
        """Return the version in force, or 0 without a configuration."""
        return self._table.version if self._table else 0

    @property
    def newest_version(self) -> int:
        """Return the newest version known, whether or not it is in force."""
        return max(self._newest_reported, self.offset)

    @property
    def age_s(self) -> float:
        """Return the time since the configuration was confirmed as current."""
        return self._age_source()

    def set_age_source(
        self, age_s: Callable[[], float], max_age_s: float = inf
    ) -> None:
        """Read the age of the configuration from `age_s`.

        A configuration older than `max_age_s` may be outdated.
        """
        self._age_source = age_s
        self.max_age_s = max_age_s

    @property
    def may_be_outdated(self) -> bool:
        """Return whether a newer version is known or cannot be ruled out."""
        if self.newest_version > self.offset:
            return True
        return self.age_s > self.max_age_s

    def record_version(self, version: int, source: str) -> None:
        """Record and log a version newer than any known; ignore others."""
        if version <= self.newest_version:
            return
        self._newest_reported = version
        self._reported_at_s = self.clock.monotonic()
        log.bind(version=version, in_force=self.offset, source=source).info(
            "newer configuration reported"
        )

    @property
    def is_configured(self) -> bool:
        """Return whether a configuration has been received."""
        return self._table is not None

    def regions_of(self, host: str) -> frozenset[str] | None:
        """Return where all routes of a host name may run; None: anywhere."""
        if self._table is None:
            return None
        return self._table.regions_of(host)

    def cold_requests_per_s(self, pool: str) -> float | None:
        """Return the request rate that a cold upstream of a pool tolerates.

        None where the configuration does not specify it.
        """
        service = self._table.services.get(pool) if self._table else None
        return service.cold_requests_per_s if service else None

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 if it is unknown."""
        return self._table.weights.get(workspace, 1.0) if self._table else 1.0

    def table(self) -> RoutingTable:
        """Return the table in force.

        Raises `NotConfiguredError` before the first configuration.
        """
        if self._table is None:
            raise NotConfiguredError
        return self._table

    def offer(
        self,
        configuration: Configuration,
        encoded: bytes,
        source: str,
        decode_ms: float | None = None,
    ) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if configuration.version <= self.offset:
            return False
        before = self.offset
        began_s = self.clock.monotonic()
        self._table = compile_table(configuration)
        indexed_s = self.clock.monotonic()
        was_reported = self._newest_reported >= configuration.version
        known_for_s = indexed_s - self._reported_at_s if was_reported else 0.0
        self.encoded = encoded
        self.caught_up = True
        log.bind(
            version=configuration.version,
            version_before=before,
            source=source,
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces),
            size_bytes=len(encoded),
            decode_ms=decode_ms,
            index_ms=round((indexed_s - began_s) * 1_000, 1),
            known_for_ms=round(known_for_s * 1_000),
        ).info("configuration in force")
        for callback in self._on_change:
            callback(self._table)
        return True

    def on_change(self, callback: Callable[[RoutingTable], None]) -> None:
        """Call `callback` with the table of each new configuration."""
        self._on_change.append(callback)
