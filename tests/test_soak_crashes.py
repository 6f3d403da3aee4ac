"""Run a soak test with parts that crash engines, and check its checker."""

import asyncio
from pathlib import Path

import pytest
from _manual_clock import ManualClock
from soak.crash_plan import draw_crash_plan
from soak.crashing_parts import CrashingParts
from soak.load import CRASHES
from soak.plan import Fault, Kind, Plan
from soak.run import Fleet, run_plan

LENGTH_S = 16.0
PART = "c0de1"


def fault(kind: Kind, start_s: float, target: int = 0) -> Fault:
    return Fault(
        kind=kind,
        start_s=start_s,
        duration_s=LENGTH_S - start_s,
        target_number=target,
        variant_number=1,
    )


def test_a_part_that_crashes_engines_is_known_after_all_hosts_restart(
    tmp_path: Path,
) -> None:
    """A host is killed and one is terminated meanwhile."""
    faults = (
        fault("crashing_part", 2.0),
        fault("kill", 3.5, target=1),
        fault("term", 5.0, target=2),
        fault("herd_kill", 8.5),
    )
    plan = Plan(seed=1, is_planned_only=False, faults=faults)
    result = asyncio.run(run_plan(plan, tmp_path, Fleet(load=CRASHES)))
    assert result.violations == []
    assert result.served > 50


def test_crash_plans_follow_from_their_seed() -> None:
    assert draw_crash_plan(7, 20.0) == draw_crash_plan(7, 20.0)
    plans = [draw_crash_plan(seed, 20.0) for seed in range(20)]
    kinds = {fault.kind for plan in plans for fault in plan.faults}
    assert {"crashing_part", "herd_kill", "kill", "term"} <= kinds


class Engines:
    """Engines that crash as they begin to answer a part."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self.violations: list[str] = []
        self.checker = CrashingParts(
            1, lambda kind, *_: self.violations.append(kind), self.clock
        )
        self.count = 0

    def send(self, at_s: float, part: str = "", host: str = "h1") -> str:
        self.clock.now_s = at_s
        self.count += 1
        request_id = f"r{self.count}"
        self.checker.record_request(request_id, host, f"aa:1,{part}:1,x:1")
        return request_id

    def crash(self, at_s: float, host: str = "h1") -> None:
        self.checker.record_arrival(self.send(at_s, PART, host))
        self.checker.record_crash(PART)

    def ask(self, at_s: float, *, is_begun: bool) -> None:
        self.checker.record_outcome(self.send(at_s), is_begun=is_begun)

    def check(self) -> list[str]:
        self.checker.check()
        return self.violations


@pytest.mark.parametrize(
    ("last_s", "host", "expected"),
    [
        ([8.1] * 3, "h1", []),
        ([7.9] * 9, "h1", []),
        ([8.1] * 4, "h1", ["crashes"]),
        ([8.1] * 4, "stopped", []),
    ],
)
def test_more_than_three_arrivals_after_five_crashes_are_reported(
    last_s: list[float], host: str, expected: list[str]
) -> None:
    engines = Engines()
    engines.checker.begin(PART)
    for number in range(5):
        engines.crash(1.0 + number)
    for at_s in last_s:
        engines.crash(at_s, host)
    engines.clock.now_s = 7.0
    engines.checker.exempt_host("stopped")
    assert engines.check() == expected


@pytest.mark.parametrize(("served", "expected"), [(9, ["sound"]), (10, [])])
def test_sound_streams_that_no_longer_begin_are_reported(
    served: int, expected: list[str]
) -> None:
    engines = Engines()
    engines.checker.begin(PART)
    for _ in range(20):
        engines.ask(1.0, is_begun=True)
    engines.crash(2.0)
    for number in range(20):
        engines.ask(8.1, is_begun=number < served)
    assert engines.check() == expected
