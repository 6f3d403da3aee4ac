"""Messages to engines: reading their state and sending orders."""

from __future__ import annotations

import attrs
import msgspec

from balsamlift._http import CallError, HttpClient
from balsamlift.exceptions import OrderLostError, OrderRefusedError
from balsamlift.peers import Upstream
from balsamlift.presets import PoolPreset

OK = 200
CONFLICT = 409


@attrs.frozen(kw_only=True)
class EngineState:
    """Hold the state that an engine reports."""

    model: str
    version: str
    adapters: list[str] = attrs.field(factory=list)
    role: str = ""
    draining: bool = False
    fence: int = 0
    loading: bool = False


@attrs.frozen(kw_only=True)
class Order:
    """Describe the state an engine has to reach; orders are idempotent."""

    fence: int
    generation: int
    model: str
    version: str
    adapters: list[str]
    role: str


def make_order(desired: PoolPreset, generation: int, fence: int) -> Order:
    """Return the order that brings an engine to the desired state."""
    return Order(
        fence=fence,
        generation=generation,
        model=desired.model,
        version=desired.version,
        adapters=desired.adapters,
        role=desired.role,
    )


def is_in_desired_state(state: EngineState, desired: PoolPreset) -> bool:
    """Return whether the engine is in the desired state and stays in it.

    An engine that reports the desired model while it is loading is about
    to change to another one: it received a late order.
    """
    return (
        not state.loading
        and state.model == desired.model
        and state.version == desired.version
        and sorted(state.adapters) == sorted(desired.adapters)
        and state.role == desired.role
    )


async def read_state(
    http: HttpClient, upstream: Upstream, timeout_ms: int
) -> EngineState | None:
    """Return the engine's state, or None if it does not answer."""
    url = f"http://{upstream.address}/v1/state"
    try:
        answer = await http.call("GET", url, timeout_ms=timeout_ms, fresh=True)
        if answer.status != OK:
            return None
        return answer.decode(EngineState)
    except (CallError, msgspec.MsgspecError):
        return None


async def send_order(
    http: HttpClient, upstream: Upstream, order: Order, timeout_ms: int
) -> None:
    """Send an order to an engine.

    Raises `OrderRefusedError` if the engine refuses it, and
    `OrderLostError` if it may have been accepted or may be later.
    """
    url = f"http://{upstream.address}/v1/orders"
    try:
        answer = await http.call(
            "POST", url, order, timeout_ms=timeout_ms, fresh=True
        )
    except CallError as error:
        raise OrderLostError(upstream.name, str(error)) from error
    if answer.status == CONFLICT:
        raise OrderRefusedError(upstream.name)
    if answer.status != OK:
        raise OrderLostError(upstream.name, f"status {answer.status}")
