"""Tasks end, also those that miss a cancellation."""

import asyncio

import pynng
import pytest

from balsamlift._tasks import end_task

DEADLINE_S = 20.0


async def miss_cancellations(number: int) -> None:
    """Go on after so many cancellations, as after an error of a call."""
    missed = 0
    while True:
        try:
            await asyncio.sleep(3_600)
        except asyncio.CancelledError:
            missed += 1
            if missed > number:
                raise


@pytest.mark.parametrize("number", [0, 1, 3])
def test_a_task_that_misses_cancellations_ends(number: int) -> None:
    """Before, one that was missed was waited for without end."""

    async def main() -> None:
        task = asyncio.create_task(miss_cancellations(number))
        await asyncio.sleep(0)
        async with asyncio.timeout(DEADLINE_S):
            await end_task(task)
        assert task.cancelled()

    asyncio.run(main())


def test_a_question_that_times_out_when_cancelled_ends() -> None:
    """The library then tells of the timeout, and the cancellation is lost."""

    async def ask_again_and_again(req: pynng.Req0) -> None:
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
            task = asyncio.create_task(ask_again_and_again(req))
            await asyncio.sleep(0.004 + n * 0.000_02)
            async with asyncio.timeout(DEADLINE_S):
                await end_task(task)
        req.close()

    asyncio.run(main())


def test_the_cancellation_of_who_waits_is_not_swallowed() -> None:
    async def main() -> None:
        task = asyncio.create_task(miss_cancellations(1))
        await asyncio.sleep(0)
        waiting = asyncio.create_task(end_task(task))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        await end_task(task)

    asyncio.run(main())
