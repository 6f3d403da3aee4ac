import asyncio

import pytest
from presets_bench import deployment, make_preset

from balsamlift.exceptions import LogUnreadableError


def test_publish_and_switch_are_accepted_once_folded():
    async def main():
        async with deployment() as made:
            operator = made.operator()
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
        async with deployment() as made:
            result = await made.operator().switch("peak")
            assert (result.state, result.generation) == ("invalid", 0)

    asyncio.run(main())


def test_one_of_many_concurrent_operators_wins():
    names = [f"preset-{i}" for i in range(8)]

    async def main():
        async with deployment() as made:
            for name in names:
                await made.operator().publish(make_preset(name))
            results = await asyncio.gather(
                *(made.operator().switch(name, 0) for name in names)
            )
            states = sorted(result.state for result in results)
            assert states == ["accepted"] + ["superseded"] * 7
            [winner] = [
                name
                for name, result in zip(names, results, strict=True)
                if result.state == "accepted"
            ]
            state = await made.operator().state()
            assert state.in_force.name == winner
            assert state.generation == 1

    asyncio.run(main())


@pytest.mark.parametrize("answer", ["silent", "503"])
def test_lost_answer_is_resolved_by_reading_the_log(answer):
    async def main():
        async with deployment() as made:
            await made.operator().publish(make_preset("peak"))
            made.fault(lose_answers=answer)
            result = await made.operator().switch("peak", 0)
            assert (result.state, result.generation) == ("accepted", 1)
            late = await made.operator().switch("peak", 0)
            assert (late.state, late.generation) == ("superseded", 1)
            assert made.platform.store.end == 3  # one append each

    asyncio.run(main())


def test_outcome_of_a_late_append_is_unknown_until_it_appears():
    async def main():
        async with deployment() as made:
            operator = made.operator(wait_ms=700)
            made.fault(late_ms=2_500)
            result = await operator.publish(make_preset("peak"))
            assert result.state == "unknown"
            assert result.generation is None
            await made.platform.store.wait_beyond(0, 10_000)
            resolved = await operator.outcome(result.op)
            assert resolved.state == "accepted"
            assert made.platform.store.end == 1

    asyncio.run(main())


def test_unavailable_log_raises_and_nothing_is_appended():
    async def main():
        async with deployment() as made:
            made.fault(down=True)
            operator = made.operator(wait_ms=500)
            with pytest.raises(LogUnreadableError):
                await operator.publish(make_preset("peak"))
            with pytest.raises(LogUnreadableError):
                await operator.switch("peak", 0)
            assert made.platform.store.end == 0

    asyncio.run(main())


def test_operator_rejects_an_incomplete_log():
    async def main():
        async with deployment(log_retention_records=1) as made:
            operator = made.operator(wait_ms=500)
            await operator.publish(make_preset("peak"))
            await operator.switch("peak")
            with pytest.raises(LogUnreadableError):
                await operator.switch("peak")

    asyncio.run(main())
