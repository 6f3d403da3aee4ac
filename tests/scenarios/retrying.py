"""Callers without the library that send one key to several hosts."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs

from scenarios.attempts import Attempt, send
from scenarios.callers import WORKSPACE

LONGEST_PAUSE_S = 0.4


@attrs.define(eq=False)
class Retried:
    """One request whose key was sent more than once."""

    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def is_homed(self) -> bool:
        return "." in self.key

    @property
    def key(self) -> str:
        return self.attempts[0].key

    @property
    def told(self) -> set[str]:
        return {a.outcome for a in self.attempts}


async def send_often(
    key: str, addresses: list[str], number: int, rng: random.Random
) -> Retried:
    """Send one refund to a host and, at random times, to the others."""
    body: dict[str, Any] = {
        "key": key,
        "workspace": WORKSPACE,
        "kind": "refund",
        "payload": {"number": number},
        "deadline_ms": 10_000,
    }
    retried = Retried([Attempt(key, "refund") for _ in addresses])
    pauses = [0.0] + [rng.uniform(0, LONGEST_PAUSE_S) for _ in addresses[1:]]

    async def send_late(place: int) -> None:
        await asyncio.sleep(pauses[place])
        await send(retried.attempts[place], addresses[place], body)

    await asyncio.gather(*map(send_late, range(len(addresses))))
    return retried
