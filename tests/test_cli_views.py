"""The commands that read from hosts, run against hosts in threads."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from typing import Any

import pytest
from test_cli import UNUSED_ADDRESS, run_json

from balsamlift.cli import main
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import JsonHandler, OperatorsServer, Routes
from balsamlift.timeline import Timeline

START_TIMEOUT_S = 30.0


class FixedHandler(JsonHandler):
    def initialize(self, body: Any) -> None:
        self.body = body

    def get(self) -> None:
        self.reply(self.body)


class Host:
    """Serve a timeline, metrics and fixed tables from a thread."""

    def __init__(self, name: str) -> None:
        self.timeline = Timeline(name, SystemClock(), 100)
        self.metrics = Metrics()
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._started.wait(START_TIMEOUT_S)

    def serve(self, path: str, body: Any) -> None:
        routes: Routes = [(path, FixedHandler, {"body": body})]
        self._loop.call_soon_threadsafe(self._server.add_routes, routes)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._start())
        self._started.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._kernel.stop())
        self._loop.close()

    async def _start(self) -> None:
        self._server = OperatorsServer("127.0.0.1:0")
        self.address = self._server.address
        self._kernel = Kernel()
        for service in (self._server, self.timeline, self.metrics):
            self._kernel.register(service)
        await self._kernel.start()


@pytest.fixture
def hosts() -> Iterator[list[Host]]:
    both = [Host("entry-1"), Host("entry-2")]
    listed = [
        {"host": "entry-1", "operators_address": both[0].address},
        {"host": "entry-2", "operators_address": both[1].address},
    ]
    for host in both:
        host.serve("/v1/hosts", listed)
    yield both
    for host in both:
        host.close()


def test_timeline_finds_the_other_hosts_and_merges(
    hosts: list[Host], capsys: pytest.CaptureFixture[str]
) -> None:
    first, second = hosts
    first.timeline.record("accepted", request="k1", pool="drafting")
    second.timeline.observe(first.timeline.stamp())
    second.timeline.record("start", request="k1")
    first.timeline.observe(second.timeline.stamp())
    first.timeline.record("end", request="k1")
    first.timeline.record("end", request="k2")
    at = f"--at={first.address}"
    code, body = run_json(capsys, "timeline", at, "--request=k1")
    kinds = [event["kind"] for event in body["events"]]
    assert (code, kinds) == (0, ["accepted", "start", "end"])
    code, body = run_json(capsys, "timeline", at, "--host=entry-2")
    assert [event["kind"] for event in body["events"]] == ["start"]
    code, body = run_json(capsys, "timeline", at, "--alone", "--kind=start")
    assert body["events"] == []


def test_an_unreachable_host_is_reported_and_the_rest_shown(
    hosts: list[Host], capsys: pytest.CaptureFixture[str]
) -> None:
    hosts[0].timeline.record("accepted")
    at = [f"--at={hosts[0].address}", f"--at={UNUSED_ADDRESS}"]
    code, body = run_json(capsys, "timeline", *at)
    assert code == 1
    assert len(body["events"]) == 1
    assert list(body["unanswered"]) == [UNUSED_ADDRESS]


def test_metrics_merge_histograms(
    hosts: list[Host], capsys: pytest.CaptureFixture[str]
) -> None:
    for host, value_ms in zip(hosts, (10.0, 30.0), strict=True):
        host.metrics.count("requests.whole", 2)
        host.metrics.gauge("streams", 5)
        host.metrics.observe_ms("gap", value_ms)
    code, body = run_json(capsys, "metrics", f"--at={hosts[0].address}")
    assert code == 0
    assert body["summary"]["counters"]["requests.whole"] == 4
    gap = body["summary"]["distributions"]["gap"]
    assert gap["count"] == 2
    assert gap["max_ms"] == pytest.approx(30.0, rel=0.02)
    assert main(["metrics", f"--at={hosts[0].address}"]) == 0
    assert "requests.whole" in capsys.readouterr().out


def test_upstream_rows_that_differ_are_shown_separately(
    hosts: list[Host], capsys: pytest.CaptureFixture[str]
) -> None:
    first, second = hosts
    same = {"name": "engine-1", "state": "live"}
    first.serve("/v1/upstreams", [same, {"name": "engine-2", "state": "live"}])
    second.serve(
        "/v1/upstreams", [same, {"name": "engine-2", "state": "dead"}]
    )
    at = [f"--at={first.address}", f"--at={second.address}"]
    code, body = run_json(capsys, "upstreams", *at)
    assert code == 0
    seen = {(r["name"], r["state"]): r["seen_by"] for r in body["rows"]}
    assert seen == {
        ("engine-1", "live"): [first.address, second.address],
        ("engine-2", "live"): [first.address],
        ("engine-2", "dead"): [second.address],
    }
    assert main(["upstreams", at[0]]) == 0
    assert "engine-2" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("command", "row"),
    [
        ("queues", {"pool": "model", "workspace": "w-7", "held_tokens": 41}),
        ("engines", {"name": "w-7", "reserved_tokens": 41, "gap_ms": None}),
    ],
)
def test_queues_and_engines_are_shown_with_who_shows_them(
    hosts: list[Host],
    capsys: pytest.CaptureFixture[str],
    command: str,
    row: dict[str, Any],
) -> None:
    hosts[0].serve(f"/v1/{command}", [row])
    at = [f"--at={host.address}" for host in hosts]
    code, body = run_json(capsys, command, *at)
    assert code == 1  # the other host is of a version without the view
    assert body["rows"] == [{**row, "seen_by": [hosts[0].address]}]
    assert list(body["unanswered"]) == [hosts[1].address]
    assert main([command, at[0]]) == 0
    header, shown = capsys.readouterr().out.splitlines()
    assert "seen_by" not in header
    assert "w-7" in shown
    assert "41" in shown


def test_table_shows_no_control_characters(
    hosts: list[Host], capsys: pytest.CaptureFixture[str]
) -> None:
    hosts[0].serve("/v1/upstreams", [{"name": "engine\x1b[2J"}])
    assert main(["upstreams", f"--at={hosts[0].address}"]) == 0
    assert "\x1b" not in capsys.readouterr().out


def test_presets_are_listed_and_shown(
    hosts: list[Host], capsys: pytest.CaptureFixture[str]
) -> None:
    preset = {
        "name": "ordinary",
        "kinds": {"lookup": {"pool": "tracker"}},
        "workspaces": {"*": {}},
    }
    newer = {**preset, "kinds": {"tag": {"pool": "drafting"}}}
    switched = {"generation": 1, "name": "ordinary", "version": 1}
    hosts[0].serve(
        "/v1/presets",
        {
            "offset": 4,
            "generation": 1,
            "in_force": "ordinary",
            "preset": preset,
            "caught_up": True,
            "log_is_up": True,
            "presets": [
                {
                    "name": "ordinary",
                    "version": 2,
                    "offset": 4,
                    "preset": newer,
                }
            ],
            "history": [{**switched, "offset": 3, "at_ms": 7}],
        },
    )
    at = f"--at={hosts[0].address}"
    code, body = run_json(capsys, "preset", "list", at)
    assert (code, body["rows"][0]["generation"]) == (0, 1)
    code, body = run_json(capsys, "preset", "history", at)
    assert body["rows"][0]["at_ms"] == 7
    code, body = run_json(capsys, "preset", "show", at)
    assert list(body["presets"][0]["preset"]["kinds"]) == ["lookup"]
    code, body = run_json(capsys, "preset", "show", at, "ordinary")
    assert list(body["presets"][0]["preset"]["kinds"]) == ["tag"]
    assert main(["preset", "show", at, "absent"]) == 1
