"""Closing the engine's connection at the end of a generation."""

import asyncio
from types import SimpleNamespace
from unittest.mock import Mock

from balsamlift.relay.generations._generation import Generation


def test_the_connection_is_closed_without_waiting() -> None:
    """A wait before the close could be cancelled by the caller's disconnect.

    The connection would then stay open and the engine would keep running.
    """

    async def main() -> None:
        connection = Mock()
        generation = Generation.__new__(Generation)
        generation._reply = SimpleNamespace(connection=connection)  # type: ignore[assignment]
        read_task = asyncio.create_task(asyncio.sleep(60))
        generation._read_task = read_task
        generation._stop_reading()
        connection.close.assert_called_once_with()
        await asyncio.wait([read_task])
        assert read_task.cancelled()

    asyncio.run(main())


def test_a_connection_read_to_its_end_stays_open() -> None:
    async def main() -> None:
        connection = Mock()
        generation = Generation.__new__(Generation)
        generation._reply = SimpleNamespace(connection=connection)  # type: ignore[assignment]
        generation._read_task = asyncio.create_task(asyncio.sleep(0))
        await generation._read_task
        generation._stop_reading()
        connection.close.assert_not_called()

    asyncio.run(main())
