"""Tasks end even if a cancellation of theirs is lost."""

import asyncio

import pynng
import pytest

from balsamlift._tasks import end_other_tasks, end_task, start_task
from balsamlift.clock import SystemClock
from balsamlift.testing.relay import (
    HEADER_NAMES,
    RelayHarness,
    ReplicaStandIn,
)

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


@pytest.mark.parametrize(("number", "unfinished"), [(0, 0), (2, 0), (9, 1)])
def test_all_tasks_end_at_the_end_of_a_process(
    number: int, unfinished: int
) -> None:
    """A terminated daemon waited forever for a task that lost its only one."""

    async def main() -> None:
        tasks = [
            asyncio.create_task(ignore_cancellations(n)) for n in (0, number)
        ]
        await asyncio.sleep(0)
        assert len(await end_other_tasks(timeout_s=0.5)) == unfinished
        assert tasks[0].cancelled()
        await end_task(tasks[1])

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


def test_a_background_task_that_fails_goes_on() -> None:
    """Guard against a host that stops doing something for good, silently."""

    async def main() -> None:
        runs = 0
        has_gone_on = asyncio.Event()

        async def run() -> None:
            nonlocal runs
            runs += 1
            if runs < 3:
                raise KeyError("e1")
            has_gone_on.set()
            await asyncio.sleep(3_600)

        task = start_task("test", run, SystemClock())
        async with asyncio.timeout(TIMEOUT_S):
            await has_gone_on.wait()
        await end_task(task)
        assert task.cancelled()

    asyncio.run(main())


def test_waiting_generations_are_placed_after_a_failure_as_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against the end of the task that looks for released memory."""

    async def main() -> None:
        stand_ins = [ReplicaStandIn("model-1", "model", HEADER_NAMES)]
        async with RelayHarness(stand_ins) as world:
            polls = 0
            is_polled_again = asyncio.Event()

            def fail_once() -> None:
                nonlocal polls
                polls += 1
                if polls == 1:
                    raise KeyError("model-1")
                is_polled_again.set()

            allocator = world.relay._allocator
            monkeypatch.setattr(allocator, "publish_groups", fail_once)
            async with asyncio.timeout(TIMEOUT_S):
                await is_polled_again.wait()

    asyncio.run(main())
