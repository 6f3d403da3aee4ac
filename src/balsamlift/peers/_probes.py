"""Ask upstreams for their state: those in doubt, and a share of the rest."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import msgspec
from loguru import logger

from balsamlift._http import Answer, CallError, HttpClient
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.peers._marks import LEAVING_HOLD_S, UpstreamState
from balsamlift.peers._upstream import Upstream

log = logger.bind(part="probes")

TICK_S = 0.1
TIMEOUT_MS = 1_000
CONNECT_MS = 500
PROBERS = 2  # hosts that watch each engine
PROBES_PER_S = 4.0  # of one host, over all engines it watches
SHORTEST_INTERVAL_S = 0.5
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0
MAX_AT_ONCE = 32
SILENCES_TO_DEAD = 2  # a single late answer is no death

_OK = 200


@attrs.frozen
class EngineState:
    """Hold the part of an upstream's state that matters here."""

    draining: bool = False


@attrs.define
class _Doubt:
    """Hold when to ask an upstream that is leaving or dead."""

    state: UpstreamState
    due_s: float
    delay_s: float


class Probed(Protocol):
    """List the upstreams, and take in what probes find."""

    def all(self) -> Sequence[Upstream]:
        """Return every upstream."""

    def find(self, name: str) -> Upstream | None:
        """Return the upstream of that name."""

    def mark(self, name: str, state: UpstreamState, source: str) -> None:
        """Take in a state that was seen."""

    def answered(self, name: str, draining: bool | None) -> None:
        """Take in an answer; None: it does not tell whether it drains."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""

    def sharers(self) -> Sequence[str]:
        """Return the hosts that probing is shared with."""


class Probes:
    """Ask for the state of upstreams, at a bounded rate.

    An upstream marked dead is asked with a growing delay until it answers.
    The live engines are shared out over the hosts, `PROBERS` for each, so
    that a drain notice is seen by some host and spread by it.
    """

    def __init__(
        self,
        upstreams: Probed,
        clock: Clock,
        http: HttpClient,
        rng: random.Random,
        host: str,
    ) -> None:
        """Probe what `upstreams` knows, as `host`."""
        self._upstreams = upstreams
        self._clock = clock
        self._http = http
        self._random = rng
        self._host = host
        self._doubts: dict[str, _Doubt] = {}
        self._due_s: dict[str, float] = {}
        self._silences: dict[str, int] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._sharers: list[str] = []
        self._stale = True
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to probe."""
        self._upstreams.on_change(self._note_change)
        self._task = asyncio.create_task(self._keep_probing())

    async def stop(self) -> None:
        """End every probe."""
        await end_task(self._task)
        for task in list(self._running.values()):
            await end_task(task)

    def _note_change(self) -> None:
        self._stale = True

    async def _keep_probing(self) -> None:
        while True:
            self._look_around()
            now_s = self._clock.monotonic()
            for name, doubt in self._doubts.items():
                if doubt.due_s <= now_s and self._begin(name):
                    self._delay(doubt, now_s)
            interval_s = _interval_s(len(self._due_s))
            for name, due_s in self._due_s.items():
                if due_s <= now_s and self._begin(name):
                    jitter = self._random.uniform(0.8, 1.2)
                    self._due_s[name] = now_s + interval_s * jitter
            await self._clock.sleep(TICK_S)

    def _look_around(self) -> None:
        """Work out anew whom to ask, after a change."""
        sharers = sorted(self._upstreams.sharers())
        if not self._stale and sharers == self._sharers:
            return
        self._stale = False
        self._sharers = sharers
        now_s = self._clock.monotonic()
        upstreams = self._upstreams.all()
        self._doubts = {
            upstream.name: self._doubt(upstream, now_s)
            for upstream in upstreams
            if upstream.state != "live"
        }
        watched = [
            upstream.name
            for upstream in upstreams
            if upstream.kind == "engine"
            and upstream.state == "live"
            and _is_prober(self._host, upstream.name, sharers)
        ]
        interval_s = _interval_s(len(watched))
        self._due_s = {
            name: self._due_s.get(
                name, now_s + interval_s * self._random.random()
            )
            for name in watched
        }

    def _doubt(self, upstream: Upstream, now_s: float) -> _Doubt:
        doubt = self._doubts.get(upstream.name)
        if doubt is not None and doubt.state == upstream.state:
            return doubt
        first_s = FIRST_RETRY_S if upstream.state == "dead" else LEAVING_HOLD_S
        due_s = now_s + first_s * self._random.uniform(0.8, 1.2)
        return _Doubt(upstream.state, due_s, first_s)

    def _delay(self, doubt: _Doubt, now_s: float) -> None:
        if doubt.state == "dead":
            doubt.delay_s = min(doubt.delay_s * 2, LONGEST_RETRY_S)
        doubt.due_s = now_s + doubt.delay_s * self._random.uniform(0.8, 1.2)

    def _begin(self, name: str) -> bool:
        """Begin to ask, unless it is being asked or too many are."""
        if name in self._running or len(self._running) >= MAX_AT_ONCE:
            return False
        task = asyncio.create_task(self._ask(name))
        self._running[name] = task
        task.add_done_callback(lambda _: self._running.pop(name, None))
        return True

    async def _ask(self, name: str) -> None:
        upstream = self._upstreams.find(name)
        if upstream is None:
            return
        fresh = upstream.state == "dead" or self._silences.get(name, 0) > 0
        try:
            answer = await self._http.call(
                "GET",
                f"http://{upstream.address}/v1/state",
                timeout_ms=TIMEOUT_MS,
                connect_ms=CONNECT_MS,
                fresh=fresh,
            )
        except CallError as error:
            self._failed(name, error)
            return
        self._silences.pop(name, None)
        now = self._upstreams.find(name)
        if now is not None and now.address == upstream.address:
            self._upstreams.answered(name, _draining(answer))

    def _failed(self, name: str, error: CallError) -> None:
        silences = self._silences.get(name, 0) + 1
        self._silences[name] = silences
        if not error.sent or silences >= SILENCES_TO_DEAD:
            self._silences.pop(name, None)
            self._upstreams.mark(name, "dead", "probe")


def _interval_s(watched: int) -> float:
    """Return the time between two probes of one engine."""
    return max(SHORTEST_INTERVAL_S, watched / PROBES_PER_S)


def _is_prober(host: str, upstream: str, sharers: Sequence[str]) -> bool:
    """Tell whether `host` watches that engine: `PROBERS` of them do."""
    if len(sharers) <= PROBERS:
        return True
    first = zlib.crc32(upstream.encode())
    return any(
        sharers[(first + number) % len(sharers)] == host
        for number in range(PROBERS)
    )


def _draining(answer: Answer) -> bool | None:
    """Return whether the upstream drains; None where it does not tell."""
    if answer.status != _OK:
        return None
    try:
        return answer.decode(EngineState).draining
    except msgspec.MsgspecError:
        return None
