"""The state of one upstream, as one host knows it."""

from __future__ import annotations

import attrs

from balsamlift.placement._forecast import MemoryProfile, PeerLoad
from balsamlift.placement._pace import GapAverage
from balsamlift.placement._policy import Policy
from balsamlift.placement._request import Ticket

INITIAL_LIMIT = 32.0
MAX_LIMIT = 1_024.0
LIMIT_INTERVAL_MS = 500.0  # between two adjustments of a limit
LIMIT_DECREASE_FACTOR = 0.9
MAX_PREFIXES = 256  # remembered per upstream
UNACCOUNTED_SMOOTHING = 0.2  # weight of the newest report
MAX_UNACCOUNTED_SHARE = 0.5  # of the memory, positive or negative
DEFAULT_MEMORY_TOKENS = 32_768  # until the first report
DEFAULT_GAP_MS = 30.0
MAX_EJECT_DOUBLINGS = 4


@attrs.frozen(kw_only=True)
class LoadReport:
    """Hold the load an engine reports; it lags behind the real load.

    Memory is counted in tokens.
    """

    running: int
    queued: int
    memory_used: int
    memory_total: int


@attrs.define(eq=False)
class Engine:
    """Track the load, speed and availability of one upstream."""

    name: str
    failure_domain: str = ""
    tracks_memory: bool = True  # false for plain services
    tickets: dict[str, Ticket] = attrs.field(factory=dict)
    peers_tokens: int = 0  # peak memory announced by the other hosts
    peers_shape: tuple[float, ...] = MemoryProfile().shape
    report: LoadReport | None = None
    profile: MemoryProfile = attrs.field(factory=MemoryProfile)  # of `tickets`
    profile_updated_ms: float = -1e9
    unaccounted_tokens: float = 0.0  # reported beyond those accounted for
    gaps: GapAverage = attrs.field(factory=GapAverage)  # between tokens
    limit: float = INITIAL_LIMIT  # on this host's requests in flight
    limit_changed_ms: float = 0.0
    closed_until_ms: float = -1e9
    ramp_up_start_ms: float = -1e9  # ahead of the present while it is closed
    ejections: int = 0
    credit: float = 0.0  # tokens of headroom that this host may take
    credit_updated_ms: float = -1e9
    last_draw_ms: float = -1e9  # of a request larger than the credit
    prefixes: dict[str, None] = attrs.field(factory=dict)

    @property
    def memory_tokens(self) -> int:
        """Return the size of its memory, in tokens."""
        if self.report is None or not self.report.memory_total:
            return DEFAULT_MEMORY_TOKENS
        return self.report.memory_total

    @property
    def gap_ms(self) -> float:
        """Return the smoothed gap between tokens; 0 until measured."""
        return self.gaps.gap_ms

    @property
    def gap_seen_ms(self) -> float:
        """Return when the last gap between tokens was observed."""
        return self.gaps.seen_ms

    def expected_gap_ms(self) -> float:
        """Return the expected gap between two tokens."""
        return self.gap_ms or DEFAULT_GAP_MS

    def observe_gap(self, gap_ms: float, now_ms: float) -> None:
        """Record the gap between two tokens."""
        self.gaps.observe(gap_ms, now_ms)

    def adapt_limit(self, policy: Policy, now_ms: float) -> None:
        """Adapt the concurrency limit to the gap between tokens (AIMD).

        The limit is cut by a factor while gaps are too long, and grows by
        one when it is reached.
        """
        if now_ms - self.limit_changed_ms < LIMIT_INTERVAL_MS:
            return
        self.limit_changed_ms = now_ms
        is_measured = now_ms - self.gap_seen_ms < LIMIT_INTERVAL_MS
        if is_measured and self.gap_ms > policy.gap_target_ms:
            in_flight = float(len(self.tickets))
            self.limit = max(
                min(self.limit, in_flight) * LIMIT_DECREASE_FACTOR, 1.0
            )
        elif len(self.tickets) + 1 >= self.limit:
            self.limit = min(self.limit + 1.0, MAX_LIMIT)

    def peer_load(self) -> PeerLoad:
        """Return the load announced by the other hosts."""
        return PeerLoad(self.peers_tokens, self.peers_shape)

    def accounted_tokens(self) -> float:
        """Return the memory that all hosts account for now, in tokens."""
        return self.profile.now + self.peers_tokens * self.peers_shape[0]

    def expected_peak_tokens(self) -> float:
        """Return the expected peak memory of all requests in flight."""
        accounted = self.profile.peak + self.peers_tokens
        return max(accounted + self.unaccounted_tokens, 0.0)

    def apply_report(self, report: LoadReport) -> None:
        """Store a report; update the estimate of unaccounted memory."""
        self.report = report
        excess = report.memory_used - self.accounted_tokens()
        bound = report.memory_total * MAX_UNACCOUNTED_SHARE
        excess = min(max(excess, -bound), bound)
        self.unaccounted_tokens += UNACCOUNTED_SMOOTHING * (
            excess - self.unaccounted_tokens
        )

    def close(self, until_ms: float) -> None:
        """Close the upstream to new placements until `until_ms`."""
        self.closed_until_ms = max(self.closed_until_ms, until_ms)
        self.ramp_up_start_ms = self.closed_until_ms

    def eject(self, policy: Policy, now_ms: float) -> None:
        """Close a slow upstream, with exponential back-off."""
        doublings = min(self.ejections, MAX_EJECT_DOUBLINGS)
        self.ejections += 1
        self.close(now_ms + policy.eject_ms * 2**doublings)

    def is_closed(self, now_ms: float) -> bool:
        """Return whether the upstream is closed to new placements."""
        return now_ms < self.closed_until_ms

    def ramp_up_share(self, policy: Policy, now_ms: float) -> float:
        """Return the share of its capacity usable after it reopened.

        The share grows linearly from 0.1 to 1 over `return_ms`.
        """
        open_ms = now_ms - self.ramp_up_start_ms
        return min(max(open_ms / policy.return_ms, 0.1), 1.0)

    def remember_prefix(self, prefix: str) -> None:
        """Record that its cache holds a prefix."""
        if not prefix:
            return
        self.prefixes.pop(prefix, None)
        self.prefixes[prefix] = None
        if len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    def forget_prefix(self, prefix: str) -> None:
        """Record that its cache evicted a prefix."""
        self.prefixes.pop(prefix, None)

    def refill_credit(
        self, share: float, policy: Policy, now_ms: float
    ) -> None:
        """Add credit for the time passed: `share` tokens per `picture_ms`.

        The credit never exceeds `share`.
        """
        periods = (now_ms - self.credit_updated_ms) / policy.picture_ms
        self.credit = min(self.credit + share * periods, share)
        self.credit_updated_ms = now_ms
