"""Parts that all stand-ins share: HTTP listener, faults, registration."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import attrs
import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from balsamlift._address import join_address, split_address
from balsamlift._http import Answer, CallError, HttpClient
from balsamlift._loading import structure
from balsamlift._validators import one_of
from balsamlift.exceptions import SettingsError

T = TypeVar("T")
Routes = list[tuple[str, type[RequestHandler], dict[str, Any]]]

_REGISTER_RETRY_S = 0.5
_PLATFORM_TIMEOUT_MS = 2_000


class StandIn(Protocol):
    """Define the interface of a stand-in that runs as a process."""

    async def start(self) -> None:
        """Accept connections."""

    async def stop(self) -> None:
        """Close the listeners and all connections."""

    def ready(self) -> dict[str, Any]:
        """Return the fields of the ready line."""


class JsonHandler(RequestHandler):
    """Read requests and write answers in JSON."""

    def reply(self, body: Any, status: int = 200) -> None:
        """Send `body` as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def refuse(self, status: int, reason: str, **detail: Any) -> None:
        """Send a reason as JSON, with `Retry-After` if a delay is given."""
        retry_after_ms = detail.get("retry_after_ms")
        if retry_after_ms is not None:
            seconds = -(-int(retry_after_ms) // 1_000)
            self.set_header("Retry-After", str(seconds))
        self.reply({"reason": reason, **detail}, status)

    def read(self, body_type: type[T]) -> T | None:
        """Return the body as a `body_type`; if it is invalid, answer 400."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except msgspec.DecodeError as error:
            self.refuse(400, "bad_request", detail=str(error))
            return None

    def query_int(self, name: str, default: int) -> int:
        """Return a non-negative integer of the query, or `default`."""
        text = self.get_query_argument(name, "")
        return int(text) if text.isdecimal() else default


class Listener:
    """Listen on one address, which is bound at construction."""

    def __init__(self, address: str) -> None:
        """Bind `address`, given as "IP:port"; port 0 picks a free port."""
        ip, port = split_address(address)
        self._sockets = bind_sockets(port, ip)
        self.address = join_address(ip, self._sockets[0].getsockname()[1])
        self._server: HTTPServer | None = None

    def start(self, routes: Routes) -> None:
        """Serve `routes`."""
        application = Application(list(routes), log_function=_ignore_log)
        self._server = HTTPServer(application)
        self._server.add_sockets(self._sockets)

    async def stop(self) -> None:
        """Close the listening sockets and all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


def _ignore_log(handler: RequestHandler) -> None:
    del handler


class Control(Generic[T]):
    """Hold the faults in force and apply changes to some of them."""

    def __init__(self, faults: T) -> None:
        """Start with `faults`, an instance of an attrs class."""
        self.faults = faults
        self._callbacks: list[Callable[[T, T], None]] = []

    def on_change(self, callback: Callable[[T, T], None]) -> None:
        """Call `callback` with the old and new faults at each change."""
        self._callbacks.append(callback)

    def update(self, changes: dict[str, Any]) -> None:
        """Change some fields.

        Raises `SettingsError` if a field is unknown or a value invalid.
        """
        old: Any = self.faults
        merged = {**attrs.asdict(old), **changes}
        new: T = structure(merged, type(old), "faults")
        self.faults = new
        for callback in self._callbacks:
            callback(old, new)


class FaultsHandler(JsonHandler):
    """Handle `GET` and `POST /control/faults`."""

    def initialize(self, control: Control[Any]) -> None:
        """Store the control whose faults are read and changed."""
        self._control = control

    def get(self) -> None:
        """Return the faults in force."""
        self.reply(self._control.faults)

    def post(self) -> None:
        """Change the faults that the body names; return all of them."""
        changes = self.read(dict[str, Any])
        if changes is None:
            return
        try:
            self._control.update(changes)
        except SettingsError as error:
            self.refuse(400, "bad_faults", detail=str(error))
            return
        self.reply(self._control.faults)


class CountsHandler(JsonHandler):
    """Handle `GET /control/counts`."""

    def initialize(self, count: Callable[[], Any]) -> None:
        """Store the function that returns the counts."""
        self._count = count

    def get(self) -> None:
        """Return the counts."""
        self.reply(self._count())


def control_routes(control: Control[Any], count: Callable[[], Any]) -> Routes:
    """Return the routes under /control."""
    return [
        (r"/control/faults", FaultsHandler, {"control": control}),
        (r"/control/counts", CountsHandler, {"count": count}),
    ]


@attrs.frozen(kw_only=True)
class HostEntry:
    """Describe one entry of the platform's list of hosts."""

    name: str = ""
    role: str = attrs.field(
        default="upstream", validator=one_of("entry", "upstream")
    )
    pool: str = ""
    address: str = ""
    operators_address: str = ""
    peers_address: str = ""
    failure_domain: str = ""
    state: str = attrs.field(
        default="live", validator=one_of("live", "leaving")
    )


class Registration:
    """Maintain one entry in the platform's list of hosts."""

    def __init__(self, platform_address: str, entry: HostEntry) -> None:
        """Prepare; with an empty address, nothing is ever registered."""
        self._url = f"http://{platform_address}/v1/hosts/{entry.name}"
        self._enabled = bool(platform_address)
        self._entry = entry
        self._client = HttpClient()
        self._task: asyncio.Task[None] | None = None

    def announce(self, state: str) -> None:
        """Report `state` in the background until the platform accepts it."""
        if not self._enabled:
            return
        self._entry = attrs.evolve(self._entry, state=state)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._report())

    async def withdraw(self) -> None:
        """Remove the entry if the platform is reachable."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(CallError):
                await self._call("DELETE")
        self._client.close()

    async def _report(self) -> None:
        while True:
            with contextlib.suppress(CallError):
                entry = self._entry
                answer = await self._call("PUT")
                if answer.status == 200 and entry is self._entry:
                    return
                if answer.status == 200:
                    continue  # the state changed meanwhile
            await asyncio.sleep(_REGISTER_RETRY_S)

    async def _call(self, method: str) -> Answer:
        return await self._client.call(
            method, self._url, self._entry, timeout_ms=_PLATFORM_TIMEOUT_MS
        )
