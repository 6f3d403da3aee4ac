"""The configuration of a relay: routes, services and workspaces."""

from __future__ import annotations

from typing import Literal

import attrs

RouteKind = Literal["idempotent", "non_idempotent", "stream"]


@attrs.frozen(kw_only=True)
class ServiceShare:
    """Hold the part of a route's requests that one service gets."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """Say where the requests of one host name and path prefix go."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout_ms: int
    target_ms: int  # to the whole answer, or to the first event of a stream
    priority: int = 0  # 0 is served first
    most_attempts: int = 1  # upstreams that may run one request
    is_public: bool = False  # needs no key
    regions: frozenset[str] = frozenset()  # where it may run; empty: any


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Describe the engines of a service that generates."""

    memory_tokens: int  # of one engine
    token_bytes: int = 0  # of memory
    link_mbps: float = 0.0  # between engines; 0: not told
    can_move: bool = False
    can_back_up: bool = False


@attrs.frozen(kw_only=True)
class Service:
    """Describe the upstreams that share one pool."""

    name: str
    most_connections: int  # of one upstream, from all hosts together
    engine: EngineTraits | None = None  # None: it does not generate
    cold_per_s: float | None = None  # requests that one tolerates while cold


@attrs.frozen(kw_only=True)
class Workspace:
    """Hold who calls with which keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None  # goes before the route's
    regions: frozenset[str] = frozenset()  # where its work may run; empty: any


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bound what callers may send, and how long they may take."""

    body_bytes: int
    head_bytes: int  # of the request line and all headers
    head_timeout_ms: int  # from the first byte of a head to its last
    idle_timeout_ms: int  # between two requests on one connection


@attrs.frozen(kw_only=True)
class Configuration:
    """Hold one version of all that operators decide."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
