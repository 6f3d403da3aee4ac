"""Token bucket that schedules the requests of all hosts to one upstream."""

from __future__ import annotations

from balsamlift._sliding_window import SlidingWindow

# Tokens saved while nobody asks, in seconds of the rate, and at least this
# many: arrivals are random, so without savings a part of the limit is lost.
BURST_S = 0.5
MIN_BURST = 2.0
# Generations that continue on this upstream are lost if they have to wait, so
# a few are sent at once and later requests wait for them.
RESUMED_EXTRA = 2
RESUMED_WINDOW_S = 4.0
# An upstream whose limit is 0 gets one request in this time, to hear when the
# limit ends.
PROBE_INTERVAL_S = 4.0


class PermitBucket:
    """Grant permits at a rate, at once or for a later time.

    In any time `t_s` it lets at most `rate * t_s + max(MIN_BURST, rate *
    BURST_S) + RESUMED_EXTRA` requests through.
    """

    def __init__(self, now_s: float) -> None:
        """Start without a saved token: requests may just have been sent."""
        self._tokens = 0.0
        self._updated_s = now_s
        self._rate_per_s = 0.0
        self._return_s = now_s
        self._resumed = SlidingWindow(RESUMED_WINDOW_S)

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Grant permits at this rate from now on."""
        self._refill(now_s)
        self._rate_per_s = max(rate_per_s, 1 / PROBE_INTERVAL_S)

    def take(self, now_s: float, max_wait_s: float) -> float | None:
        """Return the wait for the next permit, or None if it is too long."""
        wait_s = self.next_wait_s(now_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1
        return wait_s

    def take_resumed(self, now_s: float) -> bool:
        """Take a permit for a resumed generation; return whether it may."""
        self._refill(now_s)
        if self._tokens < 1:
            if self._resumed.count(now_s) >= RESUMED_EXTRA:
                return False
            self._resumed.add(now_s)
        self._tokens -= 1
        return True

    def next_wait_s(self, now_s: float) -> float:
        """Return the time until the next permit is free."""
        self._refill(now_s)
        return max((1 - self._tokens) / self._rate_per_s, 0.0)

    def reserve_return(self, now_s: float) -> float:
        """Return after which time a denied caller is to come back.

        Each is given another time, at the rate of the permits.
        """
        first_s = now_s + self.next_wait_s(now_s)
        self._return_s = max(self._return_s, first_s) + 1 / self._rate_per_s
        return self._return_s - now_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = now_s
        most = max(self._rate_per_s * BURST_S, MIN_BURST)
        tokens = self._tokens + elapsed_s * self._rate_per_s
        self._tokens = min(tokens, most)
