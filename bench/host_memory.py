"""Measure the resources that one idle host uses.

Usage:
  host_memory.py [--out FILE]
  host_memory.py (-h | --help)

Starts one platform stand-in, one engine stand-in listed under 10 to 4,500
names, and one host with a preset in force. Prints and writes the host's
resident memory, its processor time and the bytes of its open TCP
connections, as `ss` shows them; bytes of short connections are not counted.

Options:
  --out FILE  Result file [default: bench/results/host_memory.json].
  -h --help   Show this.
"""

from __future__ import annotations

import itertools
import re
import subprocess
import time
from contextlib import ExitStack
from pathlib import Path

import attrs
from docopt import docopt
from readings import (
    Machine,
    cpu_s,
    load_average,
    machine,
    resident_mb,
    write_result,
)
from relay import LOAD_PROCESSES, run_job, start_deployment
from stream_load import THROUGH

UPSTREAMS = (10, 100, 1_000, 4_500)
SETTLE_S = 6.0
WINDOW_S = 12.0


@attrs.frozen(kw_only=True)
class Cost:
    """Hold the resource usage of a host with that many upstreams listed."""

    upstreams: int
    polls_load: bool  # starts with the first request
    resident_mb: float
    cpu_share: float  # of one core
    sent_bytes_per_s: float  # payload of TCP
    received_bytes_per_s: float
    load: float


@attrs.frozen(kw_only=True)
class Result:
    """Hold the results of all runs."""

    machine: Machine
    window_s: float
    costs: list[Cost]


def main() -> None:
    """Run all cases, print the figures and write them to a file."""
    arguments = docopt(__doc__ or "")
    costs = []
    for polls_load in (False, True):
        for upstreams in UPSTREAMS:
            costs.append(_measure(upstreams, polls_load))
            print(costs[-1], flush=True)
    result = Result(machine=machine(), window_s=WINDOW_S, costs=costs)
    write_result(Path(arguments["--out"]), result)


def _measure(upstreams: int, polls_load: bool) -> Cost:
    with ExitStack() as stack:
        deployment = start_deployment(
            stack, tokens_per_frame=4, names=upstreams
        )
        pid = deployment.host.pid
        if polls_load:
            run_job(
                deployment.job(
                    THROUGH,
                    LOAD_PROCESSES,
                    tokens=1,
                    warm_s=0.0,
                    measure_s=1.0,
                )
            )
        time.sleep(SETTLE_S)
        before_s, started_s = cpu_s(pid), time.monotonic()
        sent, received = _tcp_bytes(pid)
        time.sleep(WINDOW_S)
        passed_s = time.monotonic() - started_s
        sent_after, received_after = _tcp_bytes(pid)
        return Cost(
            upstreams=upstreams,
            polls_load=polls_load,
            resident_mb=resident_mb(pid),
            cpu_share=round((cpu_s(pid) - before_s) / passed_s, 4),
            sent_bytes_per_s=round((sent_after - sent) / passed_s),
            received_bytes_per_s=round((received_after - received) / passed_s),
            load=load_average(),
        )


def _tcp_bytes(pid: int) -> tuple[int, int]:
    """Return the bytes sent and received on a process's open connections."""
    output = subprocess.run(
        ["ss", "-tinpH"], capture_output=True, text=True, check=True
    ).stdout
    # Each connection has two lines: its address and process, its counters.
    lines = output.splitlines()
    sent = received = 0
    for line, counters in itertools.pairwise(lines):
        if f"pid={pid}," in line:
            sent += _counter("bytes_sent", counters)
            received += _counter("bytes_received", counters)
    return sent, received


def _counter(name: str, text: str) -> int:
    found = re.search(rf"\b{name}:(\d+)", text)
    return int(found[1]) if found else 0


if __name__ == "__main__":
    main()
