"""Run a short soak of hosts without upstreams, and check its checker."""

import asyncio
from pathlib import Path

import pytest
from _manual_clock import ManualClock
from soak.contact import ContactChecker
from soak.cut_plan import draw_cut_plan
from soak.plan import Fault, Plan
from soak.run import run_plan

from balsamlift.testing._cuts import CUTS

CUT_S = 6.0
SCOPES = 4  # one host, a failure domain, all but one, all


def cut(number: int, *, scope: int) -> Fault:
    """Return a cut of its own kind that begins after those before it."""
    return Fault(
        kind="host_cut",
        start_s=1.0 + number * (CUT_S + 1.0),
        duration_s=CUT_S,
        target_number=number,
        variant_number=scope * len(CUTS) + number,
    )


def test_hosts_without_upstreams_serve_their_callers(tmp_path: Path) -> None:
    faults = (
        cut(0, scope=1),
        cut(1, scope=2),
        cut(2, scope=0),
        cut(3, scope=1),
    )
    plan = Plan(seed=1, is_planned_only=False, faults=faults)
    result = asyncio.run(run_plan(plan, tmp_path))
    assert result.violations == []
    assert result.served > 50


def test_plans_of_cuts_have_each_kind_and_scope() -> None:
    assert draw_cut_plan(7, 30.0) == draw_cut_plan(7, 30.0)
    faults = [
        f for seed in range(20) for f in draw_cut_plan(seed, 30.0).faults
    ]
    numbers = [f.variant_number for f in faults if f.kind == "host_cut"]
    assert {number % len(CUTS) for number in numbers} == set(range(len(CUTS)))
    scopes = {number // len(CUTS) % SCOPES for number in numbers}
    assert scopes == set(range(SCOPES))


class CutHost:
    """A host that is cut off for a while, beside one that is not."""

    def __init__(self) -> None:
        self.clock = ManualClock(10.0)
        self.violations: list[str] = []
        self.checker = ContactChecker(
            ["cut", "other"],
            lambda guarantee, _subject, text: self.violations.append(text),
            self.clock,
        )
        self.period = self.checker.begin_cut(["cut"])

    def attempts(
        self, host: str, *, at_s: float, served: int, failed: int
    ) -> None:
        for is_served in [True] * served + [False] * failed:
            self.checker.record_attempt(host, at_s, is_served=is_served)

    def check(self) -> list[str]:
        self.clock.now_s = 20.0
        self.checker.end_cut(self.period)
        self.checker.check()
        return self.violations


def test_checker_reports_hosts_that_serve_less_than_two_thirds() -> None:
    host = CutHost()
    host.attempts("cut", at_s=14.0, served=20, failed=12)
    host.attempts("other", at_s=14.0, served=30, failed=0)
    assert host.check() == [
        "hosts without upstreams served 20 of 32, the others 30 of 30"
    ]


@pytest.mark.parametrize(("served", "failed"), [(22, 10), (30, 12), (0, 10)])
def test_checker_tolerates_few_failures_or_a_small_gap(
    served: int, failed: int
) -> None:
    host = CutHost()
    host.attempts("cut", at_s=14.0, served=served, failed=failed)
    host.attempts("other", at_s=14.0, served=30, failed=0)
    assert host.check() == []


def test_checker_counts_from_the_time_by_which_hosts_have_to_know() -> None:
    host = CutHost()
    host.attempts("cut", at_s=12.9, served=0, failed=50)
    host.attempts("cut", at_s=20.1, served=0, failed=50)
    host.attempts("other", at_s=14.0, served=30, failed=0)
    assert host.check() == []


def test_checker_exempts_a_host_that_was_stopped() -> None:
    host = CutHost()
    host.clock.now_s = 15.0
    host.checker.exempt_host("cut")
    host.attempts("cut", at_s=14.0, served=0, failed=50)
    host.attempts("other", at_s=14.0, served=30, failed=0)
    assert host.check() == []


def test_checker_compares_only_while_some_host_is_not_cut_off() -> None:
    host = CutHost()
    host.attempts("other", at_s=14.0, served=30, failed=0)
    host.clock.now_s = 15.0
    other = host.checker.begin_cut(["other"])
    host.attempts("cut", at_s=16.0, served=0, failed=50)
    host.clock.now_s = 17.0
    host.checker.end_cut(other)
    assert host.check() == []


def test_checker_compares_with_no_host_that_was_stopped() -> None:
    host = CutHost()
    host.attempts("other", at_s=18.5, served=30, failed=0)
    host.clock.now_s = 15.0
    host.checker.exempt_host("other")
    host.attempts("cut", at_s=16.0, served=0, failed=50)
    assert host.check() == []


def test_checker_counts_again_once_another_host_is_sound() -> None:
    host = CutHost()
    host.attempts("other", at_s=18.5, served=30, failed=0)
    host.clock.now_s = 15.0
    host.checker.exempt_host("other")
    host.attempts("cut", at_s=18.5, served=0, failed=50)
    assert len(host.check()) == 1
