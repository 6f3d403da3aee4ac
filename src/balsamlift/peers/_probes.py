"""Probe upstreams that are not live, and a share of the live engines."""

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
from balsamlift._tasks import end_task, start_task
from balsamlift.clock import Clock
from balsamlift.peers._observed_states import LEAVING_HOLD_S, UpstreamState
from balsamlift.peers._upstream import Upstream

log = logger.bind(part="probes")

CHECK_INTERVAL_S = 0.1
PROBE_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 500
PROBERS_PER_ENGINE = 2  # hosts that probe each live engine
PROBES_PER_S = 4.0  # of one host, over all live engines it probes
MIN_INTERVAL_S = 0.5
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0
MAX_CONCURRENT_PROBES = 32
# Consecutive requests without an answer before an upstream counts as dead: a
# single late answer is not enough.
MAX_UNANSWERED = 2

_OK = 200


@attrs.frozen
class EngineState:
    """Hold the part of an upstream's `/v1/state` answer that probes use."""

    draining: bool = False


@attrs.define
class _Recheck:
    """Hold when to probe an upstream that is leaving or dead."""

    state: UpstreamState
    due_s: float
    delay_s: float


class ProbeTargets(Protocol):
    """Provide the upstreams to probe, and record what probes find."""

    def all(self) -> Sequence[Upstream]:
        """Return all upstreams."""

    def find(self, name: str) -> Upstream | None:
        """Return the upstream of that name."""

    def mark(self, name: str, state: UpstreamState, source: str) -> None:
        """Record an observed state."""

    def record_answer(self, name: str, draining: bool | None) -> None:
        """Record an answer; `draining` is None if it is not reported."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of an upstream."""

    def probing_hosts(self) -> Sequence[str]:
        """Return the hosts that probe, including this one."""


class Probes:
    """Probe the state of upstreams at a bounded rate.

    A dead upstream is probed with exponential backoff until it answers. The
    live engines are distributed over the hosts, `PROBERS_PER_ENGINE` hosts
    for each, so that some host notices when an engine starts to drain and
    tells its peers.
    """

    def __init__(
        self,
        upstreams: ProbeTargets,
        clock: Clock,
        http: HttpClient,
        rng: random.Random,
        host: str,
    ) -> None:
        """Probe the upstreams that `upstreams` returns, as `host`."""
        self._upstreams = upstreams
        self._clock = clock
        self._http = http
        self._random = rng
        self._host = host
        self._rechecks: dict[str, _Recheck] = {}
        self._due_s: dict[str, float] = {}
        self._unanswered: dict[str, int] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._probing_hosts: list[str] = []
        self._is_stale = True
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start probing."""
        self._upstreams.on_change(self._invalidate_targets)
        self._task = start_task(
            "probes of upstreams", self._keep_probing, self._clock
        )

    async def stop(self) -> None:
        """Cancel all probes."""
        await end_task(self._task)
        for task in list(self._running.values()):
            await end_task(task)

    def _invalidate_targets(self) -> None:
        self._is_stale = True

    async def _keep_probing(self) -> None:
        while True:
            self._update_targets()
            now_s = self._clock.monotonic()
            for name, recheck in self._rechecks.items():
                if recheck.due_s <= now_s and self._start_probe(name):
                    self._schedule_recheck(recheck, now_s)
            interval_s = _interval_s(len(self._due_s))
            for name, due_s in self._due_s.items():
                if due_s <= now_s and self._start_probe(name):
                    jitter = self._random.uniform(0.8, 1.2)
                    self._due_s[name] = now_s + interval_s * jitter
            await self._clock.sleep(CHECK_INTERVAL_S)

    def _update_targets(self) -> None:
        """Recompute which upstreams to probe, if anything changed."""
        probing_hosts = sorted(self._upstreams.probing_hosts())
        if not self._is_stale and probing_hosts == self._probing_hosts:
            return
        self._is_stale = False
        self._probing_hosts = probing_hosts
        now_s = self._clock.monotonic()
        upstreams = self._upstreams.all()
        self._rechecks = {
            upstream.name: self._recheck_for(upstream, now_s)
            for upstream in upstreams
            if upstream.state != "live"
        }
        watched = [
            upstream.name
            for upstream in upstreams
            if upstream.kind == "engine"
            and upstream.state == "live"
            and _is_prober(self._host, upstream.name, probing_hosts)
        ]
        interval_s = _interval_s(len(watched))
        self._due_s = {
            name: self._due_s.get(
                name, now_s + interval_s * self._random.random()
            )
            for name in watched
        }

    def _recheck_for(self, upstream: Upstream, now_s: float) -> _Recheck:
        recheck = self._rechecks.get(upstream.name)
        if recheck is not None and recheck.state == upstream.state:
            return recheck
        first_s = FIRST_RETRY_S if upstream.state == "dead" else LEAVING_HOLD_S
        due_s = now_s + first_s * self._random.uniform(0.8, 1.2)
        return _Recheck(upstream.state, due_s, first_s)

    def _schedule_recheck(self, recheck: _Recheck, now_s: float) -> None:
        if recheck.state == "dead":
            recheck.delay_s = min(recheck.delay_s * 2, MAX_RETRY_S)
        recheck.due_s = now_s + recheck.delay_s * self._random.uniform(
            0.8, 1.2
        )

    def _start_probe(self, name: str) -> bool:
        """Start a probe and return whether it started.

        It does not if another probe of the upstream is running, or too many
        probes are.
        """
        if (
            name in self._running
            or len(self._running) >= MAX_CONCURRENT_PROBES
        ):
            return False
        task = asyncio.create_task(self._probe(name))
        self._running[name] = task
        task.add_done_callback(lambda _: self._running.pop(name, None))
        return True

    async def _probe(self, name: str) -> None:
        upstream = self._upstreams.find(name)
        if upstream is None:
            return
        fresh = upstream.state == "dead" or self._unanswered.get(name, 0) > 0
        try:
            answer = await self._http.call(
                "GET",
                f"http://{upstream.address}/v1/state",
                timeout_ms=PROBE_TIMEOUT_MS,
                connect_ms=CONNECT_TIMEOUT_MS,
                fresh=fresh,
            )
        except CallError as error:
            self._record_failure(name, error)
            return
        self._unanswered.pop(name, None)
        current = self._upstreams.find(name)
        if current is not None and current.address == upstream.address:
            self._upstreams.record_answer(name, _decode_draining(answer))

    def _record_failure(self, name: str, error: CallError) -> None:
        unanswered = self._unanswered.get(name, 0) + 1
        self._unanswered[name] = unanswered
        if not error.sent or unanswered >= MAX_UNANSWERED:
            self._unanswered.pop(name, None)
            self._upstreams.mark(name, "dead", "probe")


def _interval_s(watched: int) -> float:
    """Return the interval between two probes of one engine."""
    return max(MIN_INTERVAL_S, watched / PROBES_PER_S)


def _is_prober(host: str, upstream: str, probing_hosts: Sequence[str]) -> bool:
    """Return whether `host` is one of the probers of an engine."""
    if len(probing_hosts) <= PROBERS_PER_ENGINE:
        return True
    first = zlib.crc32(upstream.encode())
    return any(
        probing_hosts[(first + number) % len(probing_hosts)] == host
        for number in range(PROBERS_PER_ENGINE)
    )


def _decode_draining(answer: Answer) -> bool | None:
    """Return whether the upstream drains; None if it is not reported."""
    if answer.status != _OK:
        return None
    try:
        return answer.decode(EngineState).draining
    except msgspec.MsgspecError:
        return None
