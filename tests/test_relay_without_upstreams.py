"""Hosts that reach no upstream while other hosts do."""

import asyncio

import pytest
from _relay_fleet import relay_fleet
from _relay_helpers import USAGE, behave_all, hang, run, stream

from balsamlift.relay.health._shared_health import failing_key
from balsamlift.testing._cuts import CUTS, Cut
from balsamlift.testing.relay import (
    HEADER_NAMES,
    CallerAnswer,
    RelayHarness,
    ReplicaStandIn,
)

# From then on a host that is cut off has to serve as others do.
CONTACT_S = 3.0
CALLS = 12
# Connections that live on are not used again after this time.
IDLE_S = 1.2
REPORT_S = 0.5  # in which reports reach the other hosts


def stand_ins() -> list[ReplicaStandIn]:
    plain = [
        ReplicaStandIn(f"plain-{n}", "plain", HEADER_NAMES) for n in range(3)
    ]
    engines = [
        ReplicaStandIn(f"model-{n}", "model", HEADER_NAMES) for n in range(3)
    ]
    behave_all(engines, stream)
    return plain + engines


async def call_each_kind(
    relay: RelayHarness, label: str
) -> list[CallerAnswer]:
    return [
        await relay.call(f"/view/{label}", f"v-{label}", method="GET"),
        await relay.call(f"/order/{label}", f"o-{label}", body=b"two"),
        await relay.call(f"/draft/{label}", f"d-{label}", headers=USAGE),
    ]


async def call_until(relay: RelayHarness, end_s: float, label: str) -> None:
    """Call with whatever result, so that the host sees that it is cut off."""
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < end_s:
        number += 1
        async with asyncio.TaskGroup() as group:
            group.create_task(call_each_kind(relay, f"{label}-{number}"))
            await asyncio.sleep(0.2)


@pytest.mark.parametrize("cut", CUTS)
def test_host_cut_off_from_all_upstreams_serves_its_callers(cut: Cut) -> None:
    async def test() -> None:
        async with relay_fleet(stand_ins()) as (lost, sound):
            await call_each_kind(lost.relay, "before")
            await lost.cut(cut)
            end_s = asyncio.get_running_loop().time() + CONTACT_S
            await call_until(lost.relay, end_s, "meanwhile")
            await asyncio.sleep(IDLE_S)
            answers = []
            for number in range(CALLS // 3):
                label = f"then-{number}"
                answers += await call_each_kind(lost.relay, label)
            statuses = [answer.status for answer in answers]
            assert statuses == [200] * CALLS
            assert all(answer.is_whole for answer in answers)
            assert not sound.relay.frontend.tasks

    run(test())


def test_a_host_cut_off_reports_no_crash_of_an_upstream() -> None:
    async def test() -> None:
        replicas = stand_ins()
        async with relay_fleet(replicas) as (lost, sound):
            behave_all(replicas, hang)
            calls = [
                asyncio.create_task(lost.relay.call("/view/1", f"r{n}"))
                for n in range(3)
            ]
            while sum(len(replica.arrivals) for replica in replicas) < 3:
                await asyncio.sleep(0.005)
            await lost.cut("reset")
            await asyncio.gather(*calls)
            await asyncio.sleep(REPORT_S)
            assert not sound.relay.peers.crash_reports.all()

    run(test())


def test_a_host_reached_again_does_not_tell_others_to_avoid_upstreams() -> (
    None
):
    async def test() -> None:
        replicas = stand_ins()
        async with relay_fleet(replicas) as (lost, sound):
            await lost.cut("refuse")
            for number in range(3):
                await call_each_kind(lost.relay, f"cut-{number}")
            await lost.mend()
            while lost.relay.peers.own.unreached_pools:
                await asyncio.sleep(0.01)
            await call_each_kind(lost.relay, "then")
            await asyncio.sleep(REPORT_S)
            reports = {
                replica.name: sound.relay.peers.in_flight(
                    failing_key(replica.name)
                )
                for replica in replicas
            }
            assert not any(reports.values()), reports

    run(test())
