import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from _presets_harness import SILENCE_MS, run_deployment

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
            run_deployment(**settings) as deployment,
            running_client(deployment.address) as client,
        ):
            await body(deployment, client)

    asyncio.run(main())


async def open_connections(client, count):
    """Leave `count` connections open for reuse."""
    await asyncio.gather(*(client.read(0) for _ in range(count)))


async def append_when_unblocked(client, record):
    """Append, retrying after the delay that the client returns."""
    while True:
        try:
            return await client.append([record])
        except LogBlockedError as error:
            await asyncio.sleep(error.retry_after_ms / 1_000)


def test_concurrent_callers_share_appends():
    async def body(deployment, client):
        records = [claim(i) for i in range(400)]
        answers = await asyncio.gather(
            *(client.append([record]) for record in records)
        )
        offsets = [offset for [offset] in answers]
        assert offsets == sorted(set(offsets))
        assert deployment.platform.counts["appends"] < 20
        batch = await client.read(0)
        assert [entry.record for entry in batch.entries] == records

    run_with_client(body)


def test_append_waits_until_the_rate_limit_allows_it():
    async def body(deployment, client):
        offsets = [await client.append([claim(i)]) for i in range(12)]
        assert offsets == [[i] for i in range(12)]
        assert deployment.platform.counts["appends_limited"] > 0

    run_with_client(body, log_appends_per_s=8.0)


@pytest.mark.parametrize("answer", ["silent", "503"])
def test_append_with_a_lost_answer_raises_but_is_on_the_log(answer):
    async def body(deployment, client):
        deployment.set_faults(lose_answers=answer)
        with pytest.raises(LogUnavailableError) as caught:
            await client.append([claim(1)])
        assert not isinstance(caught.value, LogBlockedError)
        assert deployment.platform.counts["appends"] == 1
        batch = await client.read(0)
        assert [entry.record for entry in batch.entries] == [claim(1)]

    run_with_client(body)


def test_appends_are_blocked_during_back_off_then_succeed():
    async def body(deployment, client):
        deployment.set_faults(down=True)
        with pytest.raises(LogUnavailableError):
            await client.append([claim(1)])
        assert client.retry_after_ms > 0
        with pytest.raises(LogBlockedError):
            await client.append([claim(2)])
        deployment.set_faults(down=False)
        assert await append_when_unblocked(client, claim(3)) == [0]
        assert client.retry_after_ms == 0

    run_with_client(body)


def test_silent_log_times_out_and_a_new_connection_works():
    async def body(deployment, client):
        await client.append([claim(0)])
        deployment.set_faults(silent=True)
        with pytest.raises(LogUnavailableError):
            await client.read(0)
        with pytest.raises(LogUnavailableError):
            await client.append([claim(1)])
        assert client.retry_after_ms > 0
        deployment.set_faults(silent=False)
        batch = await client.read(0)
        assert batch.next == 1
        assert await append_when_unblocked(client, claim(2)) == [1]

    run_with_client(body)


def test_log_slower_than_the_minimum_timeout_is_waited_for():
    async def body(deployment, client):
        deployment.set_faults(slow_ms=int(SILENCE_MS * 1.5))
        with pytest.raises(LogUnavailableError):
            await client.read(0)
        for _ in range(2):
            assert (await client.read(0)).next == 0
        with pytest.raises(LogUnavailableError):
            await client.append([claim(0)])
        assert await append_when_unblocked(client, claim(1)) == [1]

    run_with_client(body)


@pytest.mark.parametrize("call", ["read", "append"])
def test_one_timeout_abandons_all_silent_connections(call):
    async def body(deployment, _):
        link = Link(LinkSettings(target_address=deployment.address))
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
    async def body(deployment, client):
        reading = asyncio.create_task(client.read(0, wait_ms=15_000))
        await asyncio.sleep(0)
        await client.append([claim(0)])
        batch = await reading
        assert [entry.offset for entry in batch.entries] == [0]

    run_with_client(body)


def test_pending_appends_fail_when_the_client_stops():
    async def body(deployment, client):
        deployment.set_faults(silent=True)
        first = asyncio.create_task(client.append([claim(0)]))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(client.append([claim(1)]))
        await asyncio.sleep(0)
        await client.stop()
        answers = await asyncio.gather(first, second, return_exceptions=True)
        assert all(isinstance(one, LogUnavailableError) for one in answers)

    run_with_client(body)


def test_back_off_grows_with_jitter_up_to_its_maximum():
    back_off = BackOff(random.Random(1))
    delays = [back_off.failed() for _ in range(12)]
    assert delays[0] <= 0.1
    assert all(delay <= MAX_MS / 1_000 for delay in delays)
    assert len(set(delays)) == len(delays)
    assert back_off.failed(min_ms=60_000) == 60
    back_off.succeeded()
    assert back_off.limit_ms == 0
