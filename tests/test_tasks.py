"""Tasks end even if a cancellation of theirs is lost."""

import asyncio

import pynng
import pytest

from balsamlift._tasks import end_task

TIMEOUT_S = 20.0


async def ignore_cancellations(number: int) -> None:
    """Ignore the first `number` cancellations, as if each one were lost."""
    ignored = 0
    while True:
        try:
            await asyncio.sleep(3_600)
        except asyncio.CancelledError:
            ignored += 1
            if ignored > number:
                raise


@pytest.mark.parametrize("number", [0, 1, 3])
def test_a_task_that_ignores_cancellations_ends(number: int) -> None:
    """Guard against waiting forever after a lost cancellation."""

    async def main() -> None:
        task = asyncio.create_task(ignore_cancellations(number))
        await asyncio.sleep(0)
        async with asyncio.timeout(TIMEOUT_S):
            await end_task(task)
        assert task.cancelled()

    asyncio.run(main())


def test_a_request_that_times_out_when_cancelled_ends() -> None:
    """The library then raises `Timeout`, and the cancellation is lost."""

    async def send_requests(req: pynng.Req0) -> None:
        while True:
            try:
                with req.new_context() as context:
                    await context.asend(b"")
                    await context.arecv()
            except pynng.Timeout:
                continue

    async def main() -> None:
        req = pynng.Req0(recv_timeout=5, send_timeout=5)
        req.dial("tcp://127.0.0.1:9", block=False)
        for n in range(100):
            task = asyncio.create_task(send_requests(req))
            await asyncio.sleep(0.004 + n * 0.000_02)
            async with asyncio.timeout(TIMEOUT_S):
                await end_task(task)
        req.close()

    asyncio.run(main())


def test_the_cancellation_of_the_waiting_task_is_not_swallowed() -> None:
    async def main() -> None:
        task = asyncio.create_task(ignore_cancellations(1))
        await asyncio.sleep(0)
        waiting = asyncio.create_task(end_task(task))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        await end_task(task)

    asyncio.run(main())
