"""Stand-in for the platform: log, list of hosts and weight store."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs

from balsamlift._loading import structure
from balsamlift._validators import one_of
from balsamlift.clock import Clock
from balsamlift.exceptions import SettingsError
from balsamlift.testing._lagged import Lagged
from balsamlift.testing._log_store import LogStore
from balsamlift.testing._rate_limits import AppendLimiter, WeightQueue
from balsamlift.testing._settings import PlatformSettings
from balsamlift.testing._stand_in import (
    Control,
    HostEntry,
    JsonHandler,
    Listener,
    Routes,
    control_routes,
)

FOREVER_S = 3_600.0  # longer than any caller waits for an answer

_MAX_READ_RECORDS = 1_000
_MAX_WAIT_MS = 30_000
_DOWN_RETRY_MS = 1_000


@attrs.frozen(kw_only=True)
class PlatformFaults:
    """Hold the platform's faults, as set by `POST /control/faults`."""

    down: bool = False  # the log answers 503 and has no effect
    silent: bool = False  # the log has no effect and never answers
    slow_ms: int = 0  # delays the answers of the log, but not the effects
    late_ms: int = 0  # delays the effects of appends
    # Appends take effect, but are then not answered, or with 503.
    lose_answers: str = attrs.field(
        default="no", validator=one_of("no", "silent", "503")
    )
    log_ages: bool = True  # its records grow older, and expire
    hosts_down: bool = False
    hosts_lag_ms: int = 0
    weights_down: bool = False


@attrs.frozen(kw_only=True)
class AppendRequest:
    """Hold the body of `POST /v1/log/append`."""

    records: list[Any]


class Platform:
    """Serve the log, the list of hosts and the weight store."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        """Bind the address."""
        self.settings = settings
        self.clock = clock
        self.store = LogStore(
            clock,
            settings.log_retention_ms,
            settings.log_retention_records,
            lambda: self.faults.log_ages,
        )
        self.appends = AppendLimiter(clock, settings.log_appends_per_s)
        self.weights = WeightQueue(clock, settings.weight_loads_per_s)
        self.hosts: dict[str, HostEntry] = {}
        self.seen_hosts: Lagged[list[HostEntry]] = Lagged(clock, [])
        self.counts: Counter[str] = Counter()
        self.weight_loads: Counter[str] = Counter()
        self.control = Control(
            PlatformFaults(hosts_lag_ms=settings.hosts_lag_ms)
        )
        self._listener = Listener(settings.address)

    @property
    def faults(self) -> PlatformFaults:
        """Return the faults in force."""
        return self.control.faults

    async def start(self) -> None:
        """Accept connections."""
        arguments = {"platform": self}
        routes: Routes = [
            (r"/v1/log/append", AppendHandler, arguments),
            (r"/v1/log/read", ReadHandler, arguments),
            (r"/v1/hosts", HostsHandler, arguments),
            (r"/v1/hosts/([^/]+)", HostHandler, arguments),
            (r"/v1/weights/([^/]+)/([^/]+)", WeightsHandler, arguments),
        ]
        self._listener.start(routes + control_routes(self.control, self.count))

    async def stop(self) -> None:
        """Close the address."""
        await self._listener.stop()

    def ready(self) -> dict[str, Any]:
        """Return the fields of the ready line."""
        return {
            "name": self.settings.name,
            "address": self._listener.address,
        }

    def count(self) -> dict[str, Any]:
        """Return the counters for `GET /control/counts`."""
        return {
            **self.counts,
            "end": self.store.end,
            "weight_loads": self.weight_loads,
        }

    def set_host(self, name: str, entry: HostEntry | None) -> None:
        """Set or remove one entry of the list."""
        self.hosts.pop(name, None)
        if entry is not None:
            self.hosts[name] = entry
        self.seen_hosts.set(list(self.hosts.values()))


class PlatformHandler(JsonHandler):
    """Give handlers access to the platform."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform that this handler serves."""
        self._platform = platform

    async def withhold(self) -> None:
        """Delay the answer for longer than any caller waits."""
        await self._platform.clock.sleep(FOREVER_S)

    async def refuse_if_down(self) -> bool:
        """Refuse a call if the log is down or silent; return whether it is.

        A silent log delays the refusal for longer than any caller waits.
        """
        faults = self._platform.faults
        if faults.silent:
            await self.withhold()
        if faults.silent or faults.down:
            self.refuse(503, "down", retry_after_ms=_DOWN_RETRY_MS)
        return faults.silent or faults.down

    async def delay(self) -> None:
        """Delay the answer by `slow_ms`."""
        await self._platform.clock.sleep(self._platform.faults.slow_ms / 1_000)


class AppendHandler(PlatformHandler):
    """Handle `POST /v1/log/append`."""

    async def post(self) -> None:
        """Append the records in the body, within the rate limit."""
        platform = self._platform
        if await self.refuse_if_down():
            return
        retry_after_ms = platform.appends.take()
        if retry_after_ms:
            platform.counts["appends_limited"] += 1
            self.refuse(429, "rate", retry_after_ms=retry_after_ms)
            return
        body = self.read(AppendRequest)
        if body is None:
            return
        offsets = await self._append(body.records)
        await self._answer(offsets)

    async def _append(self, records: list[Any]) -> list[int]:
        """Append, also if the caller has disconnected meanwhile."""
        platform = self._platform
        late_ms = platform.faults.late_ms
        if late_ms:
            await platform.clock.sleep(late_ms / 1_000)
        platform.counts["appends"] += 1
        return platform.store.append(records)

    async def _answer(self, offsets: list[int]) -> None:
        lose = self._platform.faults.lose_answers
        await self.delay()
        if lose == "silent":
            await self.withhold()
        if lose != "no":
            self.refuse(503, "lost", retry_after_ms=_DOWN_RETRY_MS)
            return
        self.reply({"offsets": offsets})


class ReadHandler(PlatformHandler):
    """Handle `GET /v1/log/read`."""

    async def get(self) -> None:
        """Return a page, waiting up to `wait_ms` for its first record."""
        if await self.refuse_if_down():
            return
        store = self._platform.store
        offset = self.query_int("from", 0)
        limit = min(
            self.query_int("limit", _MAX_READ_RECORDS), _MAX_READ_RECORDS
        )
        wait_ms = min(self.query_int("wait_ms", 0), _MAX_WAIT_MS)
        await store.wait_for_record(offset, wait_ms)
        await self.delay()
        if await self.refuse_if_down():  # may have changed during the wait
            return
        self._platform.counts["reads"] += 1
        self.reply(store.read(offset, limit))


class HostsHandler(PlatformHandler):
    """Handle `GET /v1/hosts`."""

    def get(self) -> None:
        """Return the list of `hosts_lag_ms` ago."""
        faults = self._platform.faults
        if faults.hosts_down:
            self.refuse(503, "down", retry_after_ms=_DOWN_RETRY_MS)
            return
        hosts = self._platform.seen_hosts.get(faults.hosts_lag_ms)
        self.reply({"hosts": hosts})


class HostHandler(PlatformHandler):
    """Handle `PUT` and `DELETE /v1/hosts/NAME`."""

    def put(self, name: str) -> None:
        """Set the entry."""
        if self._refuse_if_hosts_down():
            return
        body = self.read(dict[str, Any])
        if body is None:
            return
        try:
            entry = structure({**body, "name": name}, HostEntry, "entry")
        except SettingsError as error:
            self.refuse(400, "bad_entry", detail=str(error))
            return
        self._platform.set_host(name, entry)
        self.reply(entry)

    def delete(self, name: str) -> None:
        """Remove the entry."""
        if self._refuse_if_hosts_down():
            return
        self._platform.set_host(name, None)
        self.reply({})

    def _refuse_if_hosts_down(self) -> bool:
        down = self._platform.faults.hosts_down
        if down:
            self.refuse(503, "down", retry_after_ms=_DOWN_RETRY_MS)
        return down


class WeightsHandler(PlatformHandler):
    """Handle `GET /v1/weights/MODEL/VERSION` at a limited rate."""

    async def get(self, model: str, version: str) -> None:
        """Answer once the weights are loaded, or refuse when too many wait."""
        platform = self._platform
        if platform.faults.weights_down:
            self.refuse(503, "down", retry_after_ms=_DOWN_RETRY_MS)
            return
        load_s = platform.weights.reserve()
        if load_s is None:
            platform.counts["weights_limited"] += 1
            retry_after_ms = platform.weights.retry_after_ms
            self.refuse(429, "rate", retry_after_ms=retry_after_ms)
            return
        await platform.clock.sleep(load_s)
        platform.weight_loads[f"{model}/{version}"] += 1
        self.reply({"model": model, "version": version})
