"""Stand-in for a plain service, such as a tracker or a point of sale."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import Any

import attrs
import msgspec

from balsamlift._validators import one_of
from balsamlift.clock import Clock
from balsamlift.testing._platform import FOREVER_S
from balsamlift.testing._settings import ServiceSettings
from balsamlift.testing._stand_in import (
    Control,
    HostEntry,
    JsonHandler,
    Listener,
    Registration,
    Routes,
    control_routes,
)

_RETRY_MS = 500


@attrs.frozen(kw_only=True)
class ServiceFaults:
    """Hold the faults of a service, as set by `POST /control/faults`."""

    slow_ms: int = 0  # added to the duration of each call
    # Calls run, but are then not answered, or with 500.
    lose_answers: str = attrs.field(
        default="no", validator=one_of("no", "silent", "500")
    )
    refuse: bool = False
    draining: bool = False


@attrs.frozen(kw_only=True)
class Call:
    """Hold the body of `POST /v1/calls`."""

    key: str
    workspace: str = ""
    kind: str = ""
    payload: Any = None
    idempotent: bool = False


@attrs.frozen(kw_only=True)
class KeyState:
    """Answer `GET /v1/keys/KEY`; `state` is running, done or absent."""

    state: str
    workspace: str = ""
    result: Any = None


class PlainService:
    """Run a service that counts how often each key was executed."""

    def __init__(self, settings: ServiceSettings, clock: Clock) -> None:
        """Bind the address."""
        self.settings = settings
        self.clock = clock
        self.control = Control(ServiceFaults())
        self.executions: Counter[str] = Counter()
        self.keys: dict[str, KeyState] = {}
        self.tasks: dict[str, asyncio.Task[Any]] = {}
        self.running = 0
        self._listener = Listener(settings.address)
        entry = HostEntry(
            name=settings.name,
            pool=settings.pool,
            address=self._listener.address,
            failure_domain=settings.failure_domain,
        )
        self._registration = Registration(settings.platform_address, entry)

    @property
    def faults(self) -> ServiceFaults:
        """Return the faults in force."""
        return self.control.faults

    async def start(self) -> None:
        """Accept connections and report to the platform."""
        arguments = {"service": self}
        routes: Routes = [
            (r"/v1/calls", CallsHandler, arguments),
            (r"/v1/keys/([^/]+)", KeyHandler, arguments),
        ]
        self._listener.start(routes + control_routes(self.control, self.count))
        self.control.on_change(self._apply)
        self._registration.announce("live")

    async def stop(self) -> None:
        """Close the address."""
        await self._registration.withdraw()
        await self._listener.stop()

    def ready(self) -> dict[str, Any]:
        """Return the fields of the ready line."""
        return {
            "name": self.settings.name,
            "address": self._listener.address,
        }

    def count(self) -> dict[str, Any]:
        """Return the counters for `GET /control/counts`."""
        return {"executions": self.executions, "running": self.running}

    async def run(self, call: Call) -> Any:
        """Execute a call and return its result."""
        self.executions[call.key] += 1
        self.keys[call.key] = KeyState(
            state="running", workspace=call.workspace
        )
        self.running += 1
        work_ms = self.settings.work_ms + self.faults.slow_ms
        await self.clock.sleep(work_ms / 1_000)
        self.running -= 1
        result = _result(call)
        self.keys[call.key] = KeyState(
            state="done", workspace=call.workspace, result=result
        )
        return result

    def _apply(self, old: ServiceFaults, new: ServiceFaults) -> None:
        if new.draining != old.draining:
            self._registration.announce("leaving" if new.draining else "live")


def _result(call: Call) -> dict[str, Any]:
    """Return a result that identifies the call and its payload."""
    payload = msgspec.json.encode(call.payload, order="sorted")
    digest = hashlib.sha256(payload).hexdigest()
    return {
        "key": call.key,
        "workspace": call.workspace,
        "kind": call.kind,
        "payload_digest": digest,
    }


class ServiceHandler(JsonHandler):
    """Give handlers access to the service."""

    def initialize(self, service: PlainService) -> None:
        """Store the service that this handler serves."""
        self._service = service


class CallsHandler(ServiceHandler):
    """Handle `POST /v1/calls`."""

    async def post(self) -> None:
        """Execute the call in the body, unless it is refused."""
        call = self.read(Call)
        if call is None:
            return
        if self._refuse_if_unavailable():
            return
        result = await self._run(call)
        lose = self._service.faults.lose_answers
        if lose == "silent":
            await self._service.clock.sleep(FOREVER_S)
        if lose != "no":
            self.refuse(500, "lost")
            return
        self.reply({"result": result})

    def _refuse_if_unavailable(self) -> bool:
        """Refuse the call if the service is full, refusing or draining."""
        service = self._service
        faults = service.faults
        full = service.running >= service.settings.max_running
        if not (full or faults.refuse or faults.draining):
            return False
        reason = "draining" if faults.draining else "full"
        self.refuse(503, reason, ran=False, retry_after_ms=_RETRY_MS)
        return True

    async def _run(self, call: Call) -> Any:
        service = self._service
        if not service.settings.deduplicates:
            return await service.run(call)
        if call.key not in service.tasks:
            task = asyncio.create_task(service.run(call))
            service.tasks[call.key] = task
        return await service.tasks[call.key]


class KeyHandler(ServiceHandler):
    """Handle `GET /v1/keys/KEY`."""

    def get(self, key: str) -> None:
        """Return the state of the key, if the service exposes key states."""
        if not self._service.settings.tells_by_key:
            self.refuse(404, "not_told")
            return
        absent = KeyState(state="absent")
        self.reply(self._service.keys.get(key, absent))
