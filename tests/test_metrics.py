import asyncio

import pytest

from balsamlift._http import HttpClient
from balsamlift.kernel import Kernel
from balsamlift.metrics import (
    MAX_HISTOGRAMS,
    MAX_NAMES,
    NAMES_DROPPED,
    GaugeSummary,
    Metrics,
    Snapshot,
    merge_snapshots,
    to_text,
)
from balsamlift.operators import OperatorsServer


def test_merges_the_metrics_of_hosts() -> None:
    hosts = [Metrics(), Metrics()]
    for number, host in enumerate(hosts):
        host.count("requests", 2)
        host.gauge("running", 3 + number)
        for value in range(1, 501):
            host.observe_ms("gap_ms", value + number * 500)
    summary = merge_snapshots(host.snapshot() for host in hosts)
    assert summary.counters["requests"] == 4
    assert summary.gauges["running"] == GaugeSummary(3, 4, 7)
    gap = summary.distributions["gap_ms"]
    assert gap.count == 1_000
    assert gap.p50_ms == pytest.approx(500, rel=0.01)
    assert gap.p99_ms == pytest.approx(990, rel=0.01)
    assert gap.max_ms == pytest.approx(1_000, rel=0.01)


def test_the_number_of_names_is_limited() -> None:
    metrics = Metrics()
    for number in range(MAX_NAMES + 10):
        metrics.count(f"c{number}")
        metrics.gauge(f"g{number}", 1)
        metrics.observe_ms(f"h{number}", 1)
    snapshot = metrics.snapshot()
    assert len(snapshot.counters) == MAX_NAMES
    assert len(snapshot.gauges) == MAX_NAMES
    assert len(snapshot.histograms) == MAX_HISTOGRAMS
    assert snapshot.counters[NAMES_DROPPED] > 0


@pytest.mark.parametrize("value", [-1.0, 0.0, 1e12])
def test_values_out_of_range_are_clamped(value: float) -> None:
    metrics = Metrics()
    metrics.observe_ms("gap_ms", value)
    summary = merge_snapshots([metrics.snapshot()])
    assert summary.distributions["gap_ms"].count == 1


def test_operators_read_the_metrics() -> None:
    async def scenario() -> None:
        kernel = Kernel()
        operators = OperatorsServer("127.0.0.1:0")
        metrics = Metrics()
        kernel.register(operators)
        kernel.register(metrics)
        await kernel.start()
        metrics.count("requests")
        metrics.observe_ms("gap_ms", 5)
        http = HttpClient()
        url = f"http://{operators.address}/v1/metrics"
        answer = await http.call("GET", url, timeout_ms=5_000)
        assert answer.decode(Snapshot) == metrics.snapshot()
        http.close()
        await kernel.stop()

    asyncio.run(scenario())


def test_text_has_one_metric_per_line() -> None:
    metrics = Metrics()
    metrics.count("relay.answered 200", 3)
    metrics.gauge("peers.live", 8)
    for value in range(1, 101):
        metrics.observe_ms("relay.stream", value)
    lines = to_text(metrics.snapshot()).splitlines()
    assert "relay_answered_200_total 3" in lines
    assert "peers_live 8" in lines
    assert "relay_stream_ms_count 100" in lines
    (median,) = [
        x for x in lines if x.startswith('relay_stream_ms{quantile="0.5"}')
    ]
    assert float(median.split()[-1]) == pytest.approx(50, rel=0.02)
