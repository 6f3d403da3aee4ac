"""Measure one run of the experiment."""

from __future__ import annotations

from array import array
from collections import Counter

import attrs

from balsamlift.testing._experiment_workload import Arrival

STALL_BOUND_MS = 250.0  # a longer gap is a stall, by its excess
BUCKET_MS = 1_000.0
SETTLED_BUCKETS = 3  # good ones in a row, to call it recovered
BAD_SHARE = 0.002  # of the gaps in a bucket, at least
PROMPT_MS = 1_000.0  # first token of short work
PROMPT_SHARE = 0.9  # of the short work in a bucket


@attrs.define(eq=False)
class Request:
    """Follow one request through the run."""

    arrival: Arrival
    host: int = 0
    engine: int = -1
    tokens: int = 0
    first_ms: float = -1.0
    last_ms: float = -1.0
    end_ms: float = -1.0
    outcome: str = ""  # "whole", "refused" or "failed"
    reason: str = ""
    stall_ms: float = 0.0
    preemptions: int = 0
    waited_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Result:
    """Hold the figures of one run."""

    requests: int
    stall_s: float  # per request that ran
    stall_long_s: float
    preemptions: float  # per 1,000 requests that ran
    gap_p99_ms: float
    gap_p999_ms: float
    short_gap_p99_ms: float
    short_gap_p999_ms: float
    first_token_p99_ms: float
    short_first_token_p99_ms: float
    goodput_per_s: float  # ended whole and in time, in the measured part
    goodput_tokens_per_s: float
    whole: int
    refused: int
    failed: int
    share_least: float  # served over fair, of the worst workspace
    share_ratio: float  # largest to smallest, served over fair
    # From the fault on, until stalls and the first tokens of short work
    # are as usual; the rest of the run when never, -1 without a fault.
    recovery_s: float


class Recorder:
    """Collect what happens in the measured part of a run."""

    def __init__(self, start_ms: float, end_ms: float) -> None:
        """Measure requests that arrive between the two times."""
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.requests: list[Request] = []
        self._gaps = array("f")
        self._short_gaps = array("f")
        self._counted: Counter[int] = Counter()
        self._stalled: Counter[int] = Counter()

    def token(self, request: Request, now_ms: float) -> float:
        """Record a token; return the gap before it, 0 for the first."""
        request.tokens += 1
        if request.first_ms < 0:
            request.first_ms = request.last_ms = now_ms
            return 0.0
        gap_ms = now_ms - request.last_ms
        request.last_ms = now_ms
        request.stall_ms += max(gap_ms - STALL_BOUND_MS, 0.0)
        bucket = int(now_ms // BUCKET_MS)
        self._counted[bucket] += 1
        if gap_ms > STALL_BOUND_MS:
            self._stalled[bucket] += 1
        if self._measured(request):
            gaps = self._short_gaps if request.arrival.short else self._gaps
            gaps.append(gap_ms)
        return gap_ms

    def result(self, fault_ms: float | None) -> Result:
        """Work out the figures."""
        measured = [r for r in self.requests if self._measured(r)]
        ran = [r for r in measured if r.first_ms >= 0]
        long_ran = [r for r in ran if not r.arrival.short]
        whole = [r for r in measured if r.outcome == "whole"]
        timely = [r for r in self.requests if self._ended_in_time(r)]
        seconds = (self.end_ms - self.start_ms) / 1_000
        short_gaps = sorted(self._short_gaps)
        gaps = sorted(self._gaps + self._short_gaps)
        first = sorted(r.first_ms - r.arrival.at_ms for r in ran)
        short_first = sorted(
            r.first_ms - r.arrival.at_ms for r in ran if r.arrival.short
        )
        shares = _shares(measured)
        tokens = sum(r.tokens for r in timely)
        return Result(
            requests=len(measured),
            stall_s=_mean([r.stall_ms / 1_000 for r in ran]),
            stall_long_s=_mean([r.stall_ms / 1_000 for r in long_ran]),
            preemptions=1_000 * _mean([float(r.preemptions) for r in ran]),
            gap_p99_ms=_quantile(gaps, 0.99),
            gap_p999_ms=_quantile(gaps, 0.999),
            short_gap_p99_ms=_quantile(short_gaps, 0.99),
            short_gap_p999_ms=_quantile(short_gaps, 0.999),
            first_token_p99_ms=_quantile(first, 0.99),
            short_first_token_p99_ms=_quantile(short_first, 0.99),
            goodput_per_s=len(timely) / seconds,
            goodput_tokens_per_s=tokens / seconds,
            whole=len(whole),
            refused=sum(r.outcome == "refused" for r in measured),
            failed=sum(r.outcome == "failed" for r in measured),
            share_least=min(shares, default=1.0),
            share_ratio=max(shares, default=1.0)
            / max(min(shares, default=1.0), 1e-6),
            recovery_s=self._recovery_s(fault_ms),
        )

    def _measured(self, request: Request) -> bool:
        return self.start_ms <= request.arrival.at_ms < self.end_ms

    def _ended_in_time(self, request: Request) -> bool:
        """Tell whether it ended whole, in time, in the measured part."""
        took_ms = request.end_ms - request.arrival.at_ms
        return (
            request.outcome == "whole"
            and self.start_ms <= request.end_ms < self.end_ms
            and took_ms <= request.arrival.ask.deadline_ms
        )

    def _recovery_s(self, fault_ms: float | None) -> float:
        """Return how long after the fault the service is impaired."""
        if fault_ms is None:
            return -1.0
        fault = int(fault_ms // BUCKET_MS)
        buckets = range(fault, int(self.end_ms // BUCKET_MS))
        stalls = _settled([self._is_smooth(b, fault) for b in buckets])
        prompt = self._prompt_buckets()
        first = _settled([prompt.get(b, True) for b in buckets])
        return float(max(stalls, first))

    def _is_smooth(self, bucket: int, fault: int) -> bool:
        """Tell whether the share of stalled gaps is as before the fault."""
        before = range(int(self.start_ms // BUCKET_MS), fault)
        usual = _ratio(
            sum(self._stalled[b] for b in before),
            sum(self._counted[b] for b in before),
        )
        share = _ratio(self._stalled[bucket], self._counted[bucket])
        return share <= max(2 * usual, BAD_SHARE)

    def _prompt_buckets(self) -> dict[int, bool]:
        """Tell when most short work that arrived began promptly."""
        arrived: Counter[int] = Counter()
        prompt: Counter[int] = Counter()
        for request in self.requests:
            if not request.arrival.short:
                continue
            at_ms = request.arrival.at_ms
            bucket = int(at_ms // BUCKET_MS)
            arrived[bucket] += 1
            wait_ms = request.first_ms - at_ms
            prompt[bucket] += 0 <= wait_ms <= PROMPT_MS
        return {b: prompt[b] >= PROMPT_SHARE * arrived[b] for b in arrived}


def _settled(good: list[bool]) -> int:
    """Return the first index of enough good ones in a row, else the end."""
    row = 0
    for index, is_good in enumerate(good):
        row = row + 1 if is_good else 0
        if row == SETTLED_BUCKETS:
            return index + 1 - SETTLED_BUCKETS
    return len(good)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _ratio(part: int, whole: int) -> float:
    return part / whole if whole else 0.0


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)]


def _shares(requests: list[Request]) -> list[float]:
    """Return served over fair tokens per workspace.

    Fair is what max-min sharing by weight gives of the tokens served.
    """
    served: Counter[str] = Counter()
    wanted: Counter[str] = Counter()
    weights: dict[str, float] = {}
    for request in requests:
        ask = request.arrival.ask
        size = ask.prompt_tokens + request.arrival.output_tokens
        weights[ask.workspace] = ask.weight
        wanted[ask.workspace] += size
        if request.outcome == "whole":
            served[ask.workspace] += size
    fair = _max_min(dict(wanted), weights, float(sum(served.values())))
    return [served[name] / fair[name] for name in fair]


def _max_min(
    wanted: dict[str, int], weights: dict[str, float], total: float
) -> dict[str, float]:
    fair: dict[str, float] = {}
    left = dict(wanted)
    while left:
        unit = total / sum(weights[name] for name in left)
        content = [n for n in left if left[n] <= unit * weights[n]]
        if not content:
            fair.update({name: unit * weights[name] for name in left})
            return fair
        for name in content:
            fair[name] = float(left.pop(name))
            total -= fair[name]
    return fair
