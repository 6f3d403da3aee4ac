"""The end of one generation, whatever interrupts it."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from balsamlift.relay._generation import Generation


def test_a_caller_who_leaves_during_the_end_still_ends_the_engine() -> None:
    """The wait for the reading task is cancelled, the connection closed."""

    async def main() -> None:
        connection = Mock()
        generation = Generation.__new__(Generation)
        generation._reply = SimpleNamespace(connection=connection)  # type: ignore[assignment]
        generation._pump = asyncio.create_task(asyncio.sleep(60))
        await asyncio.sleep(0)
        ending = asyncio.create_task(generation._end_pump())
        await asyncio.sleep(0)
        ending.cancel()
        with pytest.raises(asyncio.CancelledError):
            await ending
        connection.close.assert_called_once_with()

    asyncio.run(main())
