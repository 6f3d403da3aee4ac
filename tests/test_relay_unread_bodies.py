"""Bodies that an upstream does not read for a while."""

import asyncio
import socket

import pytest
from _relay_helpers import DEADLINE_S
from _virtual_time import LoopClock, run_virtual

from balsamlift.relay._delivery_watch import wait_until_unreachable
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaStandIn,
)

BODY = b"b" * 900_000  # beyond what the system takes for a process
STOPPED_S = 2.8  # more than `SILENCE_TIMEOUT_S`


def listen() -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    return listener


async def serve(listener: socket.socket, replica: ReplicaStandIn) -> None:
    """Go on after a stop, and answer the first request."""
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(listener)
    reader, writer = await asyncio.open_connection(sock=connection)
    await replica._serve(reader, writer)


def test_a_large_body_is_not_given_up_while_its_upstream_does_not_read():
    listener = listen()
    replica = ReplicaStandIn("u1", "plain", HEADER_NAMES)
    replica.address = f"127.0.0.1:{listener.getsockname()[1]}"

    async def check() -> None:
        async with (
            asyncio.timeout(DEADLINE_S),
            RelayHarness([replica], starts_replicas=False) as world,
        ):
            world.configure()
            call = asyncio.create_task(
                world.call("/order/1", "r1", body=BODY, deadline_ms=4_800)
            )
            await asyncio.sleep(STOPPED_S)
            serving = asyncio.create_task(serve(listener, replica))
            answer = await call
            assert (answer.status, answer.body) == (200, b"done")
            serving.cancel()

    asyncio.run(check())
    listener.close()


class FakeSocket(socket.socket):
    """A socket whose other end answers only some of what is sent again."""

    def __init__(self, unanswered: list[tuple[int, int]]) -> None:
        super().__init__()
        self.unanswered = unanswered
        self.checks = 0

    def getsockopt(self, *_: int) -> bytes:
        index = min(self.checks, len(self.unanswered) - 1)
        self.checks += 1
        return bytes([1, 0, *self.unanswered[index]])


@pytest.mark.parametrize("unanswered", [(1, 0), (0, 1), (9, 9)])
def test_an_upstream_is_unreachable_after_two_seconds_without_any_answer(
    unanswered: tuple[int, int],
) -> None:
    sock = FakeSocket([unanswered, unanswered, (0, 0), unanswered])

    async def check() -> None:
        await wait_until_unreachable(sock, LoopClock())
        assert asyncio.get_running_loop().time() == pytest.approx(3.5)

    run_virtual(check)
    sock.close()


def test_an_upstream_that_answers_every_time_is_not_unreachable() -> None:
    sock = FakeSocket([(0, 0), (1, 0), (0, 1), (0, 0)])

    async def check() -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(600):
                await wait_until_unreachable(sock, LoopClock())

    run_virtual(check)
    sock.close()
