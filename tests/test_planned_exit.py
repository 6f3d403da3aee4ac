"""Test that a host which exits cuts off no request, as a process."""

import asyncio
import random
import signal
from pathlib import Path

import pytest
from _daemon_deployment import (
    GRACE_S,
    HOST,
    PORTS,
    Deployment,
)
from _persistent_callers import PersistentCallers, Sent

from balsamlift.platform._names import HEADERS
from balsamlift.testing.relay import ReplicaConnection, ReplicaRequest

IP = "127.0.78.1"  # no other test listens there
DEADLINE_S = 40.0
CALLERS = 16
MIN_CALLS = 6 * CALLERS  # before the signal
MAX_WORK_S = 1.0
# Within it, a connection is closed on which a request was not passed on.
UNREAD_S = 0.2


def encode(request_id: str, kind: str = "a") -> bytes:
    """Return a request with time for more than a grace period."""
    lines = [
        f"POST /{kind}/1 HTTP/1.1",
        f"Host: {HOST}",
        f"{HEADERS.request_id}: {request_id}",
        f"{HEADERS.deadline_ms}: {20_000 * GRACE_S}",
        "Authorization: Token k1",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def find_lost(sent: list[Sent], passed_on: set[str]) -> list[Sent]:
    """Return the requests that ended without an answer, and count as lost."""
    return [
        each
        for each in sent
        if not each.is_whole
        and (
            each.request_id in passed_on
            or each.ended_s - each.sent_s > UNREAD_S
        )
    ]


@pytest.mark.parametrize("seed", [1, 2])
def test_no_call_is_cut_when_its_host_exits(tmp_path: Path, seed: int) -> None:
    """A host passed calls on that its exit cut off."""
    rng = random.Random(seed)

    async def work(
        connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        await asyncio.sleep(rng.uniform(0.02, MAX_WORK_S))
        await connection.answer(request, b"done")

    async def test() -> None:
        deployment = Deployment(IP)
        callers = PersistentCallers((IP, PORTS["Frontend"]), encode, rng)
        try:
            await deployment.start(tmp_path)
            # A process that is waited for must not have unread output.
            lines = asyncio.create_task(deployment.log_lines())
            deployment.replica.behave = work
            callers.start(CALLERS)
            while sum(each.is_whole for each in callers.sent) < MIN_CALLS:
                await asyncio.sleep(0.05)
            deployment.process.send_signal(signal.SIGTERM)
            signal_s = asyncio.get_running_loop().time()
            assert await deployment.process.wait() == 0
            took_s = asyncio.get_running_loop().time() - signal_s
            await callers.stop()
            await lines
        finally:
            await deployment.stop()
        assert took_s < GRACE_S
        late = [each for each in callers.sent if each.sent_s > signal_s]
        served = [each for each in late if each.answer and each.is_whole]
        assert any(each.answer.status == 200 for each in served)
        lost = find_lost(callers.sent, set(deployment.replica.ids()))
        assert [
            (each.request_id, round(each.sent_s - signal_s, 2))
            for each in lost
        ] == []

    async def bounded() -> None:
        async with asyncio.timeout(DEADLINE_S):
            await test()

    asyncio.run(bounded())
