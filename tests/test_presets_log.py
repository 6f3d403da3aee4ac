import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from presets_bench import SILENCE_MS, deployment

from balsamlift._back_off import MAX_MS, BackOff
from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.exceptions import LogBlockedError, LogUnavailableError
from balsamlift.presets import Claim, LogClient
from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings


def claim(i):
    return Claim(f"op-{i}", f"{i}-abcdefgh", "a")


@asynccontextmanager
async def running_client(address):
    http = HttpClient()
    client = LogClient(
        address, SILENCE_MS, SystemClock(), http, random.Random(1)
    )
    await client.start()
    try:
        yield client
    finally:
        await client.stop()
        http.close()


def run_with_client(body, **settings):
    async def main():
        async with (
            deployment(**settings) as made,
            running_client(made.address) as client,
        ):
            await body(made, client)

    asyncio.run(main())


async def open_connections(client, count):
    """Leave `count` connections open for reuse."""
    await asyncio.gather(*(client.read(0) for _ in range(count)))


async def append_when_unblocked(client, record):
    """Append, coming back when the client says so."""
    while True:
        try:
            return await client.append([record])
        except LogBlockedError as error:
            await asyncio.sleep(error.retry_after_ms / 1_000)


def test_callers_that_wait_share_appends():
    async def body(made, client):
        records = [claim(i) for i in range(400)]
        answers = await asyncio.gather(
            *(client.append([record]) for record in records)
        )
        offsets = [offset for [offset] in answers]
        assert offsets == sorted(set(offsets))
        assert made.platform.counts["appends"] < 20
        batch = await client.read(0)
        assert [entry.record for entry in batch.entries] == records

    run_with_client(body)


def test_rate_limit_is_waited_out():
    async def body(made, client):
        offsets = [await client.append([claim(i)]) for i in range(12)]
        assert offsets == [[i] for i in range(12)]
        assert made.platform.counts["appends_limited"] > 0

    run_with_client(body, log_appends_per_s=8.0)


@pytest.mark.parametrize("answer", ["silent", "503"])
def test_lost_answer_raises_and_reading_on_tells(answer):
    async def body(made, client):
        made.fault(lose_answers=answer)
        with pytest.raises(LogUnavailableError) as caught:
            await client.append([claim(1)])
        assert not isinstance(caught.value, LogBlockedError)
        assert made.platform.counts["appends"] == 1
        batch = await client.read(0)
        assert [entry.record for entry in batch.entries] == [claim(1)]

    run_with_client(body)


def test_appends_are_blocked_while_backed_off_then_work_again():
    async def body(made, client):
        made.fault(down=True)
        with pytest.raises(LogUnavailableError):
            await client.append([claim(1)])
        assert client.retry_after_ms > 0
        with pytest.raises(LogBlockedError):
            await client.append([claim(2)])
        made.fault(down=False)
        assert await append_when_unblocked(client, claim(3)) == [0]
        assert client.retry_after_ms == 0

    run_with_client(body)


def test_silence_is_bounded_and_a_new_connection_works():
    async def body(made, client):
        await client.append([claim(0)])
        made.fault(silent=True)
        with pytest.raises(LogUnavailableError):
            await client.read(0)
        with pytest.raises(LogUnavailableError):
            await client.append([claim(1)])
        assert client.retry_after_ms > 0
        made.fault(silent=False)
        batch = await client.read(0)
        assert batch.next == 1
        assert await append_when_unblocked(client, claim(2)) == [1]

    run_with_client(body)


def test_log_slower_than_the_bound_on_silence_is_waited_for():
    async def body(made, client):
        made.fault(slow_ms=int(SILENCE_MS * 1.5))
        with pytest.raises(LogUnavailableError):
            await client.read(0)
        for _ in range(2):
            assert (await client.read(0)).next == 0
        with pytest.raises(LogUnavailableError):
            await client.append([claim(0)])
        assert await append_when_unblocked(client, claim(1)) == [1]

    run_with_client(body)


@pytest.mark.parametrize("call", ["read", "append"])
def test_one_silence_is_enough_to_leave_connections_silent_for_good(call):
    async def body(made, _):
        link = Link(LinkSettings(target_address=made.address))
        await link.start()
        async with running_client(link.ready()["address"]) as client:
            await open_connections(client, 4)
            link.control.update({"silence_existing": True})
            if call == "read":
                with pytest.raises(LogUnavailableError):
                    await client.read(0)
                assert (await client.read(0)).next == 0
            else:
                with pytest.raises(LogUnavailableError):
                    await client.append([claim(0)])
                assert await append_when_unblocked(client, claim(1)) == [0]
        await link.stop()

    run_with_client(body)


def test_long_poll_answers_when_something_is_appended():
    async def body(made, client):
        reading = asyncio.create_task(client.read(0, wait_ms=15_000))
        await asyncio.sleep(0)
        await client.append([claim(0)])
        batch = await reading
        assert [entry.offset for entry in batch.entries] == [0]

    run_with_client(body)


def test_appends_that_wait_fail_when_the_client_stops():
    async def body(made, client):
        made.fault(silent=True)
        first = asyncio.create_task(client.append([claim(0)]))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(client.append([claim(1)]))
        await asyncio.sleep(0)
        await client.stop()
        answers = await asyncio.gather(first, second, return_exceptions=True)
        assert all(isinstance(one, LogUnavailableError) for one in answers)

    run_with_client(body)


def test_back_off_grows_with_jitter_up_to_its_bound():
    back_off = BackOff(random.Random(1))
    delays = [back_off.failed() for _ in range(12)]
    assert delays[0] <= 0.1
    assert all(delay <= MAX_MS / 1_000 for delay in delays)
    assert len(set(delays)) == len(delays)
    assert back_off.failed(min_ms=60_000) == 60
    back_off.succeeded()
    assert back_off.limit_ms == 0
