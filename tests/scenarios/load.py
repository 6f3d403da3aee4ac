"""A steady load of calls beside the steps."""

from __future__ import annotations

import asyncio
from concurrent.futures import Future

from scenarios.background import PATIENCE_S, Background
from scenarios.callers import Call, RecordingClient, make_call

ALL_KINDS = ("report", "tag", "lookup", "refund")
PAUSE_S = 0.02
REPORT_TOKENS = 60


class Load:
    """Keep some callers busy, each with one call at a time.

    Each caller keeps its client, and so its addresses, for good.
    """

    def __init__(
        self,
        background: Background,
        addresses: list[str],
        kinds: tuple[str, ...],
        callers: int,
    ) -> None:
        self.calls: list[Call] = []
        self._kinds = kinds
        self._ended = False
        self._futures: list[Future[None]] = [
            background.begin(self._keep_asking(addresses, number))
            for number in range(callers)
        ]

    @property
    def told(self) -> list[Call]:
        """Return the calls whose callers were told an outcome."""
        return [c for c in self.calls if c.done]

    def end(self) -> None:
        """Begin no call any more and wait for those that run."""
        self._ended = True
        for future in self._futures:
            future.result(2 * PATIENCE_S)

    async def _keep_asking(self, addresses: list[str], number: int) -> None:
        turn = number
        client: RecordingClient | None = None
        while not self._ended:
            kind = self._kinds[turn % len(self._kinds)]
            length = REPORT_TOKENS if kind == "report" else 0
            call = make_call(kind, 10_000 * (number + 1) + turn, length)
            client = client or RecordingClient(addresses, call, None)
            self.calls.append(call)
            await client.run_recorded(call)
            turn += 1
            await asyncio.sleep(PAUSE_S)
        if client is not None:
            client.close()
