"""Check that hosts which reach no upstream serve first attempts all the same.

From `CONTACT_S` after a cut began, the hosts that are cut off may not serve
less than two thirds as often as the others, unless few attempts fail there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs

from balsamlift.clock import Clock, SystemClock

CONTACT_S = 3.0  # as in the settings of the hosts
LEAST_RATIO = 2 / 3
TOLERATED_FAILURES, TOLERATED_SHARE = 10, 1 / 50


@attrs.frozen
class Attempt:
    """A first attempt of a caller, and whether it was served."""

    host: str
    sent_s: float
    is_served: bool


@attrs.define
class CutPeriod:
    """A time in which some hosts reach no upstream."""

    hosts: frozenset[str]
    start_s: float
    end_s: float | None = None

    def covers(self, at_s: float) -> bool:
        """Return whether the hosts are to serve at that time."""
        end_s = float("inf") if self.end_s is None else self.end_s
        return self.start_s + CONTACT_S <= at_s <= end_s


class ContactChecker:
    """Record attempts and cuts, and report hosts that serve too little."""

    def __init__(
        self,
        hosts: Sequence[str],
        report_violation: Callable[[str, str, str], None],
        clock: Clock | None = None,
    ) -> None:
        """Report by guarantee, subject and description."""
        self._hosts = hosts
        self._report_violation = report_violation
        self._clock = clock or SystemClock()
        self._attempts: list[Attempt] = []
        self._periods: list[CutPeriod] = []
        self._disturbed_s: dict[str, list[float]] = {}

    def now_s(self) -> float:
        """Return the time for `record_attempt`."""
        return self._clock.monotonic()

    def record_attempt(
        self, host: str, sent_s: float, *, is_served: bool
    ) -> None:
        """Record a first attempt that has ended."""
        self._attempts.append(Attempt(host, sent_s, is_served))

    def begin_cut(self, hosts: Iterable[str]) -> CutPeriod:
        """Record that hosts are cut off from all upstreams."""
        period = CutPeriod(frozenset(hosts), self._clock.monotonic())
        self._periods.append(period)
        return period

    def end_cut(self, period: CutPeriod) -> None:
        """Record the end of a cut."""
        period.end_s = self._clock.monotonic()

    def exempt_host(self, host: str) -> None:
        """Exempt a host around its stop, suspension or start."""
        now_s = self._clock.monotonic()
        self._disturbed_s.setdefault(host, []).append(now_s)

    def check(self) -> None:
        """Report each cut in which the hosts served too little."""
        for period in self._periods:
            self._check(period)

    def _check(self, period: CutPeriod) -> None:
        cut, others = [], []
        for attempt in self._attempts:
            if not period.covers(attempt.sent_s):
                continue
            if self._is_disturbed(attempt.host, attempt.sent_s):
                continue
            if attempt.host in period.hosts:
                if not self._has_sound_host(attempt.sent_s):
                    continue  # there is nobody to compare with
                cut.append(attempt.is_served)
            elif not self._is_cut(attempt.host, attempt.sent_s):
                others.append(attempt.is_served)
        if not cut or not others:
            return
        failed = cut.count(False)
        tolerated = TOLERATED_FAILURES + TOLERATED_SHARE * len(cut)
        if failed <= tolerated or _share(cut) >= LEAST_RATIO * _share(others):
            return
        self._report_violation(
            "recover",
            "",
            f"hosts without upstreams served {sum(cut)} of {len(cut)}, "
            f"the others {sum(others)} of {len(others)}",
        )

    def _has_sound_host(self, at_s: float) -> bool:
        """Return whether some host is neither cut off nor disturbed."""
        return not all(
            self._is_cut(host, at_s) or self._is_disturbed(host, at_s)
            for host in self._hosts
        )

    def _is_cut(self, host: str, at_s: float) -> bool:
        """Return whether a host is cut off, or was so a short time before."""
        return any(
            host in period.hosts
            and period.start_s
            <= at_s
            <= (period.end_s or float("inf")) + CONTACT_S
            for period in self._periods
        )

    def _is_disturbed(self, host: str, at_s: float) -> bool:
        """Return whether a host was stopped or started around that time."""
        return any(
            disturbed_s - CONTACT_S <= at_s <= disturbed_s + CONTACT_S
            for disturbed_s in self._disturbed_s.get(host, ())
        )


def _share(served: list[bool]) -> float:
    return sum(served) / len(served)
