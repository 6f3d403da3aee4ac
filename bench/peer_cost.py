"""Measure the cost of peer membership per host.

Usage:
  peer_cost.py [--window=S] [--out=FILE]
  peer_cost.py --help

Starts hosts as processes, each a minimal daemon with only the timeline, the
metrics, the upstreams and the peers, on a stand-in of the platform's list
of hosts. Prints JSON: for each run the means over the hosts.

Options:
  --window=S  Seconds measured per run, after the settling time [default: 12].
  --out=FILE  Also write the JSON to a file.
"""

from __future__ import annotations

import asyncio
import json
import os
import platform
import signal
import statistics
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec
from docopt import docopt

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Snapshot
from balsamlift.operators import JsonHandler, OperatorsServer

SETTLE_S = 12.0  # many hosts that start at once settle slowly
READY_S = 60.0
FULL_MESH_FAN_OUT = 1_000  # larger than the number of hosts in any run
DEFAULT_UPSTREAMS = 8
DEFAULT_HEARTBEAT_MS = 250

# Overhead per message besides its payload: the pynng header (8), IP and TCP
# headers with timestamps (52), and an acknowledgement in return (52).
HEADER_BYTES = 8 + 52
ACK_BYTES = 52


@attrs.frozen(kw_only=True)
class Run:
    """Describe the parameters of one run."""

    hosts: int
    fan_out: int = FULL_MESH_FAN_OUT
    heartbeat_ms: int = DEFAULT_HEARTBEAT_MS
    upstreams: int = DEFAULT_UPSTREAMS
    changes_per_s: int = 0  # of in-flight counts, on each host


@attrs.frozen(kw_only=True)
class Cost:
    """Hold the cost of one run as means per host."""

    run: Run
    live_peers_least: int
    cpu_percent: float  # of one core
    cpu_percent_most: float
    resident_mb: float
    messages_sent_per_s: float
    payload_sent_bytes_per_s: float
    wire_bytes_per_s: float  # peers' messages, both directions, computed
    list_bytes_per_s: float  # bodies of the list of hosts
    list_bytes_whole: int  # one whole list
    state_probes_per_s: float


RUNS = (
    Run(hosts=1),
    Run(hosts=3),
    Run(hosts=9),
    Run(hosts=16),
    Run(hosts=32),
    Run(hosts=32, fan_out=16),
    Run(hosts=32, fan_out=8),
    Run(hosts=32, fan_out=4),
    Run(hosts=32, fan_out=16, heartbeat_ms=1_000),
    Run(hosts=32, fan_out=4, heartbeat_ms=1_000),
    Run(hosts=32, fan_out=4, heartbeat_ms=2_000),
    Run(hosts=32, fan_out=8, heartbeat_ms=1_000),
    Run(hosts=9, heartbeat_ms=500),
    Run(hosts=9, heartbeat_ms=1_000),
    Run(hosts=3, upstreams=100),
    Run(hosts=3, upstreams=1_000),
    Run(hosts=3, upstreams=4_500),
    Run(hosts=9, upstreams=4_500),
    Run(hosts=9, changes_per_s=50),
    Run(hosts=9, upstreams=4_500, changes_per_s=50),
    Run(hosts=32, fan_out=4, heartbeat_ms=1_000, changes_per_s=50),
)


class PlatformStandIn:
    """Serve the list of hosts and the state of every engine on the list."""

    def __init__(self, upstreams: int) -> None:
        """Listen with that many engines on the list."""
        self._server = OperatorsServer("127.0.0.1:0")
        self.address = self._server.address
        self.entries: list[dict[str, str]] = [
            {
                "name": f"drafting-{number:04}",
                "role": "upstream",
                "pool": "drafting",
                "address": self.address,
                "failure_domain": f"domain-{number % 3}",
                "state": "live",
            }
            for number in range(upstreams)
        ]
        self.body = b""
        self.list_bytes = 0
        self.probes = 0
        arguments = {"stand_in": self}
        self._server.add_routes([("/v1/hosts", ListHandler, arguments)])
        self._server.add_routes([("/v1/state", StateHandler, arguments)])

    def publish(self) -> None:
        """Encode the current entries as the body to serve."""
        self.body = msgspec.json.encode({"hosts": self.entries})

    async def start(self) -> None:
        """Accept connections."""
        self.publish()
        await self._server.start(Kernel())

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()


class ListHandler(JsonHandler):
    """Answer with the list, or 304 when the reader is up to date."""

    def initialize(self, stand_in: PlatformStandIn) -> None:
        """Store the stand-in, which counts the answers."""
        self._stand_in = stand_in

    def get(self) -> None:
        """Answer with the prepared body."""
        self.finish(self._stand_in.body)

    def on_finish(self) -> None:
        """Count the bytes of the body if it was sent."""
        if self.get_status() == 200:
            self._stand_in.list_bytes += len(self._stand_in.body)


class StateHandler(JsonHandler):
    """Answer for any engine."""

    def initialize(self, stand_in: PlatformStandIn) -> None:
        """Store the stand-in, which counts the answers."""
        self._stand_in = stand_in

    def get(self) -> None:
        """Answer that the engine is not draining."""
        self._stand_in.probes += 1
        self.reply({"draining": False})


@attrs.define
class Host:
    """Hold the process and the addresses of one host."""

    process: asyncio.subprocess.Process
    operators_address: str
    peers_address: str

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_mb(self) -> float:
        """Return the resident memory in MB."""
        text = Path(f"/proc/{self.process.pid}/statm").read_text()
        pages = int(text.split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def snapshot(self, http: HttpClient) -> Snapshot:
        """Return the host's metrics."""
        url = f"http://{self.operators_address}/v1/metrics"
        answer = await http.call("GET", url, timeout_ms=10_000)
        return answer.decode(Snapshot)


async def start_process(
    number: int, run: Run, platform_address: str
) -> asyncio.subprocess.Process:
    """Start the process of one host."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name("peer_host.py")),
        str(number),
        platform_address,
        str(run.fan_out),
        str(run.heartbeat_ms),
        str(run.changes_per_s),
        stdout=asyncio.subprocess.PIPE,
    )


async def wait_ready(process: asyncio.subprocess.Process) -> Host:
    """Wait for a host's ready line."""
    assert process.stdout is not None
    line = await asyncio.wait_for(process.stdout.readline(), READY_S)
    ready = json.loads(line)
    return Host(process, ready["operators_address"], ready["peers_address"])


async def measure(run: Run, window_s: float) -> Cost:
    """Start the hosts of one run, measure, and stop them."""
    stand_in = PlatformStandIn(run.upstreams)
    await stand_in.start()
    http = HttpClient()
    processes: list[asyncio.subprocess.Process] = []
    try:
        for number in range(run.hosts):
            processes.append(
                await start_process(number, run, stand_in.address)
            )
        hosts = [await wait_ready(process) for process in processes]
        for number, host in enumerate(hosts):
            stand_in.entries.append(list_entry(number, host))
        stand_in.publish()
        await asyncio.sleep(SETTLE_S)
        return await measure_hosts(run, window_s, hosts, stand_in, http)
    finally:
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            await process.wait()
        http.close()
        await stand_in.stop()


def list_entry(number: int, host: Host) -> dict[str, str]:
    """Return the entry of a host on the list."""
    return {
        "name": f"host-{number}",
        "role": "entry",
        "address": host.operators_address,
        "operators_address": host.operators_address,
        "peers_address": host.peers_address,
        "failure_domain": f"domain-{number % 3}",
        "state": "live",
    }


async def measure_hosts(
    run: Run,
    window_s: float,
    hosts: Sequence[Host],
    stand_in: PlatformStandIn,
    http: HttpClient,
) -> Cost:
    """Measure running hosts over the window."""
    clock = SystemClock()
    before = [await host.snapshot(http) for host in hosts]
    cpu_before_s = [host.cpu_s() for host in hosts]
    list_before, probes_before = stand_in.list_bytes, stand_in.probes
    started_s = clock.monotonic()
    await clock.sleep(window_s)
    elapsed_s = clock.monotonic() - started_s
    cpu_s = [
        host.cpu_s() - cpu
        for host, cpu in zip(hosts, cpu_before_s, strict=True)
    ]
    list_bytes = stand_in.list_bytes - list_before
    probes = stand_in.probes - probes_before
    after = [await host.snapshot(http) for host in hosts]

    def rate(name: str) -> float:
        increases = [
            last.counters.get(name, 0) - first.counters.get(name, 0)
            for first, last in zip(before, after, strict=True)
        ]
        return statistics.fmean(increases) / elapsed_s

    sent, received = (
        rate("peers.messages_sent"),
        rate("peers.messages_received"),
    )
    payload = rate("peers.bytes_sent") + rate("peers.bytes_received")
    wire = payload + (sent + received) * (HEADER_BYTES + ACK_BYTES)
    return Cost(
        run=run,
        live_peers_least=int(min(s.gauges["peers.live"] for s in after)),
        cpu_percent=round(statistics.fmean(cpu_s) / elapsed_s * 100, 3),
        cpu_percent_most=round(max(cpu_s) / elapsed_s * 100, 3),
        resident_mb=round(statistics.fmean(h.resident_mb() for h in hosts), 1),
        messages_sent_per_s=round(sent, 2),
        payload_sent_bytes_per_s=round(rate("peers.bytes_sent"), 1),
        wire_bytes_per_s=round(wire, 1),
        list_bytes_per_s=round(list_bytes / elapsed_s / len(hosts), 1),
        list_bytes_whole=len(stand_in.body),
        state_probes_per_s=round(probes / elapsed_s / len(hosts), 2),
    )


@attrs.frozen(kw_only=True)
class Slopes:
    """Hold how costs grow, fitted by least squares over the runs."""

    cpu_percent_idle: float
    cpu_percent_per_message_per_s: float  # one sent and one received
    wire_bytes_per_message: float  # one sent and one received
    cpu_percent_per_1000_upstreams: float
    resident_mb_per_1000_upstreams: float


def fit_slopes(costs: Sequence[Cost]) -> Slopes:
    """Return the slopes over hosts and over upstreams."""
    over_hosts = [
        cost
        for cost in costs
        if cost.run.upstreams == DEFAULT_UPSTREAMS
        and not cost.run.changes_per_s
    ]
    over_upstreams = [
        cost
        for cost in costs
        if cost.run.hosts == 3 and not cost.run.changes_per_s
    ]
    messages = [cost.messages_sent_per_s for cost in over_hosts]
    upstream_thousands = [
        cost.run.upstreams / 1_000 for cost in over_upstreams
    ]
    cpu = statistics.linear_regression(
        messages, [cost.cpu_percent for cost in over_hosts]
    )
    wire = statistics.linear_regression(
        messages, [cost.wire_bytes_per_s for cost in over_hosts]
    )
    upstreams_cpu = statistics.linear_regression(
        upstream_thousands, [cost.cpu_percent for cost in over_upstreams]
    )
    resident = statistics.linear_regression(
        upstream_thousands, [cost.resident_mb for cost in over_upstreams]
    )
    return Slopes(
        cpu_percent_idle=round(cpu.intercept, 2),
        cpu_percent_per_message_per_s=round(cpu.slope, 4),
        wire_bytes_per_message=round(wire.slope, 1),
        cpu_percent_per_1000_upstreams=round(upstreams_cpu.slope, 3),
        resident_mb_per_1000_upstreams=round(resident.slope, 2),
    )


async def run_all(window_s: float) -> list[Cost]:
    """Measure every run, one after the other."""
    costs = []
    for run in RUNS:
        cost = await measure(run, window_s)
        print(json.dumps(attrs.asdict(cost)), file=sys.stderr, flush=True)
        costs.append(cost)
    return costs


def describe_machine() -> dict[str, Any]:
    """Describe the machine and the software that the figures depend on."""
    return {
        "cores": os.cpu_count(),
        "system": platform.platform(),
        "python": platform.python_version(),
        "load_average": os.getloadavg(),
    }


def main() -> None:
    """Run from the command line."""
    arguments = docopt(__doc__ or "")
    machine = describe_machine()
    costs = asyncio.run(run_all(float(arguments["--window"])))
    result = {
        "machine": machine,
        "window_s": float(arguments["--window"]),
        "slopes": attrs.asdict(fit_slopes(costs)),
        "runs": [attrs.asdict(cost) for cost in costs],
    }
    text = json.dumps(result, indent=2)
    print(text)
    if arguments["--out"]:
        Path(arguments["--out"]).write_text(text + "\n")


if __name__ == "__main__":
    main()
