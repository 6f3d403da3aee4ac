"""Clock that only the test advances."""

from balsamlift.clock import SystemClock


class ManualClock(SystemClock):
    """A clock whose monotonic time is `now_s`."""

    def __init__(self, now_s: float = 0.0) -> None:
        self.now_s = now_s

    def monotonic(self) -> float:
        return self.now_s
