"""Limits on what clients make a process hold."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limit the memory and the connections of all clients together."""

    memory_bytes: int = 134_217_728
    connections: int = 4_000
