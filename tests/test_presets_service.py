import asyncio
import time

import pytest
from _presets_harness import (
    BOUNDS,
    DEADLINE_S,
    eventually,
    make_preset,
    run_deployment,
)

from balsamlift.exceptions import (
    KeyFormatError,
    KeyTooOldError,
    RefusedError,
)
from balsamlift.presets import Checkpoint, new_operation_id
from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings

UNREACHABLE_ADDRESS = "127.0.0.1:1"
NEVER_MS = 1_000_000_000  # retention for which no checkpoint is due in a test


def key_now(age_ms=0):
    return f"{int(time.time() * 1_000) - age_ms}-{new_operation_id()}"


async def put_in_force(deployment, name):
    await deployment.operator().publish(make_preset(name))
    result = await deployment.operator().switch(name)
    assert result.state == "accepted"
    return result.generation


def event_kinds(host):
    return [event.kind for event in host.timeline.events()]


def test_change_reaches_every_host_and_calls_its_callbacks():
    async def main():
        async with run_deployment() as deployment:
            hosts = [await deployment.host(name) for name in "abc"]
            seen = []
            hosts[0].presets.on_change(
                lambda: seen.append(hosts[0].generation())
            )
            generations = [
                await put_in_force(deployment, name)
                for name in ("peak", "ordinary")
            ]
            for host in hosts:
                await eventually(lambda host=host: host.generation() == 2)
                assert host.presets.in_force().name == "ordinary"
                assert host.presets.caught_up
            assert seen == generations == [1, 2]
            assert event_kinds(hosts[0]).count("preset_in_force") == 2

    asyncio.run(main())


def test_preset_stays_in_force_during_and_after_a_log_outage():
    async def main():
        async with run_deployment() as deployment:
            host = await deployment.host("a")
            await put_in_force(deployment, "peak")
            await eventually(lambda: host.generation() == 1)
            deployment.set_faults(down=True)
            await eventually(lambda: not host.presets.log_is_up)
            assert host.presets.in_force().name == "peak"
            deployment.set_faults(down=False)
            await put_in_force(deployment, "ordinary")
            await eventually(lambda: host.generation() == 2)
            assert event_kinds(host) == [
                "preset_in_force",
                "log_down",
                "log_up",
                "preset_in_force",
            ]

    asyncio.run(main())


def test_host_that_cannot_reach_the_log_follows_a_peer():
    async def main():
        async with run_deployment() as deployment:
            connected = await deployment.host("a")
            isolated = await deployment.host(
                "b", log_address=UNREACHABLE_ADDRESS
            )
            isolated.set_live_peers(connected)
            await put_in_force(deployment, "peak")
            await eventually(lambda: isolated.generation() == 1)
            assert isolated.presets.caught_up
            await put_in_force(deployment, "ordinary")
            await eventually(lambda: isolated.generation() == 2)

    asyncio.run(main())


def test_host_whose_connection_to_the_log_stalls_follows_a_peer():
    async def main():
        async with run_deployment() as deployment:
            link = Link(LinkSettings(target_address=deployment.address))
            await link.start()
            connected = await deployment.host("a")
            isolated = await deployment.host(
                "b", log_address=link.ready()["address"]
            )
            isolated.set_live_peers(connected)
            await put_in_force(deployment, "peak")
            await eventually(lambda: isolated.generation() == 1)
            link.control.update({"stall_forward": True})
            await put_in_force(deployment, "ordinary")
            await eventually(lambda: isolated.generation() == 2)
            assert "log_down" in event_kinds(isolated)
            link.control.update({"stall_forward": False})
            await eventually(lambda: isolated.presets.log_is_up)
            await put_in_force(deployment, "peak")
            await eventually(lambda: isolated.generation() == 3)
            await link.stop()

    asyncio.run(main())


def test_newcomer_without_log_and_peers_is_not_caught_up():
    async def main():
        async with run_deployment() as deployment:
            await put_in_force(deployment, "peak")
            deployment.set_faults(down=True)
            newcomer = await deployment.host("b")
            await eventually(lambda: not newcomer.presets.log_is_up)
            assert not newcomer.presets.caught_up
            assert newcomer.presets.in_force() is None
            deployment.set_faults(down=False)
            await eventually(lambda: newcomer.presets.caught_up)
            assert newcomer.generation() == 1

    asyncio.run(main())


def test_newcomer_starts_from_a_checkpoint_when_records_expired():
    async def main():
        async with run_deployment(log_retention_records=3) as deployment:
            established = await deployment.host("a", retention_ms=1_000)
            await put_in_force(deployment, "peak")
            await eventually(
                lambda: event_kinds(established).count("checkpoint") > 0
            )
            newest = established.presets.state.checkpoint
            await eventually(
                lambda: (
                    established.presets.state.checkpoint is not newest
                    and deployment.platform.store.read(0, 1).earliest > 1
                )
            )
            newcomer = await deployment.host("b", retention_ms=NEVER_MS)
            await eventually(lambda: newcomer.presets.caught_up)
            assert newcomer.generation() == 1
            offset = newcomer.presets.offset
            assert await established.presets.wait_until_folded(
                offset - 1, DEADLINE_S
            )

    asyncio.run(main())


def test_newcomer_without_a_usable_checkpoint_asks_a_peer():
    async def main():
        async with run_deployment(log_retention_records=3) as deployment:
            established = await deployment.host("a", retention_ms=NEVER_MS)
            await deployment.operator().publish(make_preset("peak"))
            early = established.presets.state.copy()
            await deployment.operator().switch("peak")
            await eventually(lambda: established.generation() == 1)
            stale = Checkpoint(new_operation_id(), early.offset, early)
            for _ in range(3):  # make all other records expire
                await established.presets.append(stale)
            without_peers = await deployment.host("b", retention_ms=NEVER_MS)
            with_peer = await deployment.host("c", retention_ms=NEVER_MS)
            with_peer.set_live_peers(established)
            await eventually(lambda: with_peer.presets.caught_up)
            assert with_peer.generation() == 1
            assert not without_peers.presets.caught_up
            assert without_peers.presets.in_force() is None

    asyncio.run(main())


def test_stale_checkpoint_reverts_no_host():
    async def main():
        async with run_deployment() as deployment:
            host = await deployment.host("a", retention_ms=NEVER_MS)
            await put_in_force(deployment, "peak")
            await eventually(lambda: host.generation() == 1)
            stale = host.presets.state.copy()
            await put_in_force(deployment, "ordinary")
            await eventually(lambda: host.generation() == 2)
            offset = await host.presets.append(
                Checkpoint(new_operation_id(), stale.offset, stale)
            )
            assert await host.presets.wait_until_folded(offset, DEADLINE_S)
            assert host.presets.in_force().name == "ordinary"
            newcomer = await deployment.host("b", retention_ms=NEVER_MS)
            await eventually(lambda: newcomer.presets.caught_up)
            assert newcomer.presets.in_force().name == "ordinary"

    asyncio.run(main())


def test_state_is_served_only_if_beyond_the_requested_offset():
    async def main():
        async with run_deployment() as deployment:
            host = await deployment.host("a")
            await put_in_force(deployment, "peak")
            await eventually(lambda: host.generation() == 1)
            url = f"http://{host.operators.address}/v1/peer/fold?from="
            statuses = [
                (await host.http.call("GET", f"{url}{n}", timeout_ms=5_000))
                for n in ("0", "2", "-1")
            ]
            assert [one.status for one in statuses] == [200, 204, 400]

    asyncio.run(main())


def test_first_claim_wins_on_every_host():
    async def main():
        async with run_deployment() as deployment:
            hosts = [
                await deployment.host(name, claim_bounds=BOUNDS)
                for name in "abc"
            ]
            await eventually(lambda: all(h.presets.caught_up for h in hosts))
            await put_in_force(
                deployment, "peak"
            )  # claims are complete from here
            keys = [key_now() for _ in range(40)]
            claims = [
                host.presets.claim(key) for key in keys for host in hosts
            ]
            results = await asyncio.gather(*claims)
            for i in range(len(keys)):
                key_results = results[3 * i : 3 * i + 3]
                assert sum(bool(result) for result in key_results) == 1
                assert len({result.host for result in key_results}) == 1
            repeated = await hosts[0].presets.claim(keys[0])
            assert repeated.state == "lost"

    asyncio.run(main())


@pytest.mark.parametrize("answer", ["silent", "503"])
def test_claim_with_a_lost_answer_is_won_by_reading_the_log(answer):
    async def main():
        async with run_deployment() as deployment:
            host = await deployment.host("a", claim_bounds=BOUNDS)
            await put_in_force(deployment, "peak")
            await eventually(lambda: host.generation() == 1)
            deployment.set_faults(lose_answers=answer)
            result = await host.presets.claim(key_now())
            assert result.state == "won"
            assert deployment.platform.counts["appends"] == 3

    asyncio.run(main())


def test_claim_is_refused_while_the_log_is_down():
    async def main():
        async with run_deployment() as deployment:
            host = await deployment.host("a", claim_bounds=BOUNDS)
            await put_in_force(deployment, "peak")
            await eventually(lambda: host.generation() == 1)
            deployment.set_faults(down=True)
            await eventually(lambda: not host.presets.log_is_up)
            with pytest.raises(RefusedError) as caught:
                await host.presets.claim(key_now())
            assert caught.value.reason == "log_down"
            assert caught.value.retry_after_ms > 0

    asyncio.run(main())


def test_claim_is_refused_where_earlier_claims_may_be_missing():
    async def main():
        async with run_deployment(log_retention_records=4) as deployment:
            established = await deployment.host("a", retention_ms=NEVER_MS)
            await put_in_force(deployment, "peak")
            await eventually(lambda: established.generation() == 1)
            key = key_now()
            assert await established.presets.claim(key)
            for _ in range(4):  # make the claim expire
                state = established.presets.state.copy()
                await established.presets.append(
                    Checkpoint(new_operation_id(), state.offset, state)
                )
            newcomer = await deployment.host("b", retention_ms=NEVER_MS)
            await eventually(lambda: newcomer.presets.caught_up)
            with pytest.raises(RefusedError) as caught:
                await newcomer.presets.claim(key)
            assert caught.value.reason == "claims_not_folded"

    asyncio.run(main())


@pytest.mark.parametrize(
    ("key", "error"),
    [
        (lambda: "no-time", KeyFormatError),
        (lambda: key_now(-60_000), KeyFormatError),
        (lambda: key_now(BOUNDS.max_age_ms + 60_000), KeyTooOldError),
    ],
)
def test_claim_of_a_key_outside_the_window_is_an_error(key, error):
    async def main():
        async with run_deployment() as deployment:
            host = await deployment.host("a", claim_bounds=BOUNDS)
            await put_in_force(deployment, "peak")
            await eventually(lambda: host.generation() == 1)
            with pytest.raises(error):
                await host.presets.claim(key())

    asyncio.run(main())
