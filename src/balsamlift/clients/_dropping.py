"""Free the memory of bodies as soon as they are not needed."""

from __future__ import annotations

from contextlib import suppress


def drop(body: bytearray) -> None:
    """Free a body now, and not when the garbage collector runs."""
    with suppress(BufferError):  # it is still being sent
        body.clear()
