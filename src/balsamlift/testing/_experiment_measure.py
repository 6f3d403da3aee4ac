"""Metrics of one run of the placement experiment."""

from __future__ import annotations

from array import array
from collections import Counter

import attrs

from balsamlift.testing._experiment_workload import Arrival

STALL_THRESHOLD_MS = 250.0  # the excess of a longer gap counts as stall time
BUCKET_MS = 1_000.0
RECOVERED_BUCKETS = 3  # consecutive good buckets that end a recovery
MIN_STALLED_SHARE = 0.002  # a bucket with fewer stalled gaps is always good
FIRST_TOKEN_TARGET_MS = 1_000.0  # target for the first token of short work
ON_TARGET_SHARE = 0.9  # of the short work in a bucket


@attrs.define(eq=False)
class Request:
    """Record the progress and the outcome of one request."""

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
    goodput_per_s: float  # completed in time, in the measured part
    goodput_tokens_per_s: float
    whole: int
    refused: int
    failed: int
    share_least: float  # lowest served/fair ratio of any workspace
    share_ratio: float  # highest to lowest served/fair ratio
    # From the fault until stalls and the first tokens of short work are
    # as before; the rest of the run if they never are, -1 without a fault.
    recovery_s: float


class Recorder:
    """Collect token gaps and requests, and compute the figures of a run."""

    def __init__(self, start_ms: float, end_ms: float) -> None:
        """Measure requests that arrive between the two times."""
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.requests: list[Request] = []
        self._gaps = array("f")
        self._short_gaps = array("f")
        self._gap_counts: Counter[int] = Counter()
        self._stall_counts: Counter[int] = Counter()

    def record_token(self, request: Request, now_ms: float) -> float:
        """Record a token; return the gap before it, 0 for the first."""
        request.tokens += 1
        if request.first_ms < 0:
            request.first_ms = request.last_ms = now_ms
            return 0.0
        gap_ms = now_ms - request.last_ms
        request.last_ms = now_ms
        request.stall_ms += max(gap_ms - STALL_THRESHOLD_MS, 0.0)
        bucket = int(now_ms // BUCKET_MS)
        self._gap_counts[bucket] += 1
        if gap_ms > STALL_THRESHOLD_MS:
            self._stall_counts[bucket] += 1
        if self._is_measured(request):
            gaps = self._short_gaps if request.arrival.short else self._gaps
            gaps.append(gap_ms)
        return gap_ms

    def result(self, fault_ms: float | None) -> Result:
        """Return the figures of the run; `fault_ms` is when a fault began."""
        measured = [r for r in self.requests if self._is_measured(r)]
        ran = [r for r in measured if r.first_ms >= 0]
        long_ran = [r for r in ran if not r.arrival.short]
        whole = [r for r in measured if r.outcome == "whole"]
        in_time = [r for r in self.requests if self._completed_in_time(r)]
        seconds = (self.end_ms - self.start_ms) / 1_000
        short_gaps = sorted(self._short_gaps)
        gaps = sorted(self._gaps + self._short_gaps)
        first = sorted(r.first_ms - r.arrival.at_ms for r in ran)
        short_first = sorted(
            r.first_ms - r.arrival.at_ms for r in ran if r.arrival.short
        )
        ratios = _served_to_fair_ratios(measured)
        tokens = sum(r.tokens for r in in_time)
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
            goodput_per_s=len(in_time) / seconds,
            goodput_tokens_per_s=tokens / seconds,
            whole=len(whole),
            refused=sum(r.outcome == "refused" for r in measured),
            failed=sum(r.outcome == "failed" for r in measured),
            share_least=min(ratios, default=1.0),
            share_ratio=max(ratios, default=1.0)
            / max(min(ratios, default=1.0), 1e-6),
            recovery_s=self._recovery_s(fault_ms),
        )

    def _is_measured(self, request: Request) -> bool:
        return self.start_ms <= request.arrival.at_ms < self.end_ms

    def _completed_in_time(self, request: Request) -> bool:
        """Return whether a request completed in time, in the measured part."""
        took_ms = request.end_ms - request.arrival.at_ms
        return (
            request.outcome == "whole"
            and self.start_ms <= request.end_ms < self.end_ms
            and took_ms <= request.arrival.placement_request.deadline_ms
        )

    def _recovery_s(self, fault_ms: float | None) -> float:
        """Return for how long after the fault the service is degraded."""
        if fault_ms is None:
            return -1.0
        fault = int(fault_ms // BUCKET_MS)
        buckets = range(fault, int(self.end_ms // BUCKET_MS))
        stalls = _first_recovered(
            [self._has_usual_stalls(b, fault) for b in buckets]
        )
        on_target = self._buckets_on_target()
        first = _first_recovered([on_target.get(b, True) for b in buckets])
        return float(max(stalls, first))

    def _has_usual_stalls(self, bucket: int, fault: int) -> bool:
        """Return whether the share of stalled gaps is as before the fault.

        A share up to twice the earlier one, or up to `MIN_STALLED_SHARE`,
        counts as before.
        """
        before = range(int(self.start_ms // BUCKET_MS), fault)
        usual = _ratio(
            sum(self._stall_counts[b] for b in before),
            sum(self._gap_counts[b] for b in before),
        )
        share = _ratio(self._stall_counts[bucket], self._gap_counts[bucket])
        return share <= max(2 * usual, MIN_STALLED_SHARE)

    def _buckets_on_target(self) -> dict[int, bool]:
        """Return by bucket whether most short work began within the target.

        A request counts in the bucket in which it arrived.
        """
        arrived: Counter[int] = Counter()
        on_target: Counter[int] = Counter()
        for request in self.requests:
            if not request.arrival.short:
                continue
            at_ms = request.arrival.at_ms
            bucket = int(at_ms // BUCKET_MS)
            arrived[bucket] += 1
            wait_ms = request.first_ms - at_ms
            on_target[bucket] += 0 <= wait_ms <= FIRST_TOKEN_TARGET_MS
        return {
            b: on_target[b] >= ON_TARGET_SHARE * arrived[b] for b in arrived
        }


def _first_recovered(good: list[bool]) -> int:
    """Return where the first long enough run of good buckets begins.

    Return the number of buckets if there is none.
    """
    consecutive = 0
    for index, is_good in enumerate(good):
        consecutive = consecutive + 1 if is_good else 0
        if consecutive == RECOVERED_BUCKETS:
            return index + 1 - RECOVERED_BUCKETS
    return len(good)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _ratio(part: int, whole: int) -> float:
    return part / whole if whole else 0.0


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)]


def _served_to_fair_ratios(requests: list[Request]) -> list[float]:
    """Return the ratio of served to fair tokens of each workspace.

    The fair amounts are a weighted max-min share of all tokens served.
    """
    served: Counter[str] = Counter()
    wanted: Counter[str] = Counter()
    weights: dict[str, float] = {}
    for request in requests:
        placement_request = request.arrival.placement_request
        size = placement_request.prompt_tokens + request.arrival.output_tokens
        weights[placement_request.workspace] = placement_request.weight
        wanted[placement_request.workspace] += size
        if request.outcome == "whole":
            served[placement_request.workspace] += size
    fair = _max_min_fair(dict(wanted), weights, float(sum(served.values())))
    return [served[name] / fair[name] for name in fair]


def _max_min_fair(
    wanted: dict[str, int], weights: dict[str, float], total: float
) -> dict[str, float]:
    fair: dict[str, float] = {}
    remaining = dict(wanted)
    while remaining:
        per_weight = total / sum(weights[name] for name in remaining)
        satisfied = [
            n for n in remaining if remaining[n] <= per_weight * weights[n]
        ]
        if not satisfied:
            fair.update(
                {name: per_weight * weights[name] for name in remaining}
            )
            return fair
        for name in satisfied:
            fair[name] = float(remaining.pop(name))
            total -= fair[name]
    return fair
