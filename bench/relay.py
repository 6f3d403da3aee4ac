"""Measure the overhead of relaying streams through one host.

Usage:
  relay.py [--repeats N] [--out FILE]
  relay.py (-h | --help)

Starts one engine stand-in, one platform stand-in, one host, and separate
load processes. Prints and writes: time to first token and gaps between
tokens, direct and through the host; tokens relayed per second of the host's
processor time; and the host's resident memory.

Options:
  --repeats N  Runs of each case [default: 2].
  --out FILE   Result file [default: bench/results/relay.json].
  -h --help    Show this.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import attrs
import msgspec
from docopt import docopt
from readings import (
    Machine,
    Spread,
    cpu_s,
    load_average,
    machine,
    percentile,
    resident_mb,
    spread,
    write_result,
)
from stream_load import DIRECT, THROUGH, Job, Report

from balsamlift._http import HttpClient
from balsamlift.testing import Process, start_host, start_stand_in

# The adaptive concurrency limit of an engine starts at 16 and grows slowly,
# so one engine is listed under many names.
ENGINE_NAMES = 40
STEP_MS = 20.0
ANSWER_TOKENS = 476  # 10 million tokens over 21,000 requests a second
WARM_UP_S = 11.0  # longer than one answer, so that all streams have started
MEASURE_S = 8.0
CPU_START_DELAY_S = 1.0  # after the warm-up, so that both windows agree
CPU_WINDOW_S = 6.0
LOAD_PROCESSES = 4
DELAY_STREAMS = 100
DELAY_TOKENS_PER_FRAME = 4
# (streams, tokens per frame)
RATE_CASES = ((100, 1), (200, 4), (500, 8), (500, 16))
READY_S = 30.0


@attrs.frozen(kw_only=True)
class Delay:
    """Hold the delays of one run, direct and through, in milliseconds."""

    tokens_per_frame: int
    first_token_direct_p50: float
    first_token_direct_p99: float
    first_token_through_p50: float
    first_token_through_p99: float
    gap_direct_p50: float
    gap_direct_p99: float
    gap_through_p50: float
    gap_through_p99: float
    behind_p50: float  # delay of the same token through the host
    behind_p99: float
    load: float


@attrs.frozen(kw_only=True)
class Rate:
    """Hold the tokens relayed and the processor time of one run."""

    streams: int
    tokens_per_frame: int
    tokens_per_s: float
    tokens_per_frame_seen: float
    cpu_share: float  # of one core
    tokens_per_cpu_s: float
    resident_mb: float
    not_whole: int
    load: float


@attrs.frozen(kw_only=True)
class Result:
    """Hold the results of all runs."""

    machine: Machine
    step_ms: float
    idle_mb: Spread
    idle_cpu_share: Spread
    added_first_token_p50_ms: Spread
    added_first_token_p99_ms: Spread
    added_gap_p50_ms: Spread
    added_gap_p99_ms: Spread
    behind_p99_ms: Spread
    delays: list[Delay]
    rates: list[Rate]


@attrs.frozen
class Deployment:
    """Hold the host and the engine of one run."""

    host: Process
    engine: Process

    def job(self, way: str, streams: int, **changes: Any) -> Job:
        """Return the job of one load process."""
        job = Job(
            way=way,
            host=self.host.ready["callers_address"],
            engine=self.engine.address,
            streams=streams // LOAD_PROCESSES,
            tokens=ANSWER_TOKENS,
            step_ms=STEP_MS,
            warm_s=WARM_UP_S,
            measure_s=MEASURE_S,
        )
        return attrs.evolve(job, **changes)


def main() -> None:
    """Run all cases, print the figures and write them to a file."""
    arguments = docopt(__doc__ or "")
    repeats = int(arguments["--repeats"])
    idle = [_measure_idle() for _ in range(repeats)]
    rates = [
        _measure_rate(streams, tokens_per_frame)
        for streams, tokens_per_frame in RATE_CASES
        for _ in range(repeats)
    ]
    delays = [_measure_delay(DELAY_TOKENS_PER_FRAME) for _ in range(repeats)]
    result = _summarise(idle, delays, rates)
    write_result(Path(arguments["--out"]), result)


def _summarise(
    idle: list[tuple[float, float]], delays: list[Delay], rates: list[Rate]
) -> Result:
    def added(name: str) -> Spread:
        way, _, rest = name.rpartition("_")
        return spread(
            [
                getattr(d, f"{way}_through_{rest}")
                - getattr(d, f"{way}_direct_{rest}")
                for d in delays
            ]
        )

    return Result(
        machine=machine(),
        step_ms=STEP_MS,
        idle_mb=spread([mb for mb, _ in idle]),
        idle_cpu_share=spread([share for _, share in idle]),
        added_first_token_p50_ms=added("first_token_p50"),
        added_first_token_p99_ms=added("first_token_p99"),
        added_gap_p50_ms=added("gap_p50"),
        added_gap_p99_ms=added("gap_p99"),
        behind_p99_ms=spread([d.behind_p99 for d in delays]),
        delays=delays,
        rates=rates,
    )


def _measure_idle() -> tuple[float, float]:
    with ExitStack() as stack:
        deployment = start_deployment(stack, tokens_per_frame=4, names=1)
        time.sleep(5.0)
        before_s = cpu_s(deployment.host.pid)
        time.sleep(10.0)
        share = (cpu_s(deployment.host.pid) - before_s) / 10.0
        figures = resident_mb(deployment.host.pid), round(share, 4)
    _print_figures("idle", figures)
    return figures


def _measure_delay(tokens_per_frame: int) -> Delay:
    with ExitStack() as stack:
        deployment = start_deployment(stack, tokens_per_frame)
        jobs = deployment.job(DIRECT, DELAY_STREAMS)
        direct = _merge(run_job(jobs))
        jobs = deployment.job(THROUGH, DELAY_STREAMS)
        through = _merge(run_job(jobs))
        load = load_average()
        paired = _merge(run_job(attrs.evolve(jobs, paired=True)))
    ways = {"direct": direct, "through": through}
    figures = {
        f"{what}_{way}_p{percent}": percentile(
            getattr(report, f"{what}_ms"), percent
        )
        for way, report in ways.items()
        for what in ("first_token", "gap")
        for percent in (50, 99)
    }
    delay = Delay(
        tokens_per_frame=tokens_per_frame,
        behind_p50=percentile(paired.behind_ms, 50),
        behind_p99=percentile(paired.behind_ms, 99),
        load=load,
        **figures,
    )
    _print_figures("delay", delay)
    return delay


def _measure_rate(streams: int, tokens_per_frame: int) -> Rate:
    with ExitStack() as stack:
        deployment = start_deployment(stack, tokens_per_frame)
        processes = _start_load_processes(deployment.job(THROUGH, streams))
        time.sleep(WARM_UP_S + CPU_START_DELAY_S)
        before_s, started_s = cpu_s(deployment.host.pid), time.monotonic()
        time.sleep(CPU_WINDOW_S)
        used_cpu_s = cpu_s(deployment.host.pid) - before_s
        passed_s = time.monotonic() - started_s
        memory_mb = resident_mb(deployment.host.pid)
        load = load_average()
        report = _merge(_collect(processes))
    tokens_per_s = report.tokens / MEASURE_S
    cpu_share = used_cpu_s / passed_s
    rate = Rate(
        streams=streams,
        tokens_per_frame=tokens_per_frame,
        tokens_per_s=round(tokens_per_s),
        tokens_per_frame_seen=round(report.tokens / report.frames, 2),
        cpu_share=round(cpu_share, 3),
        tokens_per_cpu_s=round(tokens_per_s / cpu_share),
        resident_mb=memory_mb,
        not_whole=report.not_whole,
        load=load,
    )
    _print_figures("rate", rate)
    return rate


def start_deployment(
    stack: ExitStack, tokens_per_frame: int, names: int = ENGINE_NAMES
) -> Deployment:
    """Start a platform, an engine and a host with a preset in force."""
    platform = stack.enter_context(start_stand_in("platform", {}))
    engine = stack.enter_context(
        start_stand_in("engine", _engine_settings(tokens_per_frame))
    )
    host = stack.enter_context(start_host(_host_settings(platform.address)))
    asyncio.run(
        _list_and_publish(platform.address, engine.address, host, names)
    )
    return Deployment(host, engine)


def _engine_settings(tokens_per_frame: int) -> dict[str, Any]:
    return {
        "tokens_per_frame": tokens_per_frame,
        "flush_ms": 2_000,  # long enough that frames are sent full
        "retention_ms": 1_000,
        "parameters": {
            "memory_tokens": 100_000_000,
            "step_base_ms": STEP_MS,
            "step_per_sequence_ms": 0.0,
            "step_per_1k_context_ms": 0.0,
            "prefill_tokens_per_ms": 1e9,
            "prefill_tokens_per_step": 1_000_000,
            "max_running": 4_000,
            "queue_limit": 4_000,
        },
    }


def _host_settings(platform: str) -> dict[str, Any]:
    return {
        "host": "entry-1",
        "failure_domain": "domain-1",
        "callers_address": "127.0.0.1:0",
        "operators_address": "127.0.0.1:0",
        "peers_address": "127.0.0.1:0",
        "platform": {"log_address": platform, "hosts_address": platform},
        "pools": {"drafting": {"kind": "engine", "tells_by_key": True}},
    }


def _preset() -> dict[str, Any]:
    kind = {"pool": "drafting", "deadline_ms": 600_000}
    return {
        "name": "bench",
        "kinds": {"report": kind},
        "workspaces": {"bench": {}},
        "pools": {"drafting": {"model": "model-a", "version": "1"}},
        "policy": {"queue_requests": 2_000, "gap_target_ms": 10_000},
    }


async def _list_and_publish(
    platform: str, engine: str, host: Process, names: int
) -> None:
    http = HttpClient()
    ready = host.ready
    entries = [
        {
            "name": f"engine-{number}",
            "role": "upstream",
            "pool": "drafting",
            "address": engine,
            "failure_domain": "domain-1",
            "state": "live",
        }
        for number in range(names)
    ]
    entries.append(
        {
            "name": ready["host"],
            "role": "entry",
            "address": ready["callers_address"],
            "operators_address": ready["operators_address"],
            "peers_address": ready["peers_address"],
            "failure_domain": "domain-1",
            "state": "live",
        }
    )
    for entry in entries:
        url = f"http://{platform}/v1/hosts/{entry['name']}"
        await http.call("PUT", url, entry, timeout_ms=5_000)
    await asyncio.to_thread(_publish, platform)
    url = f"http://{ready['callers_address']}/v1/addresses?workspace=bench"
    async with asyncio.timeout(READY_S):
        while (await http.call("GET", url, timeout_ms=5_000)).status != 200:
            await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)  # until the host has read the list of hosts
    http.close()


def _publish(platform: str) -> None:
    commands = (
        ["publish", "/dev/stdin"],
        ["switch", _preset()["name"]],
    )
    for command in commands:
        subprocess.run(
            [
                *(sys.executable, "-m", "balsamlift", "preset"),
                *(*command, "--log", platform),
            ],
            input=msgspec.json.encode(_preset()),
            stdout=subprocess.DEVNULL,
            check=True,
        )


def run_job(job: Job) -> list[Report]:
    """Run a job in all load processes and return their reports."""
    return _collect(_start_load_processes(job))


def _start_load_processes(job: Job) -> list[subprocess.Popen[bytes]]:
    script = str(Path(__file__).with_name("stream_load.py"))
    text = msgspec.json.encode(job).decode()
    return [
        subprocess.Popen(
            [sys.executable, script, text], stdout=subprocess.PIPE
        )
        for _ in range(LOAD_PROCESSES)
    ]


def _collect(processes: list[subprocess.Popen[bytes]]) -> list[Report]:
    outputs = [process.communicate()[0] for process in processes]
    return [msgspec.json.decode(output, type=Report) for output in outputs]


def _merge(reports: list[Report]) -> Report:
    merged = Report()
    for report in reports:
        for field in attrs.fields(Report):
            combined = getattr(merged, field.name) + getattr(
                report, field.name
            )
            setattr(merged, field.name, combined)
    return merged


def _print_figures(title: str, figures: Any) -> None:
    print(title, msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
