"""Discrete-event simulation of several hosts and engine models."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

from balsamlift.exceptions import RefusedError
from balsamlift.placement import LoadReport, Policy, Scheduler, Ticket
from balsamlift.placement._engine import Engine
from balsamlift.testing._engine_model import EngineModel
from balsamlift.testing._engine_types import EngineParameters, Work
from balsamlift.testing._experiment_measure import Recorder, Request
from balsamlift.testing._experiment_nodes import SimulatedEngine, SimulatedHost
from balsamlift.testing._experiment_workload import (
    POOL,
    Arrival,
    Deployment,
)
from balsamlift.testing._prefix_cache import CacheEvent

TICK_MS = 50.0  # interval at which a host checks its queues
PEER_COUNTS_MS = 1_000.0  # interval at which hosts exchange their counts
LOAD_POLL_MS = 1_000.0  # interval at which a host polls an engine's load
REPORT_LAG_MS = 500.0  # age of the load that an engine reports, at least
CACHE_LAG_MS = 2_000.0
CACHE_LOSS = 0.05
LOSS_DETECTION_MS = 1_500.0  # until the loss of a domain is known
LEAVING_DETECTION_MS = 500.0  # until all hosts know that an engine is leaving
ENGINE_RETRY_MS = 500.0  # retry delay that a refusing engine asks for
CLOCK_SKEW_MS = 50.0  # standard deviation between the hosts
DRAIN_STEP_MS = 1_000.0
MAX_ATTEMPTS = 3  # engines tried per dispatch


class Simulation:
    """Run hosts and engines from one heap of scheduled calls."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        recorder: Recorder,
        seed: int,
    ) -> None:
        """Start idle at time 0."""
        self.now_ms = 0.0
        self.recorder = recorder
        self.random = Random(seed)
        parameters = EngineParameters()
        self.engines = [
            SimulatedEngine(i, EngineModel(parameters))
            for i in range(deployment.engines)
        ]
        self.hosts = [
            SimulatedHost(i, Scheduler(policy, seed * 1_000 + i + 1))
            for i in range(deployment.hosts)
        ]
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._call_count = 0
        self._engine_names = [engine.name for engine in self.engines]
        for host in self.hosts:
            self._set_engines(host)
        self._schedule_periodic_tasks()

    def schedule(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        self._call_count += 1
        heapq.heappush(self._scheduled, (at_ms, self._call_count, call))

    def run(self, until_ms: float) -> None:
        """Make all scheduled calls up to a time."""
        while self._scheduled and self._scheduled[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._scheduled)
            call()
        self.now_ms = until_ms

    def drain(self, until_ms: float) -> None:
        """Run until every request has ended, or up to a time."""
        while self.now_ms < until_ms:
            if all(r.outcome for r in self.recorder.requests):
                return
            self.run(self.now_ms + DRAIN_STEP_MS)

    def add_arrivals(self, arrivals: Iterable[Arrival]) -> None:
        """Schedule the arrival of requests."""
        for arrival in arrivals:
            request = Request(arrival)
            self.recorder.requests.append(request)
            self.schedule(arrival.at_ms, partial(self._arrive, request))

    # Fault injection.

    def slow(self, index: int, factor: float) -> None:
        """Multiply the duration of an engine's steps."""
        self.engines[index].slow_factor = factor

    def reclaim(self, index: int, notice_ms: float) -> None:
        """Make an engine leave now and fail when its notice ends."""
        engine = self.engines[index]
        engine.leaving = True
        self.schedule(
            self.now_ms + LEAVING_DETECTION_MS,
            lambda: self._remove_engines([engine]),
        )
        self.schedule(
            self.now_ms + notice_ms, lambda: self._fail_engine(engine)
        )

    def lose_domain(self, domain: int) -> None:
        """Fail the engines and the hosts of a failure domain."""
        for host in self.hosts:
            host.dead = host.dead or host.domain == domain
        lost = [e for e in self.engines if e.domain == domain]
        for engine in lost:
            engine.dead = True
        self.schedule(
            self.now_ms + LOSS_DETECTION_MS, lambda: self._handle_loss(lost)
        )

    def _handle_loss(self, lost: list[SimulatedEngine]) -> None:
        live = sum(not host.dead for host in self.hosts)
        for host in self.hosts:
            host.scheduler.hosts = live
        self._remove_engines(lost)
        for engine in lost:
            self._fail_engine(engine)

    def _remove_engines(self, engines: list[SimulatedEngine]) -> None:
        gone = {engine.name for engine in engines}
        self._engine_names = [
            name for name in self._engine_names if name not in gone
        ]
        for host in self.hosts:
            self._set_engines(host)

    def _fail_engine(self, engine: SimulatedEngine) -> None:
        engine.dead = True
        self._remove_engines([engine])
        lost = list(engine.requests.values())
        engine.requests.clear()
        for request in lost:
            self._handle_engine_loss(request)

    def _handle_engine_loss(self, request: Request) -> None:
        host = self.hosts[request.host]
        ticket = host.by_request.get(request.arrival.placement_request.key)
        if request.tokens or ticket is None or host.dead:
            self._end(request, "failed", "engine_lost")
            return
        if not host.scheduler.may_retry():
            self._end(request, "failed", "engine_lost")
            return
        self._dispatch(host, ticket, frozenset())

    # Periodic tasks of hosts and engines.

    def _schedule_periodic_tasks(self) -> None:
        for host in self.hosts:
            host.scheduler.hosts = len(self.hosts)
            host.scheduler.wall_offset_ms = self.random.gauss(0, CLOCK_SKEW_MS)
            phase = self.random.random()
            self._schedule_periodic(TICK_MS, phase, partial(self._tick, host))
            self._schedule_periodic(
                PEER_COUNTS_MS,
                phase,
                partial(self._share_expected_tokens, host),
            )
            for engine in self.engines:
                self._schedule_periodic(
                    LOAD_POLL_MS,
                    self.random.random(),
                    partial(self._poll, host, engine),
                )
        for engine in self.engines:
            self._schedule_periodic(
                REPORT_LAG_MS,
                self.random.random(),
                partial(self._publish_report, engine),
            )

    def _schedule_periodic(
        self, period_ms: float, phase: float, call: Callable[[], None]
    ) -> None:
        def run_and_reschedule() -> None:
            call()
            self.schedule(self.now_ms + period_ms, run_and_reschedule)

        self.schedule(period_ms * phase, run_and_reschedule)

    def _set_engines(self, host: SimulatedHost) -> None:
        host.scheduler.set_engines(
            POOL, [Engine(name=name) for name in self._engine_names]
        )

    def _tick(self, host: SimulatedHost) -> None:
        if host.dead:
            return
        host.scheduler.tick(self.now_ms)
        self._decide(host)

    def _share_expected_tokens(self, host: SimulatedHost) -> None:
        """Share the expected tokens per engine; peers see them at once."""
        for engine in self.engines:
            host.shared_tokens[engine.name] = (
                0
                if host.dead
                else host.scheduler.expected_tokens(
                    POOL, engine.name, self.now_ms
                )
            )
        for other in self.hosts:
            for seen in other.scheduler.engines(POOL):
                seen.peers_tokens = sum(
                    peer.shared_tokens.get(seen.name, 0)
                    for peer in self.hosts
                    if peer is not other
                )

    def _publish_report(self, engine: SimulatedEngine) -> None:
        engine.reports.append((self.now_ms, engine.model.load()))
        del engine.reports[:-3]
        events = engine.model.take_events()
        if events:
            self.schedule(
                self.now_ms + CACHE_LAG_MS,
                lambda: self._apply_cache_events(engine, events),
            )

    def _apply_cache_events(
        self, engine: SimulatedEngine, events: list[CacheEvent]
    ) -> None:
        for host in self.hosts:
            for event in events:
                if self.random.random() >= CACHE_LOSS:
                    host.scheduler.apply_cache_event(
                        POOL,
                        engine.name,
                        event.prefix,
                        stored=event.kind == "stored",
                    )

    def _poll(self, host: SimulatedHost, engine: SimulatedEngine) -> None:
        if engine.dead or host.dead:
            return
        old = [
            load
            for at_ms, load in engine.reports
            if at_ms <= self.now_ms - REPORT_LAG_MS
        ]
        if not old:
            return
        load = old[-1]
        report = LoadReport(
            running=load.running,
            queued=load.queued,
            memory_used=load.memory_used,
            memory_total=load.memory_total,
        )
        host.scheduler.apply_report(POOL, engine.name, report, self.now_ms)

    # Request lifecycle.

    def _arrive(self, request: Request) -> None:
        live = [host for host in self.hosts if not host.dead]
        host = self.random.choice(live)
        request.host = host.index
        placement_request = request.arrival.placement_request
        try:
            ticket = host.scheduler.enqueue(placement_request, self.now_ms)
        except RefusedError as error:
            self._end(request, "refused", error.reason)
            return
        host.tickets[ticket] = request
        host.by_request[placement_request.key] = ticket
        self._decide(host)

    def _decide(self, host: SimulatedHost) -> None:
        decisions = host.scheduler.decide(self.now_ms)
        for refusal in decisions.refused:
            request = host.tickets[refusal.ticket]
            self._end(request, "refused", refusal.error.reason)
        for ticket in decisions.placed:
            self._dispatch(host, ticket, frozenset())

    def _dispatch(
        self, host: SimulatedHost, ticket: Ticket, exclude: frozenset[str]
    ) -> None:
        request = host.tickets[ticket]
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not host.scheduler.may_retry():
                break
            try:
                name = host.scheduler.choose(ticket, exclude, self.now_ms)
            except RefusedError:
                break
            engine = self.engines[int(name.rpartition("-")[2])]
            if self._submit(engine, request):
                return
            reason = "draining" if engine.leaving else "full"
            host.scheduler.handle_refusal(
                ticket, reason, ENGINE_RETRY_MS, self.now_ms
            )
            exclude |= {name}
        self._end(request, "refused", "no_upstream")

    def _submit(self, engine: SimulatedEngine, request: Request) -> bool:
        placement_request = request.arrival.placement_request
        if engine.dead or engine.leaving:
            return False
        work = Work(
            key=placement_request.key,
            prompt_tokens=placement_request.prompt_tokens,
            output_tokens=request.arrival.output_tokens,
            prefix=placement_request.prefix,
            priority=-placement_request.priority,
        )
        if not engine.model.submit(work):
            return False
        request.engine = engine.index
        request.waited_ms = self.now_ms - request.arrival.at_ms
        engine.requests[placement_request.key] = request
        if not engine.is_stepping:
            self._step(engine)
        return True

    def _step(self, engine: SimulatedEngine) -> None:
        engine.is_stepping = False
        if engine.dead:
            return
        step = engine.model.step()
        for key in step.preempted_keys:
            engine.requests[key].preemptions += 1
        if step.duration_ms <= 0:
            return
        engine.is_stepping = True
        end_ms = self.now_ms + step.duration_ms * engine.slow_factor
        self.schedule(
            end_ms,
            lambda: self._finish_step(
                engine, step.token_keys, step.finished_keys
            ),
        )

    def _finish_step(
        self, engine: SimulatedEngine, tokens: list[str], finished: list[str]
    ) -> None:
        if engine.dead:
            return
        for key in tokens:
            self._record_token(engine.requests[key])
        hosts = set()
        for key in finished:
            request = engine.requests.pop(key)
            hosts.add(request.host)
            self._end(request, "whole", "")
        for index in sorted(hosts):
            if not self.hosts[index].dead:
                self._decide(self.hosts[index])
        self._step(engine)

    def _record_token(self, request: Request) -> None:
        gap_ms = self.recorder.record_token(request, self.now_ms)
        host = self.hosts[request.host]
        ticket = host.by_request.get(request.arrival.placement_request.key)
        if ticket is None or host.dead:
            return
        if request.tokens == 1:
            host.scheduler.mark_started(ticket)
        host.scheduler.record_progress(ticket, 1, gap_ms, self.now_ms)

    def _end(self, request: Request, outcome: str, reason: str) -> None:
        request.outcome = outcome
        request.reason = reason
        request.end_ms = self.now_ms
        host = self.hosts[request.host]
        ticket = host.by_request.pop(
            request.arrival.placement_request.key, None
        )
        if ticket is None:
            return
        del host.tickets[ticket]
        if host.dead:
            return
        if outcome == "whole":
            host.scheduler.finish(ticket, request.tokens)
        else:
            host.scheduler.release(ticket)
