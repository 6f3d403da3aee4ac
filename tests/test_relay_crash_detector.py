"""Crashed upstreams are distinguished from broken connections."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from _relay_helpers import run
from test_relay_routing import admit, request

from balsamlift.clock import SystemClock
from balsamlift.relay._request import Call
from balsamlift.relay.crashes._crash_detector import BrokenCall, CrashDetector
from balsamlift.relay.crashes._fingerprint import fingerprint
from balsamlift.testing.relay import HEADER_NAMES, RelayHarness, ReplicaStandIn

CHECK_WAIT_S = 0.4  # well above the delay of the check


async def detect_crashes(
    fail: Callable[[ReplicaStandIn], None], state: str = "live"
) -> list[BrokenCall]:
    """Return the calls reported after an upstream broke off two of them."""
    reported: list[BrokenCall] = []
    stand_in = ReplicaStandIn("plain-0", "plain", HEADER_NAMES)
    stand_in.state = state
    async with RelayHarness([stand_in]) as world:
        world.configure()
        detector = CrashDetector(
            world.upstreams, SystemClock(), reported.append
        )
        (upstream,) = world.upstreams.all()
        call = admit(world.routing, "/view/1")
        assert isinstance(call, Call)
        fail(stand_in)
        detector.check_broken_call(call, upstream, had_output=False)
        other = attrs.evolve(call, request_id="r2")
        detector.check_broken_call(other, upstream, had_output=True)
        await asyncio.sleep(CHECK_WAIT_S)
        await detector.stop()
    return reported


def run_detection(detection: Awaitable[list[BrokenCall]]) -> list[BrokenCall]:
    reported: list[BrokenCall] = []

    async def main() -> None:
        reported.extend(await detection)

    run(main())
    return reported


def test_reports_every_call_that_a_crashed_upstream_broke_off() -> None:
    reported = run_detection(detect_crashes(ReplicaStandIn.crash))
    assert [call.request_id for call in reported] == ["r1", "r2"]
    assert [call.had_output for call in reported] == [False, True]


def test_an_upstream_that_still_listens_has_not_crashed() -> None:
    assert run_detection(detect_crashes(lambda stand_in: None)) == []


def test_a_leaving_upstream_that_ends_has_not_crashed() -> None:
    assert run_detection(detect_crashes(ReplicaStandIn.crash, "leaving")) == []


def test_repeats_of_a_request_have_the_same_fingerprint() -> None:
    first, repeat = request("/a/x"), request("/a/x")
    repeat.headers[HEADER_NAMES.request_id] = "another"
    repeat.headers[HEADER_NAMES.deadline_ms] = "7"
    assert fingerprint(first, "key") == fingerprint(repeat, "key")
    assert fingerprint(first, "key") != fingerprint(first, "other key")
    for fields in ({"target": "/a/y"}, {"body": b"b"}, {"method": "PUT"}):
        other = attrs.evolve(first, **fields)
        assert fingerprint(first, "key") != fingerprint(other, "key")


def test_a_crash_counts_where_the_others_have_crashed_before() -> None:
    """All upstreams of a failure domain may be away at the same time."""

    async def detect() -> list[BrokenCall]:
        reported: list[BrokenCall] = []
        stand_ins = [
            ReplicaStandIn(
                f"plain-{n}", "plain", HEADER_NAMES, failure_domain=d
            )
            for n, d in enumerate(["north", "north", "south"])
        ]
        async with RelayHarness(stand_ins) as world:
            world.configure()
            detector = CrashDetector(
                world.upstreams,
                SystemClock(),
                reported.append,
                lambda: {"plain-1"},
            )
            call = admit(world.routing, "/view/1")
            assert isinstance(call, Call)
            for stand_in in stand_ins[:2]:
                stand_in.crash()
            upstream = world.upstreams.find("plain-0")
            assert upstream is not None
            detector.check_broken_call(call, upstream, had_output=False)
            await asyncio.sleep(CHECK_WAIT_S)
            await detector.stop()
        return reported

    assert [call.upstream for call in run_detection(detect())] == ["plain-0"]
