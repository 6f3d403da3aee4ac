import asyncio
from datetime import UTC, datetime, timedelta

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.exceptions import StampError
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.timeline import (
    MAX_DRIFT_MS,
    Event,
    Timeline,
    merge,
    parse_stamp,
)


class ShiftedClock(SystemClock):
    """A clock that is stopped, `offset_ms` away from the true time."""

    def __init__(self, offset_ms: int = 0) -> None:
        self.offset_ms = offset_ms

    def now(self) -> datetime:
        start = datetime(2026, 1, 1, tzinfo=UTC)
        return start + timedelta(milliseconds=self.offset_ms)


class Hosts(RuleBasedStateMachine):
    """Three hosts with wrong clocks exchange stamped messages.

    The merged timeline must have each message sent before it is received and
    keep the order of each host.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clocks = [ShiftedClock(n) for n in (0, 700, -20_000)]
        self.hosts = [
            Timeline(f"h{n}", clock, 1_000)
            for n, clock in enumerate(self.clocks)
        ]
        self.number = 0

    @rule(who=st.integers(0, 2), by_ms=st.integers(-50, 500))
    def pass_time(self, who: int, by_ms: int) -> None:
        self.clocks[who].offset_ms += by_ms

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def send(self, sender: int, receiver: int) -> None:
        self.number += 1
        self.hosts[sender].record("sent", request=str(self.number))
        self.hosts[receiver].observe(self.hosts[sender].stamp())
        self.hosts[receiver].record("received", request=str(self.number))

    def teardown(self) -> None:
        merged = merge(host.events() for host in reversed(self.hosts))
        position = {(e.request, e.kind): n for n, e in enumerate(merged)}
        for number in range(1, self.number + 1):
            sent = position[str(number), "sent"]
            assert sent < position[str(number), "received"]
        for number, host in enumerate(self.hosts):
            in_order = [e for e in merged if e.host == f"h{number}"]
            assert in_order == host.events()


TestHosts = Hosts.TestCase
TestHosts.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30
)


@pytest.mark.parametrize(
    "text",
    ["", "x", "12", "12.", ".3", "-1.0", "1.2.3", "9" * 50 + ".0", "1.-2"],
)
def test_malformed_stamps_are_ignored(text: str) -> None:
    host = Timeline("h", ShiftedClock(), 10)
    before = parse_stamp(host.stamp())
    host.observe(text)
    assert parse_stamp(host.stamp()) == (before[0], before[1] + 1)
    with pytest.raises(StampError):
        parse_stamp(text)


@pytest.mark.parametrize(
    ("ahead_ms", "taken"), [(MAX_DRIFT_MS, True), (MAX_DRIFT_MS + 1, False)]
)
def test_drift_is_bounded(ahead_ms: int, taken: bool) -> None:
    host = Timeline("h", ShiftedClock(), 10)
    now_ms = parse_stamp(host.stamp())[0]
    host.observe(f"{now_ms + ahead_ms}.0")
    assert (parse_stamp(host.stamp())[0] > now_ms) is taken


def test_events_are_bounded_and_filtered() -> None:
    host = Timeline("h", ShiftedClock(), 3)
    for number in range(5):
        host.record("even" if number % 2 == 0 else "odd", request=str(number))
    kept = host.events()
    assert [event.request for event in kept] == ["2", "3", "4"]
    assert [event.request for event in host.events(kind="even")] == ["2", "4"]
    assert host.events(request="3") == [kept[1]]
    assert host.events(since=kept[1].stamp) == [kept[2]]


def test_operators_read_the_timeline() -> None:
    async def scenario() -> None:
        kernel = Kernel()
        operators = OperatorsServer("127.0.0.1:0")
        timeline = Timeline("h", SystemClock(), 10)
        kernel.register(operators)
        kernel.register(timeline)
        await kernel.start()
        timeline.record("started", request="k", tries=2)
        http = HttpClient()
        url = f"http://{operators.address}/v1/timeline"
        answer = await http.call("GET", f"{url}?request=k", timeout_ms=5_000)
        assert answer.decode(list[Event]) == timeline.events()
        assert timeline.events()[0].detail == {"tries": 2}
        bad = await http.call("GET", f"{url}?since=now", timeout_ms=5_000)
        assert bad.status == 400
        assert msgspec.json.decode(bad.body)["error"] == "bad_stamp"
        http.close()
        await kernel.stop()

    asyncio.run(scenario())
