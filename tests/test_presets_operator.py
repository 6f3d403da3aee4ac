import asyncio

import pytest
from _presets_harness import make_preset, run_deployment

from balsamlift.exceptions import LogUnreadableError


def test_publish_and_switch_are_accepted_once_folded():
    async def main():
        async with run_deployment() as deployment:
            operator = deployment.operator()
            published = await operator.publish(make_preset("peak"))
            assert (published.state, published.generation) == ("accepted", 0)
            switched = await operator.switch("peak")
            assert (switched.state, switched.generation) == ("accepted", 1)
            assert switched.offset == 1
            state = await operator.state()
            assert state.in_force.name == "peak"

    asyncio.run(main())


def test_switch_to_an_unpublished_preset_is_invalid():
    async def main():
        async with run_deployment() as deployment:
            result = await deployment.operator().switch("peak")
            assert (result.state, result.generation) == ("invalid", 0)

    asyncio.run(main())


def test_one_of_many_concurrent_operators_wins():
    names = [f"preset-{i}" for i in range(8)]

    async def main():
        async with run_deployment() as deployment:
            for name in names:
                await deployment.operator().publish(make_preset(name))
            results = await asyncio.gather(
                *(deployment.operator().switch(name, 0) for name in names)
            )
            states = sorted(result.state for result in results)
            assert states == ["accepted"] + ["superseded"] * 7
            [winner] = [
                name
                for name, result in zip(names, results, strict=True)
                if result.state == "accepted"
            ]
            state = await deployment.operator().state()
            assert state.in_force.name == winner
            assert state.generation == 1

    asyncio.run(main())


@pytest.mark.parametrize("answer", ["silent", "503"])
def test_lost_answer_is_resolved_by_reading_the_log(answer):
    async def main():
        async with run_deployment() as deployment:
            await deployment.operator().publish(make_preset("peak"))
            deployment.set_faults(lose_answers=answer)
            result = await deployment.operator().switch("peak", 0)
            assert (result.state, result.generation) == ("accepted", 1)
            late = await deployment.operator().switch("peak", 0)
            assert (late.state, late.generation) == ("superseded", 1)
            assert deployment.platform.store.end == 3  # one append each

    asyncio.run(main())


def test_outcome_of_a_late_append_is_unknown_until_it_appears():
    async def main():
        async with run_deployment() as deployment:
            operator = deployment.operator(wait_ms=700)
            deployment.set_faults(late_ms=2_500)
            result = await operator.publish(make_preset("peak"))
            assert result.state == "unknown"
            assert result.generation is None
            await deployment.platform.store.wait_for_record(0, 10_000)
            resolved = await operator.outcome(result.op)
            assert resolved.state == "accepted"
            assert deployment.platform.store.end == 1

    asyncio.run(main())


def test_unavailable_log_raises_and_nothing_is_appended():
    async def main():
        async with run_deployment() as deployment:
            deployment.set_faults(down=True)
            operator = deployment.operator(wait_ms=500)
            with pytest.raises(LogUnreadableError):
                await operator.publish(make_preset("peak"))
            with pytest.raises(LogUnreadableError):
                await operator.switch("peak", 0)
            assert deployment.platform.store.end == 0

    asyncio.run(main())


def test_operator_rejects_an_incomplete_log():
    async def main():
        async with run_deployment(log_retention_records=1) as deployment:
            operator = deployment.operator(wait_ms=500)
            await operator.publish(make_preset("peak"))
            await operator.switch("peak")
            with pytest.raises(LogUnreadableError):
                await operator.switch("peak")

    asyncio.run(main())
