"""Measure the cost of placement and of the list of upstreams.

Usage:
  placement_cost.py [--repeats N] [--out FILE]
  placement_cost.py (-h | --help)

Uses no network: calls the scheduler and the list directly, with 10 to 4,500
engines and 10 to 19,000 workspaces. Prints and writes processor time per
admission and per inspection of the queues, and the memory retained.

Options:
  --repeats N  Runs of each case [default: 3].
  --out FILE   Result file [default: bench/results/placement_cost.json].
  -h --help    Show this.
"""

from __future__ import annotations

import gc
import itertools
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import attrs
import msgspec
from docopt import docopt
from readings import (
    Machine,
    Spread,
    load_average,
    machine,
    spread,
    write_result,
)

from balsamlift.peers._hosts_list import ListEntry
from balsamlift.placement import Policy
from balsamlift.placement._engine import Engine, LoadReport
from balsamlift.placement._request import PlacementRequest
from balsamlift.placement._scheduler import Scheduler

T = TypeVar("T")

UPSTREAMS = (10, 100, 1_000, 4_500)
WORKSPACES = (10, 1_000, 19_000)
FEW_ENGINES = 10
ADMISSIONS = 50
POOL = "drafting"
SEED = 1
US_PER_S = 1e6
MEMORY_TOKENS = 10_000_000


@attrs.frozen(kw_only=True)
class UpstreamsCost:
    """Hold the cost for a number of upstreams in one pool."""

    upstreams: int
    admit_us: Spread  # enqueue, decide, choose, finish
    set_engines_us: Spread  # on each admission and inspection
    look_us: Spread  # expected tokens of every engine, and a decision
    list_decode_us: Spread  # one changed list of hosts
    list_bytes: int
    kept_bytes: int  # by the scheduler


@attrs.frozen(kw_only=True)
class WorkspacesCost:
    """Hold the cost for a number of workspaces that request in turn."""

    workspaces: int
    admit_us: Spread
    kept_bytes: int


@attrs.frozen(kw_only=True)
class Result:
    """Hold the results of all cases."""

    machine: Machine
    load: float
    upstreams: list[UpstreamsCost]
    workspaces: list[WorkspacesCost]


def main() -> None:
    """Run all cases, print the figures and write them to a file."""
    arguments = docopt(__doc__ or "")
    repeats = int(arguments["--repeats"])
    result = Result(
        machine=machine(),
        load=load_average(),
        upstreams=[_measure_upstreams(n, repeats) for n in UPSTREAMS],
        workspaces=[_measure_workspaces(n, repeats) for n in WORKSPACES],
    )
    print(msgspec.json.format(msgspec.json.encode(result)).decode())
    write_result(Path(arguments["--out"]), result)


def _measure_upstreams(count: int, repeats: int) -> UpstreamsCost:
    scheduler, kept_bytes = _trace_memory(lambda: _scheduler(count))
    listed = msgspec.json.encode(_entries(count))

    numbers = itertools.count()

    def admit() -> None:
        for number in itertools.islice(numbers, ADMISSIONS):
            _admit(scheduler, number, "bench")

    def inspect_queues() -> None:
        for engine in scheduler.engines(POOL):
            scheduler.expected_tokens(POOL, engine.name, 0.0)
        scheduler.decide(0.0)

    def decode() -> None:
        msgspec.json.decode(listed, type=list[ListEntry])

    return UpstreamsCost(
        upstreams=count,
        admit_us=_measure_us(admit, repeats, ADMISSIONS),
        set_engines_us=_measure_us(
            lambda: scheduler.set_engines(POOL, _engines(count)), repeats
        ),
        look_us=_measure_us(inspect_queues, repeats),
        list_decode_us=_measure_us(decode, repeats),
        list_bytes=len(listed),
        kept_bytes=kept_bytes,
    )


def _measure_workspaces(count: int, repeats: int) -> WorkspacesCost:
    scheduler = _scheduler(FEW_ENGINES)
    numbers = itertools.count()

    def admit(limit: int) -> None:
        for number in itertools.islice(numbers, limit):
            _admit(scheduler, number, f"workspace-{number % count}")

    _, kept_bytes = _trace_memory(lambda: admit(count))
    return WorkspacesCost(
        workspaces=count,
        admit_us=_measure_us(lambda: admit(ADMISSIONS), repeats, ADMISSIONS),
        kept_bytes=kept_bytes,
    )


def _scheduler(count: int) -> Scheduler:
    scheduler = Scheduler(Policy(), SEED)
    scheduler.set_engines(POOL, _engines(count))
    report = LoadReport(
        running=0, queued=0, memory_used=0, memory_total=MEMORY_TOKENS
    )
    for engine in scheduler.engines(POOL):
        scheduler.apply_report(POOL, engine.name, report, 0.0)
    return scheduler


def _engines(count: int) -> list[Engine]:
    return [Engine(f"engine-{n}", f"domain-{n % 11}") for n in range(count)]


def _entries(count: int) -> list[ListEntry]:
    return [
        ListEntry(
            name=f"engine-{n}",
            role="upstream",
            pool=POOL,
            address=f"10.{n >> 8}.{n & 255}.1:7000",
            failure_domain=f"domain-{n % 11}",
        )
        for n in range(count)
    ]


def _admit(scheduler: Scheduler, number: int, workspace: str) -> None:
    """Take one request from its arrival to its complete answer."""
    now_ms = 1_000.0 * number
    request = PlacementRequest(
        key=f"key-{number}",
        workspace=workspace,
        kind="report",
        pool=POOL,
        weight=1.0,
        priority=1,
        prompt_tokens=100,
        prefix="",
        max_tokens=1_000,
        quantile=0.9,
        deadline_ms=100_000,
    )
    ticket = scheduler.enqueue(request, now_ms)
    scheduler.decide(now_ms)
    scheduler.choose(ticket, frozenset(), now_ms)
    scheduler.mark_started(ticket)
    scheduler.finish(ticket, 100)


def _trace_memory(make: Callable[[], T]) -> tuple[T, int]:
    """Return the result of `make` and the bytes that it retains."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    kept_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, kept_bytes


def _measure_us(run: Callable[[], None], repeats: int, per: int = 1) -> Spread:
    run()
    times = []
    for _ in range(repeats):
        before_s = time.process_time()
        run()
        times.append((time.process_time() - before_s) * US_PER_S / per)
    return spread(times)


if __name__ == "__main__":
    main()
