"""Send one key to several hosts without the client library."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs

from scenarios.attempts import Attempt, send
from scenarios.callers import WORKSPACE

MAX_DELAY_S = 0.4


@attrs.define(eq=False)
class RetriedRequest:
    """One request whose key was sent to several hosts."""

    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def is_homed(self) -> bool:
        """Return whether the key names a home host."""
        return "." in self.key

    @property
    def key(self) -> str:
        return self.attempts[0].key

    @property
    def reported_outcomes(self) -> set[str]:
        return {a.outcome for a in self.attempts}


async def send_to_each(
    key: str, addresses: list[str], number: int, rng: random.Random
) -> RetriedRequest:
    """Send one refund to every address, at random delays after the first."""
    body: dict[str, Any] = {
        "key": key,
        "workspace": WORKSPACE,
        "kind": "refund",
        "payload": {"number": number},
        "deadline_ms": 10_000,
    }
    retried = RetriedRequest([Attempt(key, "refund") for _ in addresses])
    delays = [0.0] + [rng.uniform(0, MAX_DELAY_S) for _ in addresses[1:]]

    async def send_delayed(index: int) -> None:
        await asyncio.sleep(delays[index])
        await send(retried.attempts[index], addresses[index], body)

    await asyncio.gather(*map(send_delayed, range(len(addresses))))
    return retried
