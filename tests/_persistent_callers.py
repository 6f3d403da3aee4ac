"""Callers that keep their connections to one host until it is gone."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator

import attrs

from balsamlift.testing.relay import CallerAnswer, read_answer

MAX_PAUSE_S = 0.02  # between an answer and the next request
MAX_REFUSED_PAUSE_S = 0.2  # the same after a refusal
OK = 200
RECONNECT_S = 0.02


@attrs.define
class Sent:
    """One request and its answer, if it got any."""

    request_id: str
    sent_s: float
    answer: CallerAnswer | None = None
    ended_s: float = 0.0

    @property
    def is_whole(self) -> bool:
        """Return whether its answer is complete."""
        return self.answer is not None and self.answer.is_whole


@attrs.define
class PersistentCallers:
    """Send requests one after the other, also after `Connection: close`."""

    address: tuple[str, int]
    encode: Callable[[str], bytes]  # the request with an id
    rng: random.Random
    sent: list[Sent] = attrs.field(factory=list)
    is_stopped: bool = False
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def start(self, number: int) -> None:
        """Start so many callers."""
        self._tasks = [
            asyncio.create_task(self._run_caller()) for _ in range(number)
        ]

    async def stop(self) -> None:
        """Stop once their requests have ended."""
        self.is_stopped = True
        await asyncio.gather(*self._tasks)

    async def _run_caller(self) -> None:
        while not self.is_stopped:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            await self._use(reader, writer)
            writer.close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send requests until the host closes the connection."""
        while not self.is_stopped:
            if reader.at_eof():
                return
            request_id = f"r{next(self._numbers)}"
            now_s = asyncio.get_running_loop().time()
            sent = Sent(request_id, now_s)
            self.sent.append(sent)
            try:
                writer.write(self.encode(request_id))
                sent.answer = await read_answer(reader)
            except (OSError, EOFError):
                pass
            sent.ended_s = asyncio.get_running_loop().time()
            if sent.answer is None or not sent.is_whole:
                return
            is_served = sent.answer.status == OK
            pause_s = MAX_PAUSE_S if is_served else MAX_REFUSED_PAUSE_S
            await asyncio.sleep(self.rng.uniform(0, pause_s))
