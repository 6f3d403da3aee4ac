"""Data model of the configuration: routes, services and workspaces."""

from __future__ import annotations

from typing import Literal

import attrs

RouteKind = Literal["idempotent", "non_idempotent", "stream"]


@attrs.frozen(kw_only=True)
class ServiceShare:
    """One service of a route and its weight in the traffic split."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """Destination of the requests for one host name and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout_ms: int
    target_ms: int  # to the complete response, or the first event of a stream
    priority: int = 0  # 0 is served first
    most_attempts: int = 1  # upstreams that may run one request
    is_public: bool = False  # needs no API key
    regions: frozenset[str] = frozenset()  # where it may run; empty: any
    max_gap_ms: int = 0  # longest pause between events; 0: any
    can_resume: bool = False  # a stream that another engine may go on with


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Properties of the engines of a generation service."""

    memory_tokens: int  # of one engine
    token_bytes: int = 0  # of memory
    link_mbps: float = 0.0  # between engines; 0: unknown
    can_move: bool = False
    can_back_up: bool = False


@attrs.frozen(kw_only=True)
class Service:
    """Properties of a service, whose upstreams form one pool."""

    name: str
    max_connections: int  # to one upstream, from all hosts together
    engine: EngineTraits | None = None  # None: no generation service
    cold_requests_per_s: float | None = None  # tolerated by one cold upstream


@attrs.frozen(kw_only=True)
class Workspace:
    """A tenant, identified by its API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None  # overrides the route's
    weight: float = 1.0  # of its share while requests wait
    regions: frozenset[str] = frozenset()  # where its work may run; empty: any


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and duration of requests from callers."""

    body_bytes: int
    head_bytes: int  # of the request line and all headers
    head_timeout_ms: int  # from the first byte of a head to its last
    idle_timeout_ms: int  # between two requests on one connection


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the settings that operators publish."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
