"""Run short soak tests, and check the plan and the guarantee checker."""

import asyncio
from asyncio.subprocess import Process
from pathlib import Path
from typing import BinaryIO

import attrs
import pytest
from _manual_clock import ManualClock
from soak.departures import FORMS
from soak.guarantees import CallerOutcome, GuaranteeChecker, stream_body
from soak.hosts import Host
from soak.long_plan import draw_long_plan
from soak.network import Network
from soak.plan import PLANNED, STATEMENTS, Fault, Kind, Plan, draw_plan
from soak.rate_limits import RateLimitChecker
from soak.restarts import Restarts
from soak.retries import RetryChecker
from soak.run import run_plan, run_seed
from soak.statements import StatementChecker

LENGTH_S = 5.0
# One run with planned operations only and one with any fault. A seed that
# violated a guarantee is added here with its cause.
SEEDS = [1, 2]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold(seed: int, tmp_path: Path) -> None:
    result = asyncio.run(run_seed(seed, LENGTH_S, tmp_path))
    assert result.violations == []
    assert result.served > 50


LIMITED_S = 12.0
STAYS_LISTED_SAYS_TWICE = 15  # see `Departures`
WAYS = 5
RESTARTS_S = 10.0


def fault(
    kind: Kind, start_s: float, target: int = 0, variant: int = 0
) -> Fault:
    return Fault(
        kind=kind,
        start_s=start_s,
        duration_s=LIMITED_S - start_s,
        target_number=target,
        variant_number=variant,
    )


def test_all_hosts_together_keep_the_rate_limit_of_an_upstream(
    tmp_path: Path,
) -> None:
    """One host is killed and one is terminated meanwhile."""
    faults = (
        fault("rate_limit", 0.0, target=0, variant=1),  # of the models
        fault("rate_limit", 0.0, target=2, variant=1),  # of the plain ones
        fault("rate_limit", 0.1, target=3, variant=2),
        fault("kill", 2.0, target=1),
        fault("term", 5.0, target=2),
    )
    plan = Plan(seed=1, is_planned_only=False, faults=faults)
    result = asyncio.run(run_plan(plan, tmp_path))
    assert result.violations == []
    assert result.served > 50


def test_hosts_heed_what_upstreams_say_about_themselves(
    tmp_path: Path,
) -> None:
    """The store is silent meanwhile, and one host is killed."""
    faults = (
        fault("store_fault", 0.0),  # silent
        fault("upstream_notice", 0.5, target=0),  # one of the models
        fault("upstream_notice", 0.5, target=2),  # one of the plain ones
        fault("upstream_refuses", 1.0, target=1),
        fault("upstream_refuses", 1.0, target=3),
        fault("kill", 4.0, target=1),
    )
    plan = Plan(seed=1, is_planned_only=False, faults=faults)
    result = asyncio.run(run_plan(plan, tmp_path))
    assert result.violations == []
    assert result.served > 50


def test_hosts_heed_a_notice_that_is_given_twice_in_each_answer(
    tmp_path: Path,
) -> None:
    departure = fault("departure", 0.5, variant=STAYS_LISTED_SAYS_TWICE)
    faults = (attrs.evolve(departure, duration_s=6.0), fault("kill", 3.0))
    plan = Plan(seed=1, is_planned_only=False, faults=faults)
    result = asyncio.run(run_plan(plan, tmp_path))
    assert result.violations == []
    assert result.served > 50


def test_long_plans_have_departures_of_every_kind() -> None:
    assert draw_long_plan(7, 60.0) == draw_long_plan(7, 60.0)
    plans = [draw_long_plan(seed, 60.0) for seed in range(20)]
    numbers = [
        f.variant_number
        for plan in plans
        for f in plan.faults
        if f.kind == "departure"
    ]
    ways = {number % WAYS for number in numbers}
    forms = {FORMS[number // WAYS % len(FORMS)] for number in numbers}
    assert ways == set(range(WAYS))
    assert forms == {"always", "alternate", "twice"}


class RepeatingService:
    """A service that may get two repeats beside a fifth of its requests."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self.violations: list[str] = []
        self.checker = RetryChecker(
            2,
            lambda guarantee, _subject, _text: self.violations.append(
                guarantee
            ),
            self.clock,
        )

    def request(self, number: int, *, at_s: float, arrivals: int) -> None:
        self.clock.now_s = at_s
        for n in range(number):
            self.checker.record_request("plain")
            for _ in range(arrivals):
                self.checker.record_arrival("plain", f"{at_s}/{n}")

    def check(self) -> list[str]:
        self.checker.check()
        return self.violations


def test_too_many_repeats_of_all_hosts_are_reported_once_in_a_window() -> None:
    service = RepeatingService()
    service.request(5, at_s=20.0, arrivals=2)
    assert service.check() == ["retries"]


@pytest.mark.parametrize("before_s", [1.0, 6.0, 13.0, 19.0])
def test_repeats_are_counted_against_the_requests_of_three_windows(
    before_s: float,
) -> None:
    service = RepeatingService()
    service.request(15, at_s=20.0 - before_s, arrivals=1)
    service.request(5, at_s=20.0, arrivals=2)
    assert service.check() == []


def test_terminated_daemons_end(tmp_path: Path) -> None:
    """One in fourteen waited forever for a task that lost a cancellation."""
    result = asyncio.run(Restarts(1, 6, tmp_path).run(RESTARTS_S))
    assert result.violations == []
    assert len(result.ends_s) >= 6


def test_a_process_that_cannot_be_started_is_reported(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The supervisor ended without a word, and its host never served again."""
    start_process = Host.start_process
    starts: list[str] = []

    async def fail_once(host: Host, log_file: BinaryIO) -> Process:
        starts.append(host.name)
        if starts.count("edge-1") == 2:
            raise BlockingIOError("no process to be had")
        return await start_process(host, log_file)

    monkeypatch.setattr(Host, "start_process", fail_once)
    plan = Plan(
        seed=1, is_planned_only=False, faults=(fault("kill", 1.0, target=1),)
    )
    result = asyncio.run(run_plan(plan, tmp_path))
    expected = "supervisor:  edge-1: BlockingIOError: no process to be had"
    assert result.violations == [expected]
    history = (tmp_path / "edge-1-processes.log").read_text()
    assert '"exit_code": -9' in history
    assert "could not start" in history


def test_runs_beside_each_other_have_addresses_of_their_own() -> None:
    """Requests of one run reached upstreams and hosts of another."""
    networks = [Network() for _ in range(3)]
    assert len({network.ip(1) for network in networks}) == 3
    for network in networks:
        network.release()


def test_plan_is_determined_by_its_seed() -> None:
    assert draw_plan(7, 10.0) == draw_plan(7, 10.0)
    plans = [draw_plan(seed, 10.0) for seed in range(50)]
    planned = [plan for plan in plans if plan.is_planned_only]
    assert 5 < len(planned) < 30
    operations = {*PLANNED, *STATEMENTS, "rate_limit"}
    assert all(f.kind in operations for plan in planned for f in plan.faults)


def make_outcome(request_id: str = "r1", **fields: object) -> CallerOutcome:
    values: dict[str, object] = {
        "request_id": request_id,
        "is_stream": False,
        "is_idempotent": False,
        "status": 200,
        "signature": f"signed-{request_id}",
        "body": b"done",
        "is_whole": True,
    }
    return CallerOutcome(**{**values, **fields})  # type: ignore[arg-type]


def make_checker_with_one_run() -> GuaranteeChecker:
    guarantees = GuaranteeChecker()
    guarantees.record_run("r1", "t-1", has_key=False, resumes=False)
    guarantees.record_upstream_answer("r1", 200, b"done")
    return guarantees


def test_allowed_outcomes_are_no_violations() -> None:
    guarantees = make_checker_with_one_run()
    guarantees.check_outcome(make_outcome())
    guarantees.check_outcome(
        make_outcome("r2", status=503, signature="", body=b"")
    )
    guarantees.check_outcome(
        make_outcome("r3", status=0, signature="", is_whole=False)
    )
    guarantees.record_run("r4", "t-1", has_key=False, resumes=False)
    guarantees.record_run("r4", "t-1", has_key=False, resumes=True)
    guarantees.check_outcome(
        make_outcome("r4", is_stream=True, body=stream_body("r4"))
    )
    assert guarantees.violations == []


@pytest.mark.parametrize(
    ("promise", "fields"),
    [
        ("refused", {"status": 503, "signature": ""}),
        ("refused", {"status": 408, "signature": ""}),
        ("mixed", {"signature": ""}),
        ("mixed", {"signature": "signed-r2"}),
        ("mixed", {"body": b"other"}),
        ("mixed", {"status": 500}),
        ("order", {"is_stream": True, "body": b"id: 1\n"}),
        ("order", {"is_stream": True, "body": stream_body("r1")[:20]}),
    ],
)
def test_violation_is_reported(promise: str, fields: dict) -> None:
    guarantees = make_checker_with_one_run()
    guarantees.check_outcome(make_outcome(**fields))
    assert [line.split(":")[0] for line in guarantees.violations] == [promise]


def test_repeated_run_and_run_after_refusal_are_reported() -> None:
    guarantees = make_checker_with_one_run()
    guarantees.record_run("r1", "t-1", has_key=False, resumes=False)
    guarantees.check_outcome(make_outcome("r2", status=503, signature=""))
    guarantees.record_run("r2", "t-1", has_key=False, resumes=False)
    assert guarantees.violations == [
        "twice: r1 was executed again",
        "refused: r2 was executed after its refusal",
    ]


@pytest.mark.parametrize(("runs", "broken"), [(2, []), (3, ["twice"])])
def test_a_resumable_stream_may_run_as_often_as_its_route_says(
    runs: int, broken: list[str]
) -> None:
    guarantees = GuaranteeChecker()
    guarantees.record_request("r1", "t-2", max_runs=2)
    for _ in range(runs):
        guarantees.record_run("r1", "t-2", has_key=False, resumes=False)
    guarantees.check_outcome(
        make_outcome(is_stream=True, body=stream_body("r1"))
    )
    assert [v.split(":")[0] for v in guarantees.violations] == broken
    twice = stream_body("r1") + stream_body("r1")
    guarantees.check_outcome(make_outcome(is_stream=True, body=twice))
    guarantees.check_outcome(make_outcome(status=503, signature=""))
    reported = [v.split(":")[0] for v in guarantees.violations]
    assert reported == [*broken, "order", "refused"]


def test_passed_on_key_and_wrong_workspace_are_reported() -> None:
    guarantees = GuaranteeChecker()
    guarantees.record_run("r1", "t-2", has_key=True, resumes=False)
    assert len(guarantees.violations) == 2


class LimitedUpstream:
    """An upstream with a limit of 1 a second, which tolerates 11 in 4 s."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.violations: list[str] = []
        self.checker = RateLimitChecker(
            lambda *violation: self.violations.append(violation[0]),
            self.clock,
        )
        self.checker.set_limit("e1", 1.0)
        self.count = 0

    def send(self, host: str, times: int, *, at_s: float) -> None:
        self.clock.now_s = at_s
        for _ in range(times):
            self.count += 1
            self.checker.record_request(f"r{self.count}", host)
            self.checker.record_arrival("e1", f"r{self.count}")
            self.checker.record_passed_on(f"r{self.count}")

    def check(self) -> list[str]:
        self.checker.check()
        return self.violations


def test_a_rate_limit_that_hosts_exceed_together_is_reported() -> None:
    upstream = LimitedUpstream()
    for host in ("h1", "h2"):
        upstream.send(host, 1, at_s=0.1)
        upstream.send(host, 6, at_s=4.0)
    assert upstream.check() == ["limit"]


@pytest.mark.parametrize("late_s", [2.9, 8.5])
def test_a_rate_limit_may_be_exceeded_before_it_counts(late_s: float) -> None:
    upstream = LimitedUpstream()
    upstream.send("h1", 1, at_s=0.1)
    upstream.send("h1", 11, at_s=4.0)
    upstream.send("h1", 11, at_s=late_s)
    assert upstream.check() == []


def test_hosts_that_were_stopped_are_exempt_from_a_rate_limit() -> None:
    upstream = LimitedUpstream()
    upstream.send("h1", 1, at_s=0.1)
    upstream.send("h1", 6, at_s=6.0)
    upstream.checker.exempt_host("h1")
    upstream.send("h1", 20, at_s=6.1)
    assert upstream.check() == []


class SpeakingUpstream:
    """An upstream whose statements a checker holds hosts to."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self.violations: list[str] = []
        self.checker = StatementChecker(
            lambda guarantee, _subject, _text: self.violations.append(
                guarantee
            ),
            self.clock,
        )
        self.count = 0

    def send(self, host: str, *, sent_s: float, at_s: float) -> str:
        """Send a request from a host; return its id."""
        self.count += 1
        request_id = f"r{self.count}"
        self.clock.now_s = sent_s
        self.checker.record_request(request_id, host)
        self.clock.now_s = at_s
        self.checker.record_arrival("e1", request_id)
        return request_id


def test_a_request_after_a_notice_that_a_host_passed_on_is_reported() -> None:
    upstream = SpeakingUpstream()
    told = upstream.send("h1", sent_s=0.0, at_s=0.0)
    upstream.checker.record_notice_passed_on(told, "e1")
    upstream.send("h1", sent_s=1.9, at_s=2.5)
    upstream.send("h2", sent_s=3.0, at_s=3.0)
    assert upstream.violations == []
    upstream.send("h1", sent_s=3.0, at_s=3.0)
    assert upstream.violations == ["drain"]


def test_a_notice_counts_for_the_upstream_whose_head_was_passed_on() -> None:
    """A stream with the head of one upstream had resumed at another."""
    upstream = SpeakingUpstream()
    told = upstream.send("h1", sent_s=0.0, at_s=0.0)
    upstream.checker.record_notice_passed_on(told, "e0")
    upstream.send("h1", sent_s=3.0, at_s=3.0)
    assert upstream.violations == []


def test_too_many_requests_in_a_time_without_requests_are_reported() -> None:
    upstream = SpeakingUpstream()
    refused = upstream.send("h1", sent_s=0.0, at_s=0.0)
    upstream.checker.record_refusal("e1", refused, 3.0)
    for at_s in (0.1, 0.4, 1.0, 2.0, 3.1, 3.2):
        upstream.send("h1", sent_s=at_s, at_s=at_s)
        upstream.send("h2", sent_s=at_s, at_s=at_s)
    assert upstream.violations == []
    refused = upstream.send("h1", sent_s=4.0, at_s=4.0)
    upstream.checker.record_refusal("e1", refused, 3.0)
    for at_s in (5.0, 5.1, 5.2):
        upstream.send("h1", sent_s=at_s, at_s=at_s)
    assert upstream.violations == ["retry_after"]


def test_hosts_that_were_stopped_are_exempt_from_statements() -> None:
    upstream = SpeakingUpstream()
    told = upstream.send("h1", sent_s=0.0, at_s=0.0)
    upstream.checker.record_notice_passed_on(told, "e1")
    upstream.checker.record_refusal("e1", told, 9.0)
    upstream.checker.exempt_host("h1")
    for at_s in (4.0, 4.1, 4.2):
        upstream.send("h1", sent_s=at_s, at_s=at_s)
    assert upstream.violations == []
