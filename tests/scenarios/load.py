"""A steady load of calls that runs concurrently with the steps."""

from __future__ import annotations

import asyncio
from concurrent.futures import Future

from scenarios.background import WAIT_TIMEOUT_S, BackgroundLoop
from scenarios.callers import Call, RecordingClient, make_call

ALL_KINDS = ("report", "tag", "lookup", "refund")
PAUSE_S = 0.02
REPORT_TOKENS = 60


class Load:
    """Run several callers, each with one call at a time.

    Each caller keeps its client, and with it the client's addresses, to the
    end.
    """

    def __init__(
        self,
        background: BackgroundLoop,
        addresses: list[str],
        kinds: tuple[str, ...],
        callers: int,
    ) -> None:
        self.calls: list[Call] = []
        self._kinds = kinds
        self._stopping = False
        self._futures: list[Future[None]] = [
            background.submit(self._run_caller(addresses, number))
            for number in range(callers)
        ]

    @property
    def finished_calls(self) -> list[Call]:
        """Return the calls whose callers received an outcome."""
        return [c for c in self.calls if c.done]

    def stop(self) -> None:
        """Start no further calls and wait for the running ones."""
        self._stopping = True
        for future in self._futures:
            future.result(2 * WAIT_TIMEOUT_S)

    async def _run_caller(self, addresses: list[str], number: int) -> None:
        turn = number
        client: RecordingClient | None = None
        while not self._stopping:
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
