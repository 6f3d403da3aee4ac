"""Several hosts and engine models in virtual time."""

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
from balsamlift.testing._experiment_parts import EngineRun, HostRun
from balsamlift.testing._experiment_workload import (
    POOL,
    Arrival,
    Deployment,
)
from balsamlift.testing._prefix_cache import CacheEvent

LOOK_MS = 50.0  # between two looks of a host at its queues
PEERS_MS = 1_000.0  # age of the peers' counts at most
REPORT_MS = 1_000.0  # between two polls of an engine's load
REPORT_LAG_MS = 500.0  # of what it reports
CACHE_LAG_MS = 2_000.0
CACHE_LOSS = 0.05
DETECT_MS = 1_500.0  # until a dead engine is known
LEAVING_MS = 500.0  # until a leaving engine is known everywhere
ENGINE_RETRY_MS = 500.0  # what a full engine says
CLOCK_SKEW_MS = 50.0  # standard deviation between the hosts
DRAIN_STEP_MS = 1_000.0
TRIES = 3  # engines that one request is offered to


class World:
    """Run hosts and engines by one heap of timed calls."""

    def __init__(
        self,
        deployment: Deployment,
        policy: Policy,
        recorder: Recorder,
        seed: int,
    ) -> None:
        """Begin idle at time 0."""
        self.now_ms = 0.0
        self.recorder = recorder
        self.random = Random(seed)
        parameters = EngineParameters()
        self.engines = [
            EngineRun(i, EngineModel(parameters))
            for i in range(deployment.engines)
        ]
        self.hosts = [
            HostRun(i, Scheduler(policy, seed * 1_000 + i + 1))
            for i in range(deployment.hosts)
        ]
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._known = [engine.name for engine in self.engines]
        for host in self.hosts:
            self._set_engines(host)
        self._start_routines()

    def at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Make a call at a time."""
        self._order += 1
        heapq.heappush(self._calls, (at_ms, self._order, call))

    def run(self, until_ms: float) -> None:
        """Make all calls up to a time."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = until_ms

    def drain(self, until_ms: float) -> None:
        """Go on until every request has ended, or up to a time."""
        while self.now_ms < until_ms:
            if all(r.outcome for r in self.recorder.requests):
                return
            self.run(self.now_ms + DRAIN_STEP_MS)

    def offer(self, arrivals: Iterable[Arrival]) -> None:
        """Let requests arrive."""
        for arrival in arrivals:
            request = Request(arrival)
            self.recorder.requests.append(request)
            self.at(arrival.at_ms, partial(self._arrive, request))

    # Faults.

    def slow(self, index: int, factor: float) -> None:
        """Make an engine's steps take longer by a factor."""
        self.engines[index].slowness = factor

    def reclaim(self, index: int, notice_ms: float) -> None:
        """Let an engine leave after a short notice."""
        engine = self.engines[index]
        engine.leaving = True
        self.at(self.now_ms + LEAVING_MS, lambda: self._forget([engine]))
        self.at(self.now_ms + notice_ms, lambda: self._kill(engine))

    def lose_domain(self, domain: int) -> None:
        """Kill the engines and the hosts of a failure domain."""
        for host in self.hosts:
            host.dead = host.dead or host.domain == domain
        lost = [e for e in self.engines if e.domain == domain]
        for engine in lost:
            engine.dead = True
        self.at(self.now_ms + DETECT_MS, lambda: self._lose(lost))

    def _lose(self, lost: list[EngineRun]) -> None:
        live = sum(not host.dead for host in self.hosts)
        for host in self.hosts:
            host.scheduler.hosts = live
        self._forget(lost)
        for engine in lost:
            self._kill(engine)

    def _forget(self, engines: list[EngineRun]) -> None:
        gone = {engine.name for engine in engines}
        self._known = [name for name in self._known if name not in gone]
        for host in self.hosts:
            self._set_engines(host)

    def _kill(self, engine: EngineRun) -> None:
        engine.dead = True
        self._forget([engine])
        lost = list(engine.requests.values())
        engine.requests.clear()
        for request in lost:
            self._engine_lost(request)

    def _engine_lost(self, request: Request) -> None:
        host = self.hosts[request.host]
        ticket = host.by_request.get(request.arrival.ask.key)
        if request.tokens or ticket is None or host.dead:
            self._end(request, "failed", "engine_lost")
            return
        if not host.scheduler.may_retry():
            self._end(request, "failed", "engine_lost")
            return
        self._dispatch(host, ticket, frozenset())

    # The routines of hosts and engines.

    def _start_routines(self) -> None:
        for host in self.hosts:
            host.scheduler.hosts = len(self.hosts)
            host.scheduler.wall_offset_ms = self.random.gauss(0, CLOCK_SKEW_MS)
            phase = self.random.random()
            self._every(LOOK_MS, phase, partial(self._look, host))
            self._every(PEERS_MS, phase, partial(self._tell, host))
            for engine in self.engines:
                self._every(
                    REPORT_MS,
                    self.random.random(),
                    partial(self._poll, host, engine),
                )
        for engine in self.engines:
            self._every(
                REPORT_LAG_MS,
                self.random.random(),
                partial(self._say, engine),
            )

    def _every(
        self, period_ms: float, phase: float, call: Callable[[], None]
    ) -> None:
        def again() -> None:
            call()
            self.at(self.now_ms + period_ms, again)

        self.at(period_ms * phase, again)

    def _set_engines(self, host: HostRun) -> None:
        host.scheduler.set_engines(
            POOL, [Engine(name=name) for name in self._known]
        )

    def _look(self, host: HostRun) -> None:
        if host.dead:
            return
        host.scheduler.tick(self.now_ms)
        self._decide(host)

    def _tell(self, host: HostRun) -> None:
        """Tell peers what is in flight; the others read it at once."""
        for engine in self.engines:
            host.told[engine.name] = (
                0
                if host.dead
                else host.scheduler.expected_tokens(
                    POOL, engine.name, self.now_ms
                )
            )
        for other in self.hosts:
            for seen in other.scheduler.engines(POOL):
                seen.peers_tokens = sum(
                    peer.told.get(seen.name, 0)
                    for peer in self.hosts
                    if peer is not other
                )

    def _say(self, engine: EngineRun) -> None:
        engine.said.append((self.now_ms, engine.model.load()))
        del engine.said[:-3]
        events = engine.model.take_events()
        if events:
            self.at(
                self.now_ms + CACHE_LAG_MS,
                lambda: self._tell_cache(engine, events),
            )

    def _tell_cache(self, engine: EngineRun, events: list[CacheEvent]) -> None:
        for host in self.hosts:
            for event in events:
                if self.random.random() >= CACHE_LOSS:
                    host.scheduler.apply_cache_event(
                        POOL,
                        engine.name,
                        event.prefix,
                        stored=event.kind == "stored",
                    )

    def _poll(self, host: HostRun, engine: EngineRun) -> None:
        if engine.dead or host.dead:
            return
        old = [
            load
            for at_ms, load in engine.said
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

    # The way of a request.

    def _arrive(self, request: Request) -> None:
        live = [host for host in self.hosts if not host.dead]
        host = self.random.choice(live)
        request.host = host.index
        ask = request.arrival.ask
        try:
            ticket = host.scheduler.enqueue(ask, self.now_ms)
        except RefusedError as error:
            self._end(request, "refused", error.reason)
            return
        host.tickets[ticket] = request
        host.by_request[ask.key] = ticket
        self._decide(host)

    def _decide(self, host: HostRun) -> None:
        decisions = host.scheduler.decide(self.now_ms)
        for refusal in decisions.refused:
            request = host.tickets[refusal.ticket]
            self._end(request, "refused", refusal.error.reason)
        for ticket in decisions.placed:
            self._dispatch(host, ticket, frozenset())

    def _dispatch(
        self, host: HostRun, ticket: Ticket, exclude: frozenset[str]
    ) -> None:
        request = host.tickets[ticket]
        for turn in range(TRIES):
            if turn and not host.scheduler.may_retry():
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

    def _submit(self, engine: EngineRun, request: Request) -> bool:
        ask = request.arrival.ask
        if engine.dead or engine.leaving:
            return False
        work = Work(
            key=ask.key,
            prompt_tokens=ask.prompt_tokens,
            output_tokens=request.arrival.output_tokens,
            prefix=ask.prefix,
            priority=-ask.priority,
        )
        if not engine.model.submit(work):
            return False
        request.engine = engine.index
        request.waited_ms = self.now_ms - request.arrival.at_ms
        engine.requests[ask.key] = request
        if not engine.stepping:
            self._step(engine)
        return True

    def _step(self, engine: EngineRun) -> None:
        engine.stepping = False
        if engine.dead:
            return
        step = engine.model.step()
        for key in step.preempted_keys:
            engine.requests[key].preemptions += 1
        if step.duration_ms <= 0:
            return
        engine.stepping = True
        end_ms = self.now_ms + step.duration_ms * engine.slowness
        self.at(
            end_ms,
            lambda: self._stepped(engine, step.token_keys, step.finished_keys),
        )

    def _stepped(
        self, engine: EngineRun, tokens: list[str], finished: list[str]
    ) -> None:
        if engine.dead:
            return
        for key in tokens:
            self._token(engine.requests[key])
        hosts = set()
        for key in finished:
            request = engine.requests.pop(key)
            hosts.add(request.host)
            self._end(request, "whole", "")
        for index in sorted(hosts):
            if not self.hosts[index].dead:
                self._decide(self.hosts[index])
        self._step(engine)

    def _token(self, request: Request) -> None:
        gap_ms = self.recorder.token(request, self.now_ms)
        host = self.hosts[request.host]
        ticket = host.by_request.get(request.arrival.ask.key)
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
        ticket = host.by_request.pop(request.arrival.ask.key, None)
        if ticket is None:
            return
        del host.tickets[ticket]
        if host.dead:
            return
        if outcome == "whole":
            host.scheduler.finish(ticket, request.tokens)
        else:
            host.scheduler.release(ticket)
