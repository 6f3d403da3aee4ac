"""What one host knows of one upstream."""

from __future__ import annotations

import attrs

from balsamlift.placement._ask import Ticket
from balsamlift.placement._forecast import Profile
from balsamlift.placement._policy import Policy

GAP_SMOOTHING = 0.05  # weight of one gap in the mean
LIMIT_START = 16.0
LIMIT_MOST = 1_024.0
LIMIT_STEP_MS = 500.0  # between two changes of a limit
LIMIT_CUT = 0.9
PREFIXES = 256  # remembered per upstream
SCALE_SMOOTHING = 0.2
SCALE_LEAST = 0.4
SCALE_MOST = 1.5
SCALE_FROM = 0.1  # of the memory; below, the ratio is noise
MEMORY_UNKNOWN = 32_768  # tokens, before the first report
GAP_UNKNOWN_MS = 30.0
EJECT_DOUBLINGS = 4


@attrs.frozen(kw_only=True)
class LoadReport:
    """Hold what an engine said of its load, in tokens; it lags."""

    running: int
    queued: int
    memory_used: int
    memory_total: int


@attrs.define(eq=False)
class Engine:
    """Keep the state of one upstream, as one host sees it."""

    name: str
    failure_domain: str = ""
    counts_memory: bool = True  # false for plain services
    tickets: dict[str, Ticket] = attrs.field(factory=dict)
    peers_tokens: int = 0  # expected by the other hosts
    report: LoadReport | None = None
    profile: Profile = attrs.field(factory=Profile)  # of `tickets`
    profile_ms: float = -1e9
    scale: float = 1.0  # reported over counted memory
    gap_ms: float = 0.0  # smoothed; 0 before the first
    gap_seen_ms: float = -1e9
    limit: float = LIMIT_START  # of own requests in flight
    limit_ms: float = 0.0
    closed_until_ms: float = -1e9
    returned_ms: float = -1e9
    ejections: int = 0
    credit: float = 0.0
    credit_ms: float = -1e9
    drawn_ms: float = -1e9
    prefixes: dict[str, None] = attrs.field(factory=dict)

    @property
    def memory_tokens(self) -> int:
        """Return the size of its memory."""
        if self.report is None or not self.report.memory_total:
            return MEMORY_UNKNOWN
        return self.report.memory_total

    def expected_gap_ms(self) -> float:
        """Return the gap to expect between two tokens."""
        return self.gap_ms or GAP_UNKNOWN_MS

    def observe_gap(self, gap_ms: float, now_ms: float) -> None:
        """Take in one gap between two tokens."""
        if self.gap_ms:
            self.gap_ms += GAP_SMOOTHING * (gap_ms - self.gap_ms)
        else:
            self.gap_ms = gap_ms
        self.gap_seen_ms = now_ms

    def adapt_limit(self, policy: Policy, now_ms: float) -> None:
        """Cut concurrency while gaps are long, else let it grow."""
        if now_ms - self.limit_ms < LIMIT_STEP_MS:
            return
        self.limit_ms = now_ms
        fresh = now_ms - self.gap_seen_ms < LIMIT_STEP_MS
        if fresh and self.gap_ms > policy.gap_target_ms:
            in_flight = float(len(self.tickets))
            self.limit = max(min(self.limit, in_flight) * LIMIT_CUT, 1.0)
        elif len(self.tickets) + 1 >= self.limit:
            self.limit = min(self.limit + 1.0, LIMIT_MOST)

    def counted_tokens(self) -> float:
        """Return the memory that all hosts count there at this moment."""
        peak = self.profile.peak
        shape = self.profile.now / peak if peak else 1.0
        return self.profile.now + self.peers_tokens * shape

    def held_tokens(self) -> float:
        """Return the memory that all in flight will take at the mean."""
        return self.scale * (self.profile.peak + self.peers_tokens)

    def take_report(self, report: LoadReport) -> None:
        """Take in a report; learn how counted and held memory compare."""
        self.report = report
        counted = self.counted_tokens()
        if counted < report.memory_total * SCALE_FROM:
            return
        seen = report.memory_used / counted
        seen = min(max(seen, SCALE_LEAST), SCALE_MOST)
        self.scale += SCALE_SMOOTHING * (seen - self.scale)

    def close(self, until_ms: float) -> None:
        """Place nothing here until then."""
        self.closed_until_ms = max(self.closed_until_ms, until_ms)
        self.returned_ms = self.closed_until_ms

    def eject(self, policy: Policy, now_ms: float) -> None:
        """Close a slow upstream, longer each time."""
        doublings = min(self.ejections, EJECT_DOUBLINGS)
        self.ejections += 1
        self.close(now_ms + policy.eject_ms * 2**doublings)

    def is_closed(self, now_ms: float) -> bool:
        """Tell whether nothing may be placed here."""
        return now_ms < self.closed_until_ms

    def return_share(self, policy: Policy, now_ms: float) -> float:
        """Return the part of its room in use while it comes back."""
        away_ms = now_ms - self.returned_ms
        return min(max(away_ms / policy.return_ms, 0.1), 1.0)

    def remember_prefix(self, prefix: str) -> None:
        """Note that its cache holds a prefix."""
        if not prefix:
            return
        self.prefixes.pop(prefix, None)
        self.prefixes[prefix] = None
        if len(self.prefixes) > PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    def forget_prefix(self, prefix: str) -> None:
        """Note that its cache dropped a prefix."""
        self.prefixes.pop(prefix, None)

    def refill(self, share: float, policy: Policy, now_ms: float) -> None:
        """Add credit: at most `share` tokens per age of the picture."""
        passed = (now_ms - self.credit_ms) / policy.picture_ms
        self.credit = min(self.credit + share * passed, share)
        self.credit_ms = now_ms
