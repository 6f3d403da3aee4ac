"""Counters, gauges and histograms of one host, and merging of hosts."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sized

import attrs
from hdrh.histogram import HdrHistogram
from tornado.web import RequestHandler

from balsamlift.kernel import Kernel
from balsamlift.operators import JsonHandler, OperatorsServer

MAX_NAMES = 256  # of counters, and as many gauges
MAX_HISTOGRAMS = 64
NAMES_DROPPED = "metrics.names_dropped"

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_FIGURES = 2
_US_PER_MS = 1_000
_NON_WORD_CHARACTERS = re.compile(r"\W+")


@attrs.frozen
class Snapshot:
    """Hold the metrics of one host; histograms are base64 HDR encoded."""

    counters: dict[str, int] = attrs.field(factory=dict)
    gauges: dict[str, float] = attrs.field(factory=dict)
    histograms: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class GaugeSummary:
    """Hold the minimum, maximum and sum of one gauge over hosts."""

    low: float
    high: float
    total: float


@attrs.frozen
class Distribution:
    """Hold the percentiles of one histogram."""

    count: int
    mean_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


@attrs.frozen
class Summary:
    """Hold the merged metrics of several hosts."""

    counters: dict[str, int] = attrs.field(factory=dict)
    gauges: dict[str, GaugeSummary] = attrs.field(factory=dict)
    distributions: dict[str, Distribution] = attrs.field(factory=dict)


class Metrics:
    """Collect the counters, gauges and histograms of this host.

    The number of names is limited; a value under a new name beyond the limit
    is dropped and counted under `NAMES_DROPPED`.
    """

    name = "metrics"

    def __init__(self) -> None:
        """Create empty metrics."""
        self._counters: dict[str, int] = {NAMES_DROPPED: 0}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    async def start(self, kernel: Kernel) -> None:
        """Add the routes that serve the metrics to operators."""
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"metrics": self}
        operators.add_routes(
            [
                (r"/v1/metrics", MetricsHandler, arguments),
                (r"/metrics", TextHandler, arguments),
            ]
        )

    async def stop(self) -> None:
        """Do nothing: there is no work to end."""

    def count(self, name: str, n: int = 1) -> None:
        """Add `n` to a counter."""
        if name in self._counters or self._has_room(self._counters, MAX_NAMES):
            self._counters[name] = self._counters.get(name, 0) + n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name in self._gauges or self._has_room(self._gauges, MAX_NAMES):
            self._gauges[name] = value

    def observe_ms(self, name: str, value: float) -> None:
        """Record a duration in milliseconds, rounded to microseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            if not self._has_room(self._histograms, MAX_HISTOGRAMS):
                return
            histogram = _new_histogram()
            self._histograms[name] = histogram
        value_us = round(value * _US_PER_MS)
        histogram.record_value(min(max(value_us, _LOWEST_US), _HIGHEST_US))

    def snapshot(self) -> Snapshot:
        """Return a copy of all metrics."""
        histograms = {
            name: histogram.encode().decode("ascii")
            for name, histogram in self._histograms.items()
        }
        return Snapshot(dict(self._counters), dict(self._gauges), histograms)

    def _has_room(self, names: Sized, limit: int) -> bool:
        if len(names) < limit:
            return True
        self._counters[NAMES_DROPPED] += 1
        return False


def merge_snapshots(snapshots: Iterable[Snapshot]) -> Summary:
    """Return sums, gauge summaries and percentiles over all snapshots."""
    counters: dict[str, int] = {}
    gauges: dict[str, list[float]] = {}
    histograms: dict[str, HdrHistogram] = {}
    for snapshot in snapshots:
        for name, n in snapshot.counters.items():
            counters[name] = counters.get(name, 0) + n
        for name, value in snapshot.gauges.items():
            gauges.setdefault(name, []).append(value)
        for name, encoded in snapshot.histograms.items():
            merged = histograms.setdefault(name, _new_histogram())
            merged.add(HdrHistogram.decode(encoded))
    return Summary(
        counters,
        {name: _summarize_gauge(values) for name, values in gauges.items()},
        {
            name: _summarize_histogram(merged)
            for name, merged in histograms.items()
        },
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_FIGURES)


def _summarize_gauge(values: list[float]) -> GaugeSummary:
    return GaugeSummary(min(values), max(values), sum(values))


def _summarize_histogram(histogram: HdrHistogram) -> Distribution:
    def percentile_ms(percentile: float) -> float:
        value_us = histogram.get_value_at_percentile(percentile)
        return float(value_us) / _US_PER_MS

    return Distribution(
        count=int(histogram.get_total_count()),
        mean_ms=float(histogram.get_mean_value()) / _US_PER_MS,
        p50_ms=percentile_ms(50),
        p90_ms=percentile_ms(90),
        p99_ms=percentile_ms(99),
        p999_ms=percentile_ms(99.9),
        max_ms=float(histogram.get_max_value()) / _US_PER_MS,
    )


def to_text(snapshot: Snapshot) -> str:
    """Return the metrics as text, with one name and value per line.

    A histogram is given as its count, quantiles and maximum in milliseconds.
    """
    summary = merge_snapshots([snapshot])
    lines = [
        f"{_to_text_name(n)}_total {v}" for n, v in summary.counters.items()
    ]
    lines += [
        f"{_to_text_name(n)} {v.total:g}" for n, v in summary.gauges.items()
    ]
    for name, values in summary.distributions.items():
        base = f"{_to_text_name(name)}_ms"
        lines += [
            f"{base}_count {values.count}",
            f'{base}{{quantile="0.5"}} {values.p50_ms:g}',
            f'{base}{{quantile="0.9"}} {values.p90_ms:g}',
            f'{base}{{quantile="0.99"}} {values.p99_ms:g}',
            f'{base}{{quantile="0.999"}} {values.p999_ms:g}',
            f"{base}_max {values.max_ms:g}",
        ]
    return "\n".join([*sorted(lines), ""])


def _to_text_name(name: str) -> str:
    """Return the name with other characters replaced by underscores."""
    return _NON_WORD_CHARACTERS.sub("_", name)


class TextHandler(RequestHandler):
    """Answer `GET /metrics` with the metrics as text."""

    def initialize(self, metrics: Metrics) -> None:
        """Store the metrics to serve."""
        self._metrics = metrics

    def get(self) -> None:
        """Send the current metrics as text."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(to_text(self._metrics.snapshot()))


class MetricsHandler(JsonHandler):
    """Answer `GET /v1/metrics` with a snapshot."""

    def initialize(self, metrics: Metrics) -> None:
        """Store the metrics to serve."""
        self._metrics = metrics

    def get(self) -> None:
        """Send a snapshot of the current metrics."""
        self.reply(self._metrics.snapshot())
