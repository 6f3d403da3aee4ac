"""What upstreams owe, and for how long they have been silent."""

import asyncio
import math
import socket
import struct

from _manual_clock import ManualClock
from loguru import logger

from balsamlift.metrics import Metrics
from balsamlift.peers._upstream import build_upstream
from balsamlift.relay.health import StallWatch, UnansweredRequests
from balsamlift.relay.health._unanswered import MAX_UNREAD_S
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


async def reset(
    connection: ReplicaConnection, request: ReplicaRequest
) -> None:
    del request
    sock = connection.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    connection.reset()


def test_an_upstream_is_silent_since_its_last_byte_or_the_oldest_request():
    clock = ManualClock()
    unanswered = UnansweredRequests(
        clock, Metrics(), StallWatch(clock, Metrics())
    )
    upstream = build_upstream(
        ReplicaStandIn("u1", "plain", HEADER_NAMES).entry(), {}
    )
    assert upstream is not None
    first = unanswered.open(upstream)
    clock.now_s += 0.3
    second = unanswered.open(upstream)
    assert math.isclose(unanswered.silent_s("u1"), 0.3)
    first.record_bytes()
    clock.now_s += 0.1
    assert math.isclose(unanswered.silent_s("u1"), 0.1)
    first.end()
    first.end()
    assert unanswered.describe("u1").requests == 1
    second.end()
    assert unanswered.describe("u1") is None
    assert unanswered.silent_s("u1") == 0


class Waiting:
    """A host that waits for one upstream, and the load that it counts."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.unanswered = UnansweredRequests(
            self.clock, Metrics(), StallWatch(self.clock, Metrics())
        )
        self.unread = 0
        self.unanswered.on_unread(self._count)
        upstream = build_upstream(
            ReplicaStandIn("u1", "plain", HEADER_NAMES).entry(), {}
        )
        assert upstream is not None
        self.request = self.unanswered.open(upstream)
        self.upstream = upstream

    def _count(self, upstream: str, change: int) -> None:
        assert upstream == "u1"
        self.unread += change


def test_a_request_given_up_on_in_silence_counts_until_the_next_byte():
    host = Waiting()
    host.clock.now_s += 0.4
    host.request.give_up()
    host.request.end()
    assert host.unread == 1
    assert math.isclose(host.unanswered.silent_s("u1"), 0.4)
    assert host.unanswered.describe("u1").requests == 1
    host.unanswered.open(host.upstream).record_bytes()
    assert host.unread == 0


def test_a_request_given_up_on_after_a_byte_of_its_upstream_counts_no_more():
    host = Waiting()
    host.request.record_bytes()
    host.request.give_up()
    assert host.unread == 0


def test_a_request_whose_connection_broke_before_does_not_lie_unread():
    host = Waiting()
    host.request.end()
    host.unanswered.prune(())
    host.request.give_up()
    assert host.unread == 0


def test_what_lies_unread_counts_no_more_once_its_upstream_has_left():
    host = Waiting()
    host.request.give_up()
    host.unanswered.prune({"u1"})
    assert host.unread == 1
    host.unanswered.prune(())
    assert host.unread == 0
    assert host.unanswered.describe("u1") is None


def test_what_lies_unread_counts_for_a_limited_time():
    host = Waiting()
    host.request.give_up()
    host.clock.now_s += MAX_UNREAD_S + 0.1
    host.unanswered.prune({"u1"})
    assert host.unread == 0


def test_a_broken_connection_is_logged_with_the_reason_of_the_system():
    lines = []

    async def check():
        replica = ReplicaStandIn("u1", "plain", HEADER_NAMES, reset)
        async with RelayHarness([replica]) as world:
            world.configure()
            await world.call("/order/1", "r1")

    number = logger.add(lambda m: lines.append(m.record["message"]), level=0)
    try:
        asyncio.run(check())
    finally:
        logger.remove(number)
    assert any("Connection reset by peer" in line for line in lines)
