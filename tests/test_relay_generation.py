"""The end of one generation, whatever interrupts it."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

from balsamlift.relay._generation import Generation


def test_the_engine_is_left_without_a_wait() -> None:
    """A wait could be cancelled as the caller leaves, before the close."""

    async def main() -> None:
        connection = Mock()
        generation = Generation.__new__(Generation)
        generation._reply = SimpleNamespace(connection=connection)  # type: ignore[assignment]
        pump = asyncio.create_task(asyncio.sleep(60))
        generation._pump = pump
        generation._end_pump()
        connection.close.assert_called_once_with()
        await asyncio.wait([pump])
        assert pump.cancelled()

    asyncio.run(main())


def test_a_connection_that_was_read_to_its_end_is_kept() -> None:
    async def main() -> None:
        connection = Mock()
        generation = Generation.__new__(Generation)
        generation._reply = SimpleNamespace(connection=connection)  # type: ignore[assignment]
        generation._pump = asyncio.create_task(asyncio.sleep(0))
        await generation._pump
        generation._end_pump()
        connection.close.assert_not_called()

    asyncio.run(main())
