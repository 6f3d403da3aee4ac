"""Upstreams that fail at random and record what they execute."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Literal

import attrs

from balsamlift.platform._names import HEADERS
from balsamlift.testing._link import Link, LinkFaults
from balsamlift.testing._settings import LinkSettings
from balsamlift.testing.relay import (
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)
from soak.crashing_parts import CrashingParts
from soak.exits import ExitChecker
from soak.floods import send_without_end
from soak.guarantees import GuaranteeChecker, stream_event
from soak.host_links import HostLinks
from soak.network import Network
from soak.rate_limits import RateLimitChecker
from soak.retries import RetryChecker
from soak.statements import StatementChecker

NO_FAULTS = attrs.asdict(LinkFaults())
EVENT_GAP_S = 0.01
PACE_STEP_S = 0.05  # after which an upstream looks at its pace again
CHECK_PREFIX = "check-"  # of the ids of a run's own requests
CHECK_WORK_S = 0.04
CRASH_DELAY_S = 0.02  # after the head of the response
CRASH_END_S = 0.04  # in which an engine that crashes has ended
UPSTREAM_HEADER = "Answered-By"  # passed on to the caller
UPSTREAMS = 252  # the number of their IP address

# How an upstream gives notice in its answers.
NoticeForm = Literal["always", "alternate", "twice"]


class Upstreams:
    """The upstreams of a run, each behind a link of its own."""

    def __init__(
        self,
        guarantees: GuaranteeChecker,
        rate_limits: RateLimitChecker,
        statements: StatementChecker,
        retries: RetryChecker,
        crashing_parts: CrashingParts,
        rng: random.Random,
        network: Network,
        on_crash: Callable[[str], None],
        exits: ExitChecker,
        max_work_s: float,
        event_gap_s: float = EVENT_GAP_S,
    ) -> None:
        """Report each executed request to `guarantees`.

        Calls `on_crash` with the name of an engine that begins to answer a
        prompt which crashes it.
        """
        self._exits = exits
        self._max_work_s = max_work_s
        self._event_gap_s = event_gap_s
        self._slow_factor = 1.0
        self._slow_until_s = 0.0
        self._silent_until_s: dict[str, float] = {}
        self._crashing_parts = crashing_parts
        self._on_crash = on_crash
        self._network = network
        self.guarantees = guarantees
        self.rate_limits = rate_limits
        self.statements = statements
        self.retries = retries
        self._refuses_until_s: dict[str, float] = {}
        self._hangs_until_s: dict[str, float] = {}
        self._floods: dict[str, tuple[float, int]] = {}  # end, variant
        self._notices: dict[str, NoticeForm] = {}
        self.is_fault_free = False  # no upstream fails at random
        self.live: dict[str, tuple[ReplicaStandIn, Link]] = {}
        self._random = rng
        self.host_links: list[HostLinks] = []
        self._numbers = itertools.count()
        self._turns = itertools.count()

    async def add(self, service: str) -> str:
        """Start an upstream and return its name."""
        name = f"{service}-{next(self._numbers)}"
        await self._start(name, service)
        return name

    async def restart(self, name: str) -> None:
        """Start an upstream again under its id, on another address."""
        if name not in self.live:
            return
        service = self.service(name)
        await self.stop(name)
        self._notices.pop(name, None)
        self.statements.exempt_incarnation(name)
        await self._start(name, service)

    async def _start(self, name: str, service: str) -> None:
        replica = ReplicaStandIn(
            name, service, HEADERS, ip=self._network.ip(UPSTREAMS)
        )
        work = self._stream if service == "model" else self._answer

        async def behave(
            connection: ReplicaConnection, request: ReplicaRequest
        ) -> None:
            connection.statements[UPSTREAM_HEADER] = name
            request_id = request.headers[HEADERS.request_id]
            self.rate_limits.record_arrival(name, request_id)
            self.statements.record_arrival(name, request_id)
            self.retries.record_arrival(service, request_id)
            self._crashing_parts.record_arrival(request_id)
            self._say(name, connection)
            await self._hang(name)
            if await self._refuse(name, connection, request):
                return
            await self._flood(name, connection, request)
            is_broken = False  # not by a host that closes its connection
            try:
                is_broken = await work(connection, request)
            finally:
                self._exits.record_run_end(
                    request_id, name, is_broken=is_broken
                )

        replica.behave = behave
        await replica.start()
        address = self._network.any_port(UPSTREAMS)
        link = Link(
            LinkSettings(
                name=name,
                address=address,
                target_address=replica.address,
                control_address=address,
            )
        )
        await link.start()
        self.live[name] = (replica, link)
        for links in self.host_links:
            await links.add(self.address(name))

    def address(self, name: str) -> str:
        """Return the address of the link to an upstream."""
        return str(self.live[name][1].ready()["address"])

    def service(self, name: str) -> str:
        """Return the service that an upstream belongs to, or belonged to."""
        return name.rpartition("-")[0]

    def set_link(self, name: str, faults: dict[str, object]) -> None:
        """Replace the faults of the link to an upstream."""
        self.rate_limits.exempt_upstream(name)
        self.statements.exempt_upstream(name)
        if name in self.live:
            self.live[name][1].control.update({**NO_FAULTS, **faults})

    def set_rate_limit(self, name: str, limit_per_s: float | None) -> None:
        """Let an upstream name a rate limit in its answers, or none."""
        if name in self.live:
            self.live[name][0].rate_limit = (
                "" if limit_per_s is None else f"{limit_per_s}"
            )
            self.rate_limits.set_limit(name, limit_per_s)

    def give_notice(self, name: str, form: NoticeForm = "always") -> None:
        """Let an upstream say in its answers that it is leaving."""
        self._notices[name] = form

    def _say(self, name: str, connection: ReplicaConnection) -> None:
        """Add the notice of an upstream to its next answer."""
        form = self._notices.get(name)
        if form is None or (form == "alternate" and next(self._turns) % 2):
            return
        for _ in range(2 if form == "twice" else 1):
            connection.statements.add(HEADERS.leaving, "1")

    def hang(self, name: str, duration_s: float) -> None:
        """Let an upstream answer nothing for a while."""
        now_s = asyncio.get_running_loop().time()
        self._hangs_until_s[name] = now_s + duration_s

    async def _hang(self, name: str) -> None:
        now_s = asyncio.get_running_loop().time()
        left_s = self._hangs_until_s.get(name, 0.0) - now_s
        if left_s > 0 and not self.is_fault_free:
            await asyncio.sleep(left_s)

    def slow_down(self, factor: float, duration_s: float) -> None:
        """Let all upstreams take `factor` times as long for a while."""
        now_s = asyncio.get_running_loop().time()
        self._slow_factor = factor
        self._slow_until_s = max(self._slow_until_s, now_s + duration_s)

    def be_silent(self, name: str, duration_s: float) -> None:
        """Let an upstream stop between two events for a while."""
        now_s = asyncio.get_running_loop().time()
        self._silent_until_s[name] = now_s + duration_s

    async def _work(self, name: str, duration_s: float) -> None:
        """Work at the pace of this moment, again and again."""
        loop = asyncio.get_running_loop()
        while duration_s > 0:
            silent_s = self._silent_until_s.get(name, 0.0) - loop.time()
            await asyncio.sleep(max(silent_s, 0.0))
            is_slow = loop.time() < self._slow_until_s
            step_s = min(duration_s, PACE_STEP_S)
            await asyncio.sleep(step_s * (self._slow_factor if is_slow else 1))
            duration_s -= step_s

    def flood(self, name: str, duration_s: float, variant: int) -> None:
        """Let an upstream answer without end for a while."""
        now_s = asyncio.get_running_loop().time()
        self._floods[name] = now_s + duration_s, variant

    async def _flood(
        self, name: str, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        """Send without end if an upstream does, until its caller closes."""
        now_s = asyncio.get_running_loop().time()
        until_s, variant = self._floods.get(name, (0.0, 0))
        if now_s < until_s and not self.is_fault_free:
            self._begin(request)
            await send_without_end(connection, request, variant)

    def refuse(self, name: str, duration_s: float) -> None:
        """Let an upstream refuse, and ask for no requests meanwhile."""
        now_s = asyncio.get_running_loop().time()
        self._refuses_until_s[name] = now_s + duration_s

    async def _refuse(
        self, name: str, connection: ReplicaConnection, request: ReplicaRequest
    ) -> bool:
        """Refuse a request if its upstream does; return whether it did."""
        now_s = asyncio.get_running_loop().time()
        left_s = self._refuses_until_s.get(name, 0.0) - now_s
        if left_s <= 0 or self.is_fault_free:
            return False
        connection.statements["Retry-After"] = f"{left_s:.2f}"
        self.statements.record_refusal(
            name, request.headers[HEADERS.request_id], left_s
        )
        await connection.refuse(request)
        return True

    async def stop(self, name: str) -> None:
        """Stop an upstream at once."""
        address = self.address(name)
        self._exits.record_upstream_end(name)
        replica, link = self.live.pop(name)
        for links in self.host_links:
            await links.remove(address)
        await link.stop()
        await replica.stop()

    async def stop_all(self) -> None:
        """Stop all upstreams."""
        for name in list(self.live):
            await self.stop(name)

    def _draw_work_s(self, request_id: str) -> float:
        """Return how long to work; only briefly on a check of this run."""
        is_check = request_id.startswith(CHECK_PREFIX)
        longest_s = CHECK_WORK_S if is_check else self._max_work_s
        return self._random.uniform(0, longest_s)

    def _draw_chance(self) -> float:
        return 1.0 if self.is_fault_free else self._random.random()

    def _begin(self, request: ReplicaRequest) -> str:
        request_id = request.headers[HEADERS.request_id]
        self.guarantees.record_run(
            request_id,
            request.headers.get(HEADERS.workspace, ""),
            has_key="Authorization" in request.headers,
            resumes=HEADERS.resume_source in request.headers,
        )
        name = request.headers[HEADERS.expected_incarnation]
        self._exits.record_run(request_id, name)
        return request_id

    async def _answer(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> bool:
        """Answer a call; return whether its answer was broken off."""
        chance = self._draw_chance()
        if chance < 0.04:
            await connection.refuse(request)
            return False
        request_id = self._begin(request)
        name = request.headers[HEADERS.expected_incarnation]
        await self._work(name, self._draw_work_s(request_id))
        body = f"{request_id} at {len(self.guarantees.outcomes)}".encode()
        if chance < 0.06:
            connection.reset()
        elif chance < 0.08:
            await connection.head(request, 200, "Content-Length: 500")
            await connection.send(body)
            connection.reset()
        else:
            status = 500 if chance < 0.12 else 200
            self.guarantees.record_upstream_answer(request_id, status, body)
            await connection.answer(request, body, status)
            if chance > 0.97 and not self.is_fault_free:
                await connection.answer(request, b"a second answer")
        return chance < 0.08

    async def _stream(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> bool:
        """Send a stream; return whether it was broken off."""
        chance = self._draw_chance()
        resumes = HEADERS.resume_source in request.headers
        if chance < (0.5 if resumes else 0.04):
            await connection.refuse(request)
            return False
        request_id = self._begin(request)
        name = request.headers[HEADERS.expected_incarnation]
        first = int(request.headers.get(HEADERS.last_event_id, "-1")) + 1
        is_unframed = self._crashing_parts.is_unframed(request_id)
        if is_unframed:
            await connection.head(
                request, 200, "Content-Type: text/event-stream"
            )
        else:
            await connection.begin_stream(request)
        await self._crash_on(request)
        last = self.guarantees.last_event(request_id)
        for number in range(first, last + 1):
            data = stream_event(request_id, number)
            await (connection.send if is_unframed else connection.chunk)(data)
            await self._work(name, self._event_gap_s)
            if chance < 0.08 and number > first + 3:
                if is_unframed:  # its end would show nothing between events
                    await connection.send(b"id: ")
                connection.reset()
                return True
        if is_unframed:
            connection.writer.close()
        else:
            await connection.end_stream()
        return False

    async def _crash_on(self, request: ReplicaRequest) -> None:
        """Crash the engine if a part of the prompt does so."""
        header = request.headers.get(HEADERS.prompt_parts, "")
        part = self._crashing_parts.find(header)
        if not part:
            return
        await asyncio.sleep(CRASH_DELAY_S)
        self._crashing_parts.record_crash(part)
        expected = request.headers[HEADERS.expected_incarnation]
        self._on_crash(expected)
        await asyncio.sleep(CRASH_END_S)
