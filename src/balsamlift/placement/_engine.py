"""What one host knows of one upstream."""

from __future__ import annotations

import attrs

from balsamlift.placement._ask import Ticket
from balsamlift.placement._forecast import Others, Profile
from balsamlift.placement._policy import Policy

GAP_WINDOW_MS = 500.0  # over which gaps are averaged
GAP_SMOOTHING = 0.5  # weight of one window
LIMIT_START = 32.0
LIMIT_MOST = 1_024.0
LIMIT_STEP_MS = 500.0  # between two changes of a limit
LIMIT_CUT = 0.9
PREFIXES = 256  # remembered per upstream
UNCOUNTED_SMOOTHING = 0.2  # weight of one report
UNCOUNTED_MOST = 0.5  # of the memory, either way
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
    peers_tokens: int = 0  # expected by the other hosts, at their peak
    peers_shape: tuple[float, ...] = Profile().shape
    report: LoadReport | None = None
    profile: Profile = attrs.field(factory=Profile)  # of `tickets`
    profile_ms: float = -1e9
    uncounted: float = 0.0  # tokens reported beyond those counted
    gap_ms: float = 0.0  # smoothed; 0 before the first
    gap_seen_ms: float = -1e9
    window_ms: float = 0.0  # start of the window of gaps
    window_sum_ms: float = 0.0
    window_count: int = 0
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
        self.gap_seen_ms = now_ms
        self.window_sum_ms += gap_ms
        self.window_count += 1
        if now_ms - self.window_ms < GAP_WINDOW_MS:
            return
        mean_ms = self.window_sum_ms / self.window_count
        if self.gap_ms:
            self.gap_ms += GAP_SMOOTHING * (mean_ms - self.gap_ms)
        else:
            self.gap_ms = mean_ms
        self.window_ms = now_ms
        self.window_sum_ms = 0.0
        self.window_count = 0

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

    def others(self) -> Others:
        """Return what the other hosts expect there."""
        return Others(self.peers_tokens, self.peers_shape)

    def counted_tokens(self) -> float:
        """Return the memory that all hosts count there at this moment."""
        return self.profile.now + self.peers_tokens * self.peers_shape[0]

    def held_tokens(self) -> float:
        """Return the memory that all in flight will take at the mean."""
        counted = self.profile.peak + self.peers_tokens
        return max(counted + self.uncounted, 0.0)

    def take_report(self, report: LoadReport) -> None:
        """Take in a report; learn what it holds that nobody counts."""
        self.report = report
        seen = report.memory_used - self.counted_tokens()
        most = report.memory_total * UNCOUNTED_MOST
        seen = min(max(seen, -most), most)
        self.uncounted += UNCOUNTED_SMOOTHING * (seen - self.uncounted)

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
