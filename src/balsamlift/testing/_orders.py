"""Orders that an engine accepts, and the model loads that they start."""

from __future__ import annotations

import asyncio

import attrs

from balsamlift._http import CallError, HttpClient
from balsamlift.clock import Clock
from balsamlift.testing._settings import EngineSettings

_WEIGHTS_TIMEOUT_MS = 60_000
_WEIGHTS_RETRY_S = 0.2


@attrs.frozen(kw_only=True)
class Order:
    """Hold the body of `POST /v1/orders`: the desired state."""

    fence: int
    generation: int = 0
    model: str
    version: str
    adapters: list[str] = attrs.field(factory=list)
    role: str = "mixed"


@attrs.frozen(kw_only=True)
class EngineState:
    """Answer `GET /v1/state`."""

    model: str
    version: str
    adapters: list[str]
    role: str
    draining: bool
    fence: int
    loading: bool


class Orders:
    """Apply orders; an engine that checks fences refuses an older one."""

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        """Start with the model that the settings name as loaded."""
        self._settings = settings
        self._clock = clock
        self._client = HttpClient()
        self._task: asyncio.Task[None] | None = None
        self.state = EngineState(
            model=settings.model,
            version=settings.version,
            adapters=settings.adapters,
            role=settings.role,
            draining=False,
            fence=0,
            loading=False,
        )
        self._desired = (settings.model, settings.version)
        self.accepted = 0
        self.refused = 0
        self.loads = 0

    def accept(self, order: Order) -> bool:
        """Start to apply an order; return false if its fence is stale."""
        if self._settings.checks_fence and order.fence < self.state.fence:
            self.refused += 1
            return False
        self.accepted += 1
        self.state = attrs.evolve(
            self.state,
            fence=order.fence,
            adapters=order.adapters,
            role=order.role,
        )
        desired = (order.model, order.version)
        if desired != self._desired:
            self._desired = desired
            self._stop_loading()
            self._start_loading(order)
        return True

    def set_draining(self, draining: bool) -> None:
        """Set whether the engine refuses new requests before it leaves."""
        self.state = attrs.evolve(self.state, draining=draining)

    def close(self) -> None:
        """Cancel a model load in progress and close the client."""
        self._stop_loading()
        self._client.close()

    def _start_loading(self, order: Order) -> None:
        if self._desired != (self.state.model, self.state.version):
            self.state = attrs.evolve(self.state, loading=True)
            self._task = asyncio.create_task(self._load(order))

    def _stop_loading(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.state = attrs.evolve(self.state, loading=False)

    async def _load(self, order: Order) -> None:
        if self._settings.platform_address:
            await self._fetch_weights(order)
        await self._clock.sleep(self._settings.model_load_ms / 1_000)
        self.loads += 1
        self.state = attrs.evolve(
            self.state,
            model=order.model,
            version=order.version,
            loading=False,
        )

    async def _fetch_weights(self, order: Order) -> None:
        """Request the weights until the weight store returns them."""
        base = f"http://{self._settings.platform_address}/v1/weights"
        url = f"{base}/{order.model}/{order.version}"
        while True:
            try:
                answer = await self._client.call(
                    "GET", url, timeout_ms=_WEIGHTS_TIMEOUT_MS
                )
            except CallError:
                await self._clock.sleep(_WEIGHTS_RETRY_S)
                continue
            if answer.status == 200:
                return
            retry_after_s = float(answer.headers.get("Retry-After", 0))
            await self._clock.sleep(retry_after_s or _WEIGHTS_RETRY_S)
