"""Runs in which upstreams are processes that are stopped and go on."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import os
import random
import signal
import sys
import time
from asyncio.subprocess import PIPE, Process
from collections import Counter
from pathlib import Path

import attrs

from balsamlift._address import split_address
from balsamlift._tasks import end_task
from balsamlift.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.testing.platform import KeyedStore
from soak.callers import OK, CallerRequest, send
from soak.configuration import MAIN, configuration
from soak.exits import ExitChecker
from soak.guarantees import CallerOutcome, GuaranteeChecker
from soak.hosts import STAND_INS, Host
from soak.network import Network
from soak.stop_plan import DEADLINE_MS, STOPS, Step, StopPlan
from soak.upstreams import UPSTREAMS

TESTS = Path(__file__).parent.parent
ENTRY_TTL_S = 3.6  # three heartbeats, after which the store drops an entry
RETURN_S = 0.3  # until an upstream that goes on has written its entry again
DRAIN_S = 2.0  # `DrainMs` of the hosts
CONTACT_S = 3.0  # `ContactMs` of the hosts, which counts from an outage's end
PLACES_BESIDE = 2  # requests that may lie unread beside those that have places
LATE_READ_S = 0.5  # after an upstream has gone on, for what lay unread
RECONNECT_S = 0.1
SLACK_S = 1.0  # of callers and hosts on a busy machine


@attrs.define(eq=False)
class Upstream:
    """An upstream process, as the run sees it."""

    name: str
    service: str
    number: int
    process: Process
    address: str = ""
    is_listed: bool = False
    gone_s: float | None = None  # since when the list lacks it or it drains
    stopped_s: float | None = None
    went_on_s: float = 0.0
    ends: bool = False
    late: list[str] = attrs.field(factory=list)  # read of one absence


class StopRun:
    """Hosts, upstream processes and callers of one run."""

    def __init__(self, plan: StopPlan, folder: Path) -> None:
        """Prepare; `run` starts the processes."""
        self._plan = plan
        self._folder = folder
        self._random = random.Random(plan.seed)
        self._network = Network()
        self._store = KeyedStore(self._network.ip(STAND_INS))
        self._numbers = itertools.count()
        self._updates = itertools.count(1)
        self._version = 0
        self._upstreams: list[Upstream] = []
        self._cut: set[str] = set()  # runs at upstreams that ended
        self._runs: dict[str, Upstream] = {}
        self._readers: list[asyncio.Task[None]] = []
        self._is_over = False
        self._contact_s = 0.0  # from which hosts are in contact with the store
        self.checker = GuaranteeChecker()
        self._exits = ExitChecker(STOPS.grace_s, self.checker.report_violation)
        self._exiting: set[Host] = set()
        self._late_hosts: Counter[Host] = Counter()  # by stops not long ago
        self.late_reads: list[int] = []  # of each absence of an upstream
        self.dropped = 0  # late reads whose connection was closed by then
        self.outcomes: list[CallerOutcome] = []

    async def run(self) -> None:
        """Start everything, follow the plan and check what was seen."""
        await self._store.start()
        await asyncio.gather(
            *(
                self._add(service)
                for service, count in STOPS.services.items()
                for _ in range(count)
            )
        )
        self._upstreams.sort(key=lambda upstream: upstream.number)
        self._configure()
        hosts = [
            Host(
                n,
                self._folder,
                self._store,
                self._network,
                self._plan.tree,
                STOPS,
            )
            for n in range(self._plan.hosts)
        ]
        self.hosts = hosts
        try:
            for host in hosts:
                await host.start()
            await self._until_ready(hosts)
            await self._play()
        finally:
            for host in hosts:
                await host.stop()
            for upstream in self._upstreams:
                self._kill(upstream)
                await upstream.process.wait()
            await asyncio.gather(*self._readers)
            await self._store.stop()
            self._network.release()

    async def _until_ready(self, hosts: list[Host]) -> None:
        async with asyncio.timeout(30):
            for host in hosts:
                for kind in ("non_idempotent", "stream"):
                    while await self._ask(host, kind) != 200:
                        await asyncio.sleep(0.1)

    async def _ask(self, host: Host, kind: str) -> int:
        try:
            reader, writer = await self._connect(host)
        except OSError:
            return 0
        outcome, _ = await send(self._draw(kind), reader, writer)
        writer.close()
        return outcome.status

    async def _connect(
        self, host: Host
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        ip, port = split_address(host.address("Frontend"))
        return await asyncio.open_connection(ip, port)

    async def _play(self) -> None:
        callers = [
            asyncio.create_task(self._call(keeps_always=bool(n % 2)))
            for n in range(self._plan.callers)
        ]
        began_s = time.monotonic()
        tasks = [asyncio.create_task(self._send_calls())]
        heartbeats = asyncio.create_task(self._send_heartbeats())
        for step in self._plan.steps:
            await asyncio.sleep(began_s + step.at_s - time.monotonic())
            tasks.append(asyncio.create_task(self._do(step)))
        await asyncio.sleep(began_s + self._plan.length_s - time.monotonic())
        await asyncio.gather(*tasks)
        await end_task(heartbeats)
        self._is_over = True
        await asyncio.gather(*callers)
        await asyncio.sleep(LATE_READ_S)
        for upstream in self._upstreams:
            self._end_absence(upstream)
        self._exits.check(SLACK_S / 2)

    # Events

    async def _do(self, step: Step) -> None:
        members = [
            u
            for u in self._upstreams
            if u.service == step.service and not u.ends
        ]
        target = members[step.target % len(members)]
        match step.kind:
            case "stop":
                await self._stop(target, step.duration_s)
            case "stop_all":
                await asyncio.gather(
                    *(self._stop(each, step.duration_s) for each in members)
                )
            case "drain" | "unlist" if len(members) > 2:
                await self._leave(target, says_so=step.kind == "drain")
            case "configure":
                self._configure()
            case "hup":
                for host in self.hosts:
                    host.reload_settings()
            case "stop_host":
                await self._stop_host(
                    self.hosts[step.target % len(self.hosts)], step.duration_s
                )
            case "silence_store":
                await self._silence_store(step.duration_s)
            case "term":
                await self._terminate(
                    self.hosts[step.target % len(self.hosts)]
                )

    async def _silence_store(self, duration_s: float) -> None:
        self._store.fault = "silent"
        self._contact_s = math.inf
        await asyncio.sleep(duration_s)
        self._store.fault = ""
        self._contact_s = time.monotonic() + CONTACT_S

    async def _send_heartbeats(self) -> None:
        """Renew the entries of the upstreams one after the other."""
        if self._plan.heartbeat_s is None:
            return
        while True:
            for upstream in list(self._upstreams):
                pause_s = self._plan.heartbeat_s / len(self._upstreams)
                await asyncio.sleep(pause_s)
                is_lost = self._store.fault or not upstream.is_listed
                if not (is_lost or upstream.ends or upstream.stopped_s):
                    self._list(upstream, "ready")

    async def _terminate(self, host: Host) -> None:
        if host in self._exiting:
            return
        self._exiting.add(host)
        self._exits.record_signal(host.ip)
        await host.terminate()
        self._exiting.discard(host)

    async def _stop_host(self, host: Host, duration_s: float) -> None:
        self._late_hosts[host] += 1
        await host.freeze(duration_s)
        await asyncio.sleep(DEADLINE_MS / 1_000)  # of what it has read late
        self._late_hosts[host] -= 1

    async def _stop(self, upstream: Upstream, duration_s: float) -> None:
        """Stop a process; the store drops its entry after a while."""
        if upstream.stopped_s is not None or upstream.ends:
            return
        upstream.stopped_s = time.monotonic()
        upstream.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(min(duration_s, ENTRY_TTL_S))
        is_unlisted = duration_s > ENTRY_TTL_S and not upstream.ends
        if is_unlisted:
            self._unlist(upstream)
            await asyncio.sleep(duration_s - ENTRY_TTL_S)
        upstream.process.send_signal(signal.SIGCONT)
        upstream.went_on_s = time.monotonic()
        upstream.stopped_s = None
        await asyncio.sleep(RETURN_S)
        if is_unlisted and not upstream.ends:
            self._list(upstream, "ready")

    async def _leave(self, upstream: Upstream, *, says_so: bool) -> None:
        upstream.ends = True
        if says_so:
            self._list(upstream, "draining")
        else:
            self._unlist(upstream)
        await self._add(upstream.service)
        await asyncio.sleep(self._plan.serves_on_s)
        while upstream.stopped_s is not None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(LATE_READ_S)
        self._end_absence(upstream)
        self._kill(upstream)

    def _kill(self, upstream: Upstream) -> None:
        upstream.ends = True
        self._unlist(upstream)
        self._cut |= {r for r, u in self._runs.items() if u is upstream}
        self._exits.record_upstream_end(upstream.name)
        if upstream.process.returncode is None:
            upstream.process.kill()

    # The list and the configuration

    async def _add(self, service: str) -> None:
        plan = self._plan
        number = next(self._numbers)
        name = f"{service}-{number}"
        ip = self._network.ip(UPSTREAMS)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "soak.upstream_process", name, service),
            *(ip, f"{plan.slots}", f"{plan.work_s}", f"{plan.seed}"),
            env={**os.environ, "PYTHONPATH": str(TESTS)},
            stdout=PIPE,
        )
        upstream = Upstream(name, service, number, process)
        assert process.stdout is not None
        ready = json.loads(await process.stdout.readline())
        upstream.address = ready["ready"]
        self._upstreams.append(upstream)
        self._readers.append(asyncio.create_task(self._read(upstream)))
        self._list(upstream, "ready")

    def _list(self, upstream: Upstream, state: str) -> None:
        if state == "ready":
            self._end_absence(upstream)
        elif upstream.gone_s is None:
            upstream.gone_s = time.monotonic()
        fields = {
            "Service": upstream.service,
            "Address": upstream.address,
            "Zone": "north",
            "Version": "v1",
            "Slots": self._plan.slots,
            "LifecycleState": state,
            "Sequence": next(self._updates),
            "ColdRemainingMs": 0,
        }
        topic = self._store.topic(UPSTREAMS_TOPIC)
        topic.append(upstream.name, json.dumps(fields).encode())
        upstream.is_listed = True

    def _unlist(self, upstream: Upstream) -> None:
        if not upstream.is_listed:
            return
        upstream.is_listed = False
        if upstream.gone_s is None:
            upstream.gone_s = time.monotonic()
        self._store.topic(UPSTREAMS_TOPIC).append(upstream.name, b"")

    def _configure(self) -> None:
        self._version += 1
        self._store.topic(CONFIGURATION_TOPIC).append(
            CONFIGURATION_KEY, configuration(self._version, STOPS.times)
        )

    # What upstreams see

    async def _read(self, upstream: Upstream) -> None:
        stdout = upstream.process.stdout
        assert stdout is not None
        while line := await stdout.readline():
            event = json.loads(line)
            if "read" in event:
                self._record_read(upstream, event)
            else:
                self._record_end(upstream, event)

    def _record_end(
        self, upstream: Upstream, event: dict[str, object]
    ) -> None:
        is_dropped = "dropped" in event
        request_id = str(event["dropped" if is_dropped else "ended"])
        self.dropped += is_dropped and request_id in upstream.late
        self._runs.pop(request_id, None)
        self._exits.record_run_end(request_id, upstream.name, is_broken=False)

    def _record_read(
        self, upstream: Upstream, event: dict[str, object]
    ) -> None:
        request_id, at_s = str(event["read"]), event["at_s"]
        assert isinstance(at_s, float)
        self._runs[request_id] = upstream
        self._exits.record_run(request_id, upstream.name)
        self.checker.record_run(
            request_id,
            str(event["workspace"]),
            has_key=False,
            resumes=bool(event["resumes"]),
        )
        if upstream.gone_s is None:
            return
        if at_s < max(upstream.gone_s + DRAIN_S, self._contact_s):
            return
        upstream.late.append(request_id)
        lay_unread = at_s < upstream.went_on_s + LATE_READ_S
        if not lay_unread and upstream.stopped_s is None:
            self.checker.report_violation(
                "drain", request_id, f"reached {upstream.name}, which is gone"
            )

    def _end_absence(self, upstream: Upstream) -> None:
        """Hold what was read late against what may lie unread."""
        upstream.gone_s = None
        late, upstream.late = upstream.late, []
        if not late:
            return
        self.late_reads.append(len(late))
        most = self._plan.slots + PLACES_BESIDE
        if len(late) > most:
            self.checker.report_violation(
                "unread",
                upstream.name,
                f"read {len(late)} late, {most} may be",
            )

    # Callers

    def _draw(self, kind: str = "") -> CallerRequest:
        shares = STOPS.shares
        if not kind:
            (kind,) = self._random.choices(list(shares), shares.values())
        request = CallerRequest(
            request_id=f"{kind}-{next(self._numbers)}",
            kind=kind,
            deadline_ms=DEADLINE_MS,
        )
        self.checker.record_request(request.request_id, MAIN, request.max_runs)
        self.checker.record_upstream_answer(
            request.request_id, 200, request.request_id.encode()
        )
        return request

    async def _call(self, *, keeps_always: bool) -> None:
        """Send requests one after the other, on a connection that is kept.

        Some callers go on with it after a response that says it is the last.
        """
        while not self._is_over:
            host = self._random.choice(self.hosts)
            try:
                reader, writer = await self._connect(host)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            keeps = True
            while keeps and not self._is_over:
                outcome, keeps = await self._send(host, reader, writer)
                keeps |= keeps_always and outcome.is_whole
            writer.close()

    async def _send_calls(self) -> None:
        """Send calls at a rate, each on a connection of its own."""
        calls: set[asyncio.Task[None]] = set()
        if not self._plan.calls_per_s:
            return
        until_s = time.monotonic() + self._plan.length_s
        while time.monotonic() < until_s:
            call = asyncio.create_task(self._send_call())
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(
                self._random.expovariate(self._plan.calls_per_s)
            )
        await asyncio.gather(*calls)

    async def _send_call(self) -> None:
        host = self._random.choice(self.hosts)
        try:
            reader, writer = await self._connect(host)
        except OSError:
            return
        kind = self._random.choice(("idempotent", "non_idempotent"))
        await self._send(host, reader, writer, kind)
        writer.close()

    async def _send(
        self,
        host: Host,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: str = "",
    ) -> tuple[CallerOutcome, bool]:
        """Return the outcome of a request and whether to keep a connection."""
        request = self._draw(kind)
        deadline_s = request.deadline_ms / 1_000
        self._exits.record_request(request.request_id, host.ip, deadline_s)
        sent_s = time.monotonic()
        outcome, keeps = await send(request, reader, writer)
        took_s = time.monotonic() - sent_s
        self._exits.record_end(request.request_id, is_whole=outcome.is_whole)
        self.outcomes.append(outcome)
        self.checker.check_outcome(outcome)
        if not outcome.is_whole:
            self._check_end(host, request.request_id, took_s)
        elif outcome.status != OK:
            await asyncio.sleep(RECONNECT_S)
        return outcome, keeps

    def _check_end(self, host: Host, request_id: str, took_s: float) -> None:
        """Report a request without an answer, unless its host is exiting."""
        deadline_s = DEADLINE_MS / 1_000
        is_excused = host in self._exiting or request_id in self._cut
        if self._late_hosts[host]:
            return
        if took_s > deadline_s + SLACK_S / 2:
            self.checker.report_violation(
                "late", request_id, f"no answer in {took_s:.2f} s"
            )
        elif took_s < deadline_s - SLACK_S / 2 and not is_excused:
            self.checker.report_violation(
                "lost", request_id, f"ended after {took_s:.2f} s"
            )
